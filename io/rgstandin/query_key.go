package rgstandin

import (
	"net/http"
	"strings"
	"time"

	"ragwortgap/io/rgstore"
)

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

// readState returns the state from which reads are answered. The caller holds the mutex.
func (sto *Store) readState() storeState {
	if sto.staleState != nil {
		return *sto.staleState
	}
	return storeState{items: sto.items, deleted: sto.deleted, version: sto.version}
}
