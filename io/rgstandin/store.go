package rgstandin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"ragwortgap/io/rgclock"
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

// ServeHTTP handles one call and applies the faults.
func (sto *Store) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	flt := sto.recordCall(req)
	if flt.Delay > 0 && !rgclock.Sleep(req.Context(), flt.Delay) {
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
