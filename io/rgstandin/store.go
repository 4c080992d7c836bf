package rgstandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortgap/io/rgstore"
)

type (
	// Store is a stand-in for a key-value store with the /v1/keys API. The zero value is an empty store.
	Store struct {
		mutex     sync.Mutex
		items     map[string]storeItem
		deleted   map[string]uint64
		leases    map[string]*storeLease
		version   uint64
		lastLease int
		// changed is closed and replaced at each change.
		changed chan struct{}
		calls   map[string]int
		faults  StoreFaults
		// staleState is the state that reads return while StaleReads is set.
		staleState *storeState
		snapshot   *storeState
	}

	// storeState is the state from which reads are answered.
	storeState struct {
		items   map[string]storeItem
		deleted map[string]uint64
		version uint64
	}

	// StoreFaults are the faults of a stand-in store.
	StoreFaults struct {
		// Down returns 503 to all calls.
		Down bool
		// DropResponses carries out writes and then closes the connection without a response.
		DropResponses bool
		// Delay is added to each call.
		Delay time.Duration
		// StaleReads answers reads from the last snapshot of TakeSnapshot, or from the state at the time when the fault was
		// set if there is none. Writes still change the current state.
		StaleReads bool
	}

	storeItem struct {
		rgstore.Item
		lease string
	}

	storeLease struct {
		ttl     time.Duration
		expires time.Time
	}
)

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

// SetFaults replaces the faults.
func (sto *Store) SetFaults(flt StoreFaults) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	switch {
	case !flt.StaleReads:
		sto.staleState = nil
	case sto.snapshot != nil:
		sto.staleState = sto.snapshot
	case sto.staleState == nil:
		sto.staleState = sto.copyState()
	}
	sto.faults = flt
}

// TakeSnapshot saves the current state for the fault StaleReads.
func (sto *Store) TakeSnapshot() {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.snapshot = sto.copyState()
}

// copyState returns a copy of the current state. The caller holds the mutex.
func (sto *Store) copyState() *storeState {
	return &storeState{items: maps.Clone(sto.items), deleted: maps.Clone(sto.deleted), version: sto.version}
}

// readState returns the state from which reads are answered. The caller holds the mutex.
func (sto *Store) readState() storeState {
	if sto.staleState != nil {
		return *sto.staleState
	}
	return storeState{items: sto.items, deleted: sto.deleted, version: sto.version}
}

// Calls returns the number of calls by method and route, such as "GET keys".
func (sto *Store) Calls() map[string]int {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	cpy := make(map[string]int, len(sto.calls))
	for name, cnt := range sto.calls {
		cpy[name] = cnt
	}
	return cpy
}

// ServeHTTP handles one call and applies the faults.
func (sto *Store) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	flt := sto.recordCall(req)
	if flt.Delay > 0 && !sleep(req, flt.Delay) {
		return
	}
	if flt.Down {
		rsp.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := sto.route(req)
	if flt.DropResponses && req.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	rsp.Header().Set("Content-Type", "application/json")
	rsp.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rsp).Encode(body)
	}
}

// recordCall counts a call and returns the current faults. The first call initializes the store.
func (sto *Store) recordCall(req *http.Request) StoreFaults {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	if sto.calls == nil {
		sto.calls = map[string]int{}
		sto.items = map[string]storeItem{}
		sto.deleted = map[string]uint64{}
		sto.leases = map[string]*storeLease{}
		sto.changed = make(chan struct{})
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/v1/"), "/")
	sto.calls[req.Method+" "+name]++
	return sto.faults
}

func (sto *Store) route(req *http.Request) (int, any) {
	// The path is split before it is unescaped, because keys contain slashes.
	path := strings.TrimPrefix(req.URL.EscapedPath(), "/v1/")
	name, rest, _ := strings.Cut(path, "/")
	arg, err := url.PathUnescape(rest)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	switch {
	case name == "watch":
		return sto.watch(req)
	case name == "keys" && rest == "":
		return http.StatusOK, sto.list(req.URL.Query().Get("prefix"), 0)
	case name == "keys" && req.Method == http.MethodGet:
		return sto.get(arg)
	case name == "keys" && req.Method == http.MethodPut:
		return sto.put(req, arg)
	case name == "leases":
		return sto.lease(req, arg)
	default:
		return http.StatusNotFound, nil
	}
}

func (sto *Store) get(key string) (int, any) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases(time.Now())
	itm, ok := sto.readState().items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, itm.Item
}

func (sto *Store) put(req *http.Request, key string) (int, any) {
	var wri rgstore.Write
	if err := json.NewDecoder(req.Body).Decode(&wri); err != nil {
		return http.StatusBadRequest, nil
	}
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases(time.Now())
	if cur := sto.items[key]; cur.Version != wri.Expected {
		cur.Key = key
		return http.StatusConflict, cur.Item
	}
	if wri.Lease != "" && sto.leases[wri.Lease] == nil {
		return http.StatusNotFound, nil
	}
	sto.version++
	itm := storeItem{Item: rgstore.Item{Key: key, Value: wri.Value, Version: sto.version}, lease: wri.Lease}
	sto.items[key] = itm
	delete(sto.deleted, key)
	sto.notifyWatches()
	return http.StatusOK, itm.Item
}

// list returns the items with the prefix and a later version than after. If after is not 0, it includes deleted keys.
func (sto *Store) list(prefix string, after uint64) rgstore.Listing {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.expireLeases(time.Now())
	sta := sto.readState()
	lis := rgstore.Listing{Version: sta.version}
	for key, itm := range sta.items {
		if strings.HasPrefix(key, prefix) && itm.Version > after {
			lis.Items = append(lis.Items, itm.Item)
		}
	}
	for key, ver := range sta.deleted {
		if after > 0 && strings.HasPrefix(key, prefix) && ver > after {
			lis.Items = append(lis.Items, rgstore.Item{Key: key, Version: ver, Deleted: true})
		}
	}
	return lis
}

// watch waits until there is an item to list, the wait time has passed, or the store is down. It also returns if the state
// is older than the version of the caller, as during stale reads.
func (sto *Store) watch(req *http.Request) (int, any) {
	qry := req.URL.Query()
	after, err := strconv.ParseUint(qry.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := time.ParseDuration(qry.Get("wait"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	end := time.Now().Add(wait)
	for {
		sto.mutex.Lock()
		changed := sto.changed
		down := sto.faults.Down
		sto.mutex.Unlock()
		lis := sto.list(qry.Get("prefix"), after)
		switch {
		case down:
			return http.StatusServiceUnavailable, nil
		case len(lis.Items) > 0 || !time.Now().Before(end) || lis.Version < after:
			return http.StatusOK, lis
		}
		if !waitForChange(req, changed) {
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (sto *Store) lease(req *http.Request, id string) (int, any) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	now := time.Now()
	sto.expireLeases(now)
	if req.Method == http.MethodPost {
		var lea rgstore.Lease
		if err := json.NewDecoder(req.Body).Decode(&lea); err != nil {
			return http.StatusBadRequest, nil
		}
		sto.lastLease++
		lea.ID = strconv.Itoa(sto.lastLease)
		sto.leases[lea.ID] = &storeLease{ttl: lea.TTL.Duration, expires: now.Add(lea.TTL.Duration)}
		return http.StatusOK, lea
	}
	lea := sto.leases[id]
	switch {
	case lea == nil:
		return http.StatusNotFound, nil
	case req.Method == http.MethodDelete:
		lea.expires = now
		sto.expireLeases(now)
	default:
		lea.expires = now.Add(lea.ttl)
	}
	return http.StatusOK, nil
}

// expireLeases removes expired leases and their keys. The caller holds the mutex.
func (sto *Store) expireLeases(now time.Time) {
	for id, lea := range sto.leases {
		if now.Before(lea.expires) {
			continue
		}
		delete(sto.leases, id)
		for key, itm := range sto.items {
			if itm.lease == id {
				delete(sto.items, key)
				sto.version++
				sto.deleted[key] = sto.version
				sto.notifyWatches()
			}
		}
	}
}

// notifyWatches wakes the waiting watches after a change. The caller holds the mutex.
func (sto *Store) notifyWatches() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// waitForChange waits until changed is closed or leaseCheckInterval has passed. It returns false if the caller disconnects.
func waitForChange(req *http.Request, changed <-chan struct{}) bool {
	tmr := time.NewTimer(leaseCheckInterval)
	defer tmr.Stop()
	select {
	case <-changed:
	case <-tmr.C:
	case <-req.Context().Done():
		return false
	}
	return true
}

// sleep waits for the duration. It returns false if the caller disconnects.
func sleep(req *http.Request, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-req.Context().Done():
		return false
	}
}
