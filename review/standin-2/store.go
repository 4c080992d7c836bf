//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// storeItem is an item of the key-value service.
	storeItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created,omitempty"`
		Lease    uint64 `json:"lease,omitempty"`
		Deleted  bool   `json:"deleted,omitempty"`
		AsOf     uint64 `json:"as_of,omitempty"`
	}

	// storeLease is a lease and the time at which it ends unless it is renewed.
	storeLease struct {
		ttl  time.Duration
		ends time.Time
	}

	// store is a sound stand-in of the platform's key-value service.
	store struct {
		mutex     sync.Mutex
		revision  uint64
		lastLease uint64
		items     map[string]storeItem
		history   []storeItem
		leases    map[uint64]storeLease
		// changed is closed and replaced at each change.
		changed chan struct{}
	}

	storeTxn struct {
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
	}
)

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, leases: map[uint64]storeLease{}, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (sto *store) put(key string, val []byte) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.revision++
	sto.write(key, val, 0)
	sto.notify()
}

// write changes a key at the current revision. The caller holds the mutex.
func (sto *store) write(key string, val []byte, lease uint64) {
	itm := storeItem{Key: key, Value: val, Revision: sto.revision, Created: sto.revision, Lease: lease}
	if cur, found := sto.items[key]; found {
		itm.Created = cur.Created
	}
	sto.items[key] = itm
	sto.history = append(sto.history, itm)
}

// remove removes a key at the current revision. The caller holds the mutex.
func (sto *store) remove(key string) {
	if _, found := sto.items[key]; found {
		delete(sto.items, key)
		sto.history = append(sto.history, storeItem{Key: key, Revision: sto.revision, Deleted: true})
	}
}

// notify wakes the watches. The caller holds the mutex.
func (sto *store) notify() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// expireLeases removes the keys of the leases that have ended. The caller holds the mutex.
func (sto *store) expireLeases() {
	for id, lea := range sto.leases {
		if time.Now().After(lea.ends) {
			sto.endLease(id)
		}
	}
}

func (sto *store) endLease(id uint64) {
	delete(sto.leases, id)
	sto.revision++
	for key, itm := range sto.items {
		if itm.Lease == id {
			sto.remove(key)
		}
	}
	sto.notify()
}

// ServeHTTP handles a call of a process.
func (sto *store) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/kv-watch":
		sto.watch(wtr, req, query)
		return
	case req.Method == http.MethodGet && req.URL.Path == "/kv-key":
		sto.mutex.Lock()
		defer sto.mutex.Unlock()
		sto.expireLeases()
		itm, found := sto.items[query.Get("key")]
		if !found {
			wtr.WriteHeader(http.StatusNotFound)
			return
		}
		itm.AsOf = sto.revision
		reply(wtr, http.StatusOK, itm)
	case req.Method == http.MethodGet && req.URL.Path == "/kv-range":
		sto.list(wtr, query)
	case req.Method == http.MethodPost && req.URL.Path == "/kv-txn":
		sto.transact(wtr, req)
	case req.Method == http.MethodPost && req.URL.Path == "/kv-lease":
		sto.grant(wtr, req)
	case strings.HasPrefix(req.URL.Path, "/kv-keep/"):
		sto.renew(wtr, lastNumber(req.URL.Path))
	case strings.HasPrefix(req.URL.Path, "/kv-lease-end/"):
		sto.mutex.Lock()
		defer sto.mutex.Unlock()
		sto.endLease(lastNumber(req.URL.Path))
		reply(wtr, http.StatusOK, map[string]any{})
	default:
		wtr.WriteHeader(http.StatusNotFound)
	}
}

func (sto *store) list(wtr http.ResponseWriter, query url.Values) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases()
	itms := []storeItem{}
	for key, itm := range sto.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			itms = append(itms, itm)
		}
	}
	slices.SortFunc(itms, func(one, two storeItem) int { return strings.Compare(one.Key, two.Key) })
	reply(wtr, http.StatusOK, map[string]any{"items": itms, "has_more": false, "as_of": sto.revision})
}

func (sto *store) watch(wtr http.ResponseWriter, req *http.Request, query url.Values) {
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		sto.mutex.Lock()
		sto.expireLeases()
		evts, asOf, changed := []storeItem{}, sto.revision, sto.changed
		for _, itm := range sto.history {
			if itm.Revision > after && strings.HasPrefix(itm.Key, query.Get("prefix")) {
				evts = append(evts, itm)
			}
		}
		sto.mutex.Unlock()
		if len(evts) > 0 {
			reply(wtr, http.StatusOK, map[string]any{"events": evts, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(wtr, http.StatusOK, map[string]any{"events": evts, "as_of": asOf})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) transact(wtr http.ResponseWriter, req *http.Request) {
	var txn storeTxn
	if err := json.NewDecoder(req.Body).Decode(&txn); err != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases()
	failed := false
	current := []storeItem{}
	for _, cnd := range txn.Preconditions {
		itm, found := sto.items[cnd.Key]
		failed = failed || itm.Revision != cnd.Revision
		if found {
			current = append(current, itm)
		}
	}
	if failed {
		reply(wtr, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, wri := range txn.Writes {
		if _, found := sto.leases[wri.Lease]; wri.Lease != 0 && !found {
			wtr.WriteHeader(http.StatusNotFound)
			return
		}
	}
	sto.revision++
	for _, wri := range txn.Writes {
		sto.write(wri.Key, wri.Value, wri.Lease)
	}
	for _, key := range txn.Remove {
		sto.remove(key)
	}
	sto.notify()
	reply(wtr, http.StatusOK, map[string]any{"revision": sto.revision})
}

func (sto *store) grant(wtr http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	sto.leases[sto.lastLease] = storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(wtr, http.StatusOK, map[string]any{"lease": sto.lastLease, "ttl_ms": body.TTL})
}

func (sto *store) renew(wtr http.ResponseWriter, id uint64) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases()
	lea, found := sto.leases[id]
	if !found {
		wtr.WriteHeader(http.StatusNotFound)
		return
	}
	lea.ends = time.Now().Add(lea.ttl)
	sto.leases[id] = lea
	reply(wtr, http.StatusOK, map[string]any{"ttl_ms": lea.ttl.Milliseconds()})
}

func lastNumber(path string) uint64 {
	num, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return num
}

func reply(wtr http.ResponseWriter, status int, body any) {
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	_ = json.NewEncoder(wtr).Encode(body)
}
