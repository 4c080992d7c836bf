package rgstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ragwortgap/io/rgstore"
)

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
