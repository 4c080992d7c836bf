package rgstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"ragwortgap/io/rgstore"
)

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

// notifyWatches wakes the waiting watches after a change. The caller holds the mutex.
func (sto *Store) notifyWatches() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}
