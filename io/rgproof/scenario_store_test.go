package rgproof

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgstore"
)

// startDuringOutage guards against an entry that was started while the store was down and does not join the ring or complete
// jobs when the store is back.
func startDuringOutage(sys *system) {
	end := sys.startLoad()
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.addEntry()
	for range 5 {
		sys.submitWithin(2, newID(time.Now()), "early", 2, 2*time.Second)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitRingSize(2, 3)
	sys.waitUntil("completion of a job at the new entry", readyTimeout, func() bool {
		return sys.submit(2, newID(time.Now()), "later", 2).answer.Status == "complete"
	})
	end()
}

// configuration guards against revisions that do not come into force at every entry, and against entries that revert to a
// lower one, also after an entry was suspended or the store was down. The target is 8 s; the test logs the time and waits up
// to readyTimeout.
func configuration(sys *system) {
	cli := rgstore.Client{BaseURL: sys.storeURL}
	highest := make([]uint64, len(sys.entries))
	version := uint64(0)
	for rev := uint64(1); rev <= 6; rev++ {
		raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: rev, Weight: 1})
		res := cli.Put(context.Background(), rgentry.ConfigKeyPrefix+"team", rgstore.Write{Value: raw, Expected: version})
		wri, ok := res.(rgstore.Written)
		if !ok {
			sys.t.Fatalf("write of revision %d: %+v", rev, res)
		}
		version = wri.Version
		if rev == 3 {
			sys.entries[1].signal(syscall.SIGSTOP)
			sys.waitRingSize(0, 2)
			sys.entries[1].signal(syscall.SIGCONT)
		}
		began := time.Now()
		sys.waitUntil("configuration in force", readyTimeout, func() bool { return sys.inForce(rev, highest) })
		sys.t.Logf("revision %d in force after %s", rev, time.Since(began))
	}
	// An older value under a newer version of the key, as after the store was restored from a backup.
	raw, _ := json.Marshal(rgmodel.TeamConfig{Team: "team", Revision: 2, Weight: 1})
	res := cli.Put(context.Background(), rgentry.ConfigKeyPrefix+"team", rgstore.Write{Value: raw, Expected: version})
	if _, ok := res.(rgstore.Written); !ok {
		sys.t.Fatalf("write of an old revision: %+v", res)
	}
	sys.store.SetFaults(rgstandin.StoreFaults{Down: true})
	sys.entries[2].signal(syscall.SIGKILL)
	sys.store.SetFaults(rgstandin.StoreFaults{})
	sys.waitRingSize(0, 2)
	sys.inForce(6, highest)
}

// inForce reports whether all live entries have the revision, and fails the test if one has reverted to a lower one.
func (sys *system) inForce(rev uint64, highest []uint64) bool {
	all := true
	for num := range highest {
		sta, ok := sys.status(num)
		if !ok {
			continue
		}
		if sta.Teams["team"] < highest[num] {
			sys.t.Errorf("invariant 8: entry %d reverted from revision %d to %d", num, highest[num], sta.Teams["team"])
		}
		highest[num] = max(highest[num], sta.Teams["team"])
		all = all && highest[num] >= rev
	}
	return all
}
