//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// item is a key of the store with its value, or the event of its removal.
	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created,omitempty"`
		Lease    uint64 `json:"lease"`
		Deleted  bool   `json:"deleted,omitempty"`
	}

	// store is the platform's metadata store, as far as the project uses it.
	store struct {
		address  string
		mutex    sync.Mutex
		changed  chan struct{}
		revision uint64
		items    map[string]item
		history  []item
		leases   map[uint64]*storeLease
	}

	storeLease struct {
		ttl   time.Duration
		timer *time.Timer
	}
)

func startStore(adr string) (*store, error) {
	lis, err := net.Listen("tcp", adr)
	if err != nil {
		return nil, err
	}
	sto := &store{address: adr, changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", sto.get)
	mux.HandleFunc("GET /kv-range", sto.list)
	mux.HandleFunc("GET /kv-watch", sto.watch)
	mux.HandleFunc("POST /kv-txn", sto.txn)
	mux.HandleFunc("POST /kv-lease", sto.grant)
	mux.HandleFunc("POST /kv-keep/{id}", sto.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", sto.endLease)
	go func() { _ = http.Serve(lis, mux) }()
	return sto, nil
}

func reply(wtr http.ResponseWriter, status int, body any) {
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	_ = json.NewEncoder(wtr).Encode(body)
}

// put writes a key as the operator.
func (sto *store) put(key string, val []byte) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.write(key, val, 0)
}

func (sto *store) write(key string, val []byte, lease uint64) {
	sto.revision++
	created := sto.revision
	if old, found := sto.items[key]; found {
		created = old.Created
	}
	itm := item{Key: key, Value: val, Revision: sto.revision, Created: created, Lease: lease}
	sto.items[key] = itm
	sto.notify(itm)
}

func (sto *store) remove(key string) {
	if _, found := sto.items[key]; !found {
		return
	}
	sto.revision++
	delete(sto.items, key)
	sto.notify(item{Key: key, Revision: sto.revision, Deleted: true})
}

func (sto *store) notify(itm item) {
	sto.history = append(sto.history, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) get(wtr http.ResponseWriter, req *http.Request) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	itm, found := sto.items[req.URL.Query().Get("key")]
	if !found {
		wtr.WriteHeader(http.StatusNotFound)
		return
	}
	reply(wtr, http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{itm, sto.revision})
}

func (sto *store) list(wtr http.ResponseWriter, req *http.Request) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	itms := []item{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, req.URL.Query().Get("prefix")) && key > req.URL.Query().Get("after") {
			itms = append(itms, itm)
		}
	}
	slices.SortFunc(itms, func(one, two item) int { return strings.Compare(one.Key, two.Key) })
	reply(wtr, http.StatusOK, map[string]any{"items": itms, "has_more": false, "as_of": sto.revision})
}

func (sto *store) watch(wtr http.ResponseWriter, req *http.Request) {
	qry := req.URL.Query()
	after, _ := strconv.ParseUint(qry.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(qry.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		sto.mutex.Lock()
		evts := []item{}
		for _, itm := range sto.history {
			if itm.Revision > after && strings.HasPrefix(itm.Key, qry.Get("prefix")) {
				evts = append(evts, itm)
			}
		}
		rev, changed := sto.revision, sto.changed
		sto.mutex.Unlock()
		ended := false
		if len(evts) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-req.Context().Done():
				return
			}
		}
		if len(evts) > 0 || ended {
			reply(wtr, http.StatusOK, map[string]any{"events": evts, "as_of": rev})
			return
		}
	}
}

func (sto *store) txn(wtr http.ResponseWriter, req *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(req.Body).Decode(&body) != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	held, current := true, []item{}
	for _, con := range body.Precondition {
		held = held && sto.items[con.Key].Revision == con.Revision
		if itm, found := sto.items[con.Key]; found {
			current = append(current, itm)
		}
	}
	if !held {
		reply(wtr, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, wri := range body.Writes {
		if wri.Lease != 0 && sto.leases[wri.Lease] == nil {
			wtr.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, wri := range body.Writes {
		sto.write(wri.Key, wri.Value, wri.Lease)
	}
	for _, key := range body.Remove {
		sto.remove(key)
	}
	reply(wtr, http.StatusOK, map[string]any{"revision": sto.revision})
}

func (sto *store) grant(wtr http.ResponseWriter, req *http.Request) {
	var body struct {
		TTLMillis int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(req.Body).Decode(&body) != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.revision++
	id, ttl := sto.revision, time.Duration(max(body.TTLMillis, 1000))*time.Millisecond
	sto.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { sto.expire(id) })}
	reply(wtr, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (sto *store) expire(id uint64) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	delete(sto.leases, id)
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.remove(key)
		}
	}
}

func (sto *store) keep(wtr http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseUint(req.PathValue("id"), 10, 64)
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	lea := sto.leases[id]
	if lea == nil {
		wtr.WriteHeader(http.StatusNotFound)
		return
	}
	lea.timer.Reset(lea.ttl)
	reply(wtr, http.StatusOK, map[string]any{"lease": id, "ttl_ms": lea.ttl.Milliseconds()})
}

func (sto *store) endLease(wtr http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseUint(req.PathValue("id"), 10, 64)
	sto.expire(id)
	reply(wtr, http.StatusOK, struct{}{})
}
