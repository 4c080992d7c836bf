//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created"`
		Lease    uint64 `json:"lease"`
	}

	event struct {
		item
		Deleted bool `json:"deleted,omitempty"`
	}

	// store is a stand-in for the platform's metadata store. Each machine has an address of its own for it, so that single machines
	// can be turned away.
	store struct {
		mutex    sync.Mutex
		revision uint64
		items    map[string]item
		events   []event
		leases   map[uint64]time.Time
		ttls     map[uint64]time.Duration
		changed  chan struct{}
		// rejected maps machines to the status with which they are turned away.
		rejected map[string]int
		servers  []*http.Server
	}
)

func newStore() *store {
	sto := &store{
		revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{},
		changed: make(chan struct{}), rejected: map[string]int{},
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			sto.expireLeases()
		}
	}()
	return sto
}

// serve serves the store to a machine.
func (sto *store) serve(machine, address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) { sto.call(machine, wtr, req) })}
	sto.servers = append(sto.servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return nil
}

// reject turns the machine away with the status, or serves it again with 0.
func (sto *store) reject(machine string, status int) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.rejected[machine] = status
	// Watches that wait are cut.
	sto.wake()
}

func (sto *store) wake() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (sto *store) put(key string, val []byte) uint64 {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	return sto.write(key, val, 0)
}

func (sto *store) write(key string, val []byte, lease uint64) uint64 {
	sto.revision++
	itm := item{Key: key, Value: val, Revision: sto.revision, Created: sto.revision, Lease: lease}
	if old, found := sto.items[key]; found {
		itm.Created = old.Created
	}
	sto.items[key] = itm
	sto.events = append(sto.events, event{item: itm})
	sto.wake()
	return sto.revision
}

func (sto *store) remove(key string) {
	if _, found := sto.items[key]; !found {
		return
	}
	sto.revision++
	delete(sto.items, key)
	sto.events = append(sto.events, event{item: item{Key: key, Revision: sto.revision}, Deleted: true})
	sto.wake()
}

func (sto *store) expireLeases() {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	for lea, end := range sto.leases {
		if time.Now().After(end) {
			sto.endLease(lea)
		}
	}
}

func (sto *store) endLease(lea uint64) {
	delete(sto.leases, lea)
	for key, itm := range sto.items {
		if itm.Lease == lea {
			sto.remove(key)
		}
	}
}

func (sto *store) call(machine string, wtr http.ResponseWriter, req *http.Request) {
	until := time.Now()
	if ms, err := strconv.Atoi(req.URL.Query().Get("wait_ms")); err == nil {
		until = until.Add(time.Duration(ms) * time.Millisecond)
	}
	raw := json.NewDecoder(req.Body)
	var txn struct {
		Preconditions []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
		TTL    int64    `json:"ttl_ms"`
	}
	if req.Method == http.MethodPost {
		_ = raw.Decode(&txn)
	}
	for {
		sto.mutex.Lock()
		if status := sto.rejected[machine]; status != 0 {
			sto.mutex.Unlock()
			wtr.WriteHeader(status)
			return
		}
		status, body, again := 0, any(nil), false
		qry := req.URL.Query()
		path, id, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		switch path {
		case "kv-key":
			if itm, found := sto.items[qry.Get("key")]; found {
				status, body = 200, struct {
					item
					AsOf uint64 `json:"as_of"`
				}{itm, sto.revision}
			} else {
				status, body = 404, map[string]any{"as_of": sto.revision}
			}
		case "kv-range":
			itms := []item{}
			for key, itm := range sto.items {
				if strings.HasPrefix(key, qry.Get("prefix")) && key > qry.Get("after") {
					itms = append(itms, itm)
				}
			}
			sort.Slice(itms, func(i, j int) bool { return itms[i].Key < itms[j].Key })
			status, body = 200, map[string]any{"items": itms, "has_more": false, "as_of": sto.revision}
		case "kv-watch":
			after, _ := strconv.ParseUint(qry.Get("after"), 10, 64)
			evs := []event{}
			for _, evt := range sto.events {
				if evt.Revision > after && strings.HasPrefix(evt.Key, qry.Get("prefix")) {
					evs = append(evs, evt)
				}
			}
			again = len(evs) == 0 && time.Now().Before(until) && req.Context().Err() == nil
			status, body = 200, map[string]any{"events": evs, "as_of": sto.revision}
		case "kv-txn":
			status, body = 200, nil
			conflicts := []item{}
			for _, pre := range txn.Preconditions {
				itm := sto.items[pre.Key]
				if itm.Revision != pre.Revision {
					status = 412
				}
				if itm.Key != "" {
					conflicts = append(conflicts, itm)
				}
			}
			for _, wri := range txn.Writes {
				if _, found := sto.leases[wri.Lease]; wri.Lease != 0 && !found && status == 200 {
					status = 404
				}
			}
			switch status {
			case 200:
				for _, wri := range txn.Writes {
					sto.write(wri.Key, wri.Value, wri.Lease)
				}
				for _, key := range txn.Remove {
					sto.remove(key)
				}
				body = map[string]any{"revision": sto.revision}
			case 412:
				body = map[string]any{"items": conflicts}
			}
		case "kv-lease":
			sto.revision++
			ttl := time.Duration(max(txn.TTL, 1000)) * time.Millisecond
			sto.leases[sto.revision], sto.ttls[sto.revision] = time.Now().Add(ttl), ttl
			status, body = 200, map[string]any{"lease": sto.revision, "ttl_ms": ttl.Milliseconds()}
		case "kv-keep", "kv-lease-end":
			lea, _ := strconv.ParseUint(id, 10, 64)
			_, found := sto.leases[lea]
			switch {
			case !found:
				status = 404
			case path == "kv-keep":
				sto.leases[lea] = time.Now().Add(sto.ttls[lea])
				status, body = 200, map[string]any{"ttl_ms": sto.ttls[lea].Milliseconds()}
			default:
				sto.endLease(lea)
				status, body = 200, map[string]any{}
			}
		default:
			status = 404
		}
		changed := sto.changed
		sto.mutex.Unlock()
		if again {
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-req.Context().Done():
			}
			continue
		}
		wtr.Header().Set("Content-Type", "application/json")
		wtr.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(wtr).Encode(body)
		}
		return
	}
}
