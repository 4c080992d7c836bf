package rgproof

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"ragwortgap/io/rgqueryapi"
)

// status requests the status of an entry. It returns false if there is no valid response within a second.
func (sys *system) status(num int) (rgqueryapi.Status, bool) {
	var sta rgqueryapi.Status
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, sys.url(num, "/v1/status"), nil)
	rsp, err := sys.client.Do(req)
	if err != nil {
		return sta, false
	}
	defer func() { _ = rsp.Body.Close() }()
	return sta, json.NewDecoder(rsp.Body).Decode(&sta) == nil
}

// isDraining reports whether the status of the entry says that it is draining. It returns false if there is no response.
func (sys *system) isDraining(num int) bool {
	sta, ok := sys.status(num)
	return ok && sta.Draining
}

// hasMembers reports whether the status of the entry shows the numbers of entries in the ring and of sidecars.
func (sys *system) hasMembers(num, entries, sidecars int) bool {
	sta, ok := sys.status(num)
	return ok && len(sta.Ring.Entries) == entries && len(sta.Sidecars) == sidecars
}

// liveEntries counts the entries that have not ended.
func (sys *system) liveEntries() int {
	live := 0
	for _, prc := range sys.entries {
		select {
		case <-prc.done:
		default:
			live++
		}
	}
	return live
}

// waitRingSize waits until the ring that the entry knows has the given number of entries.
func (sys *system) waitRingSize(entry, size int) {
	sys.waitUntil("new size of the ring", readyTimeout, func() bool {
		sta, ok := sys.status(entry)
		return ok && len(sta.Ring.Entries) == size
	})
}
