package rgentry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
	"ragwortgap/io/rgwire"
)

const (
	// KeyPrefix is the prefix of all keys in the store.
	KeyPrefix = "ragwortgap/"
	// KeyRing holds the ring.
	KeyRing = KeyPrefix + "ring"
	// KeyEntries is the prefix of the entries' leased keys.
	KeyEntries = KeyPrefix + "entries/"
	// KeyConfig is the prefix of the teams' configurations.
	KeyConfig = KeyPrefix + "config/"

	// watchWait bounds a waiting watch; it is also the longest time until a lost watch is noticed.
	watchWait = 10 * time.Second
	// settleWait bounds a watch after an outage of the store, until the ring may lose entries again.
	settleWait = 500 * time.Millisecond
	// peerInterval is how often another entry is asked for news while the store does not answer. The question of an
	// entry that has a ring has some 20 bytes for each team: 2.7 KB/s for 270 teams.
	peerInterval = 2 * time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 250 * time.Millisecond
)

// StoreWatcher is the traffic goroutine that watches the store.
type StoreWatcher struct {
	Process *Process
	Items   map[string]rgstore.Item
	Version uint64
	// down is set while the store does not answer, and back is when it last answered again.
	Down           bool
	AvailableSince time.Time
}

// followStore joins the ring and follows the store. When ctx ends, the entry gives its lease back, so that other
// entries become the homes of its jobs; it goes on following until work ends, because it passes its callers on to them.
func (pro *Process) followStore(ctx, work context.Context) {
	fol := StoreWatcher{Process: pro}
	fol.read(work)
	// The ring that is in force before this entry joins tells whom to ask for sidecars.
	fol.adopt(work)
	// The store may answer with an older state than the one that is in force.
	fol.syncPeer(work)
	pro.traffic.Go(func() { pro.keepLease(ctx, work) })
	for work.Err() == nil {
		fol.adopt(work)
		fol.proposeRing(work)
		err := fol.watch(work)
		if work.Err() == nil {
			fol.noteCall(err)
		}
		if err != nil && work.Err() == nil {
			rgclock.Pause(work, storeRetry)
			fol.read(work)
		}
	}
}

// read takes the whole state from the store, or from another entry while the store is down.
func (fol *StoreWatcher) read(ctx context.Context) {
	var asked time.Time
	for ctx.Err() == nil {
		lis, err := fol.Process.store.List(ctx, KeyPrefix)
		if ctx.Err() == nil {
			fol.noteCall(err)
		}
		if err == nil {
			fol.Items = map[string]rgstore.Item{}
			fol.Version = lis.Version
			fol.merge(lis.Items)
			return
		}
		if time.Since(asked) >= peerInterval {
			asked = time.Now()
			if fol.Process.View().Ring.Generation == 0 {
				fol.askPeer(ctx)
			} else {
				fol.syncPeer(ctx)
			}
		}
		rgclock.Pause(ctx, storeRetry)
	}
}

func (fol *StoreWatcher) watch(ctx context.Context) error {
	wait := watchWait
	if fol.settling() {
		wait = settleWait
	}
	lis, err := fol.Process.store.Watch(ctx, KeyPrefix, fol.Version, wait)
	if err != nil {
		return err
	}
	if lis.Version < fol.Version {
		return errors.NotValidf("store version %d after %d", lis.Version, fol.Version)
	}
	fol.Version = lis.Version
	fol.merge(lis.Items)
	return nil
}

// noteCall counts a failed call, and logs when the store stops or begins to answer.
func (fol *StoreWatcher) noteCall(err error) {
	if err != nil {
		fol.Process.scope.Counter("storeErrors").Inc(1)
	}
	switch {
	case err != nil && !fol.Down:
		fol.Process.log.Warn("store unavailable", zap.Error(err))
	case err == nil && fol.Down:
		fol.AvailableSince = time.Now()
		fol.Process.log.Info("store available")
	}
	fol.Down = err != nil
	fol.Process.scope.Gauge("storeAvailable").Update(flag(err == nil))
}

func (fol *StoreWatcher) merge(itms []rgstore.Item) {
	for _, itm := range itms {
		if itm.Deleted {
			delete(fol.Items, itm.Key)
			continue
		}
		fol.Items[itm.Key] = itm
	}
}

// peers returns the addresses of other entries: those of the ring, or those of the settings before a ring is known.
func (fol *StoreWatcher) peers() []string {
	rng := fol.Process.View().Ring
	if rng.Generation == 0 {
		return fol.Process.settings.Peers
	}
	var adrs []string
	for _, ent := range rng.Entries {
		if ent.Address != fol.Process.self.Address {
			adrs = append(adrs, ent.Address)
		}
	}
	return adrs
}

// askPeer passes on what one other entry knows.
func (fol *StoreWatcher) askPeer(ctx context.Context) {
	for _, adr := range fol.peers() {
		call, stop := context.WithTimeout(ctx, callTimeout)
		var rep rgwire.MembersReply
		err := fol.Process.entries.ask(call, fol.Process, rgmodel.Entry{Address: adr}, rgwire.Members{}, &rep)
		stop()
		if err == nil && rep.Ring.Generation > 0 {
			fol.Process.tell(ctx, SnapshotsReceived{Snapshots: []rghome.Snapshot{rep.Snapshot}})
			return
		}
	}
}

// syncPeer asks one other entry, chosen at random, for what this one has missed while only it is cut off from the store.
func (fol *StoreWatcher) syncPeer(ctx context.Context) {
	pro := fol.Process
	vie := pro.View()
	adrs := fol.peers()
	if len(adrs) == 0 {
		return
	}
	call, stop := context.WithTimeout(ctx, peerInterval)
	defer stop()
	var rep rgwire.ConfigsReply
	ent := rgmodel.Entry{Address: adrs[rand.IntN(len(adrs))]}
	if pro.entries.ask(call, pro, ent, rgwire.ConfigsSince{Revisions: rgconfig.Revisions(vie.Teams)}, &rep) != nil {
		pro.scope.Counter("peerSyncErrors").Inc(1)
		return
	}
	pro.tell(ctx, TeamsRead{Teams: rep.Teams})
	pro.tell(ctx, RingRead{Ring: rep.Ring})
}

// adopt passes the ring and the configurations on to the control goroutine, which ignores what is not newer.
func (fol *StoreWatcher) adopt(ctx context.Context) {
	var teams []rgmodel.TeamConfig
	for key, itm := range fol.Items {
		if !strings.HasPrefix(key, KeyConfig) {
			continue
		}
		var tc rgmodel.TeamConfig
		if err := json.Unmarshal(itm.Value, &tc); err != nil {
			fol.Process.log.Error("configuration not readable", zap.String("key", key), zap.Error(err))
			continue
		}
		teams = append(teams, tc)
	}
	fol.Process.tell(ctx, TeamsRead{Teams: teams})
	if rng, ok := fol.ring(); ok {
		fol.Process.tell(ctx, RingRead{Ring: rng})
	}
}

func (fol *StoreWatcher) ring() (rgmodel.Ring, bool) {
	itm, ok := fol.Items[KeyRing]
	if !ok {
		return rgmodel.Ring{}, false
	}
	var rng rgmodel.Ring
	if err := json.Unmarshal(itm.Value, &rng); err != nil {
		fol.Process.log.Error("ring not readable", zap.Error(err))
		return rgmodel.Ring{}, false
	}
	return rng, true
}
