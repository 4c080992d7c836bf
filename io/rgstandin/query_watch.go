package rgstandin

import (
	"net/http"
	"strconv"
	"time"
)

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

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
