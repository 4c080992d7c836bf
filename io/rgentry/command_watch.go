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
	// RingKey holds the ring.
	RingKey = KeyPrefix + "ring"
	// EntryKeyPrefix is the prefix of the entries' leased keys.
	EntryKeyPrefix = KeyPrefix + "entries/"
	// ConfigKeyPrefix is the prefix of the teams' configurations.
	ConfigKeyPrefix = KeyPrefix + "config/"

	// watchTimeout is how long the store may hold a watch open. A lost watch is noticed when the call times out soon after.
	watchTimeout = 10 * time.Second
	// recoveryWatchTimeout replaces watchTimeout after a store outage, until entries may be removed from the ring again.
	recoveryWatchTimeout = 500 * time.Millisecond
	// peerSyncInterval is how often an entry polls another one while the store is unavailable. The request of an entry
	// that has a ring takes about 20 bytes for each team: 2.7 KB/s for 270 teams.
	peerSyncInterval = 2 * time.Second
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = 250 * time.Millisecond

	// maxGeneration is the largest integer that all JSON implementations represent exactly.
	maxGeneration = 1 << 53
)

// StoreWatcher is the state of the traffic goroutine that watches the store.
type StoreWatcher struct {
	Process *Process
	Items   map[string]rgstore.Item
	Version uint64
	// Down is set while the store is unavailable.
	Down bool
	// AvailableSince is when the last outage of the store ended.
	AvailableSince time.Time

	malformedItems   rgstore.MalformedLog
	malformedEntries rgstore.MalformedLog
	malformedTeams   rgstore.MalformedLog
	malformedRing    rgstore.MalformedLog
}

// watchStore joins the ring and watches the store. When ctx ends, the entry revokes its lease, so that other entries
// become the homes of its jobs. It watches until workCtx ends, because it forwards its callers to them meanwhile.
func (pro *Process) watchStore(ctx, workCtx context.Context) {
	sw := StoreWatcher{Process: pro}
	for _, mlg := range []*rgstore.MalformedLog{&sw.malformedItems, &sw.malformedEntries, &sw.malformedTeams, &sw.malformedRing} {
		mlg.Log, mlg.Scope = pro.log, pro.scope
	}
	sw.load(workCtx)
	// The ring before this entry joins lists the entries that can be asked for their sidecars.
	sw.sendState(workCtx)
	// The store may return an older state than the one in force.
	sw.syncFromPeer(workCtx)
	pro.traffic.Maintain(workCtx, func() { pro.maintainLease(ctx, workCtx) })
	for workCtx.Err() == nil {
		sw.sendState(workCtx)
		sw.proposeRing(workCtx)
		err := sw.watch(workCtx)
		if workCtx.Err() == nil {
			sw.recordCall(err)
		}
		if err != nil && workCtx.Err() == nil {
			rgclock.Sleep(workCtx, storeRetryDelay)
			sw.load(workCtx)
		}
	}
}

// load reads the whole state from the store, and polls other entries until the store replies.
func (sw *StoreWatcher) load(ctx context.Context) {
	var lastSync time.Time
	for ctx.Err() == nil {
		lis, err := sw.Process.store.List(ctx, KeyPrefix)
		if ctx.Err() == nil {
			sw.recordCall(err)
		}
		if err == nil {
			sw.Items = map[string]rgstore.Item{}
			sw.Version = lis.Version
			sw.malformedItems.Record(lis.Malformed)
			sw.merge(lis.Items)
			return
		}
		if time.Since(lastSync) >= peerSyncInterval {
			lastSync = time.Now()
			if sw.Process.View().Ring.Generation == 0 {
				sw.fetchSnapshot(ctx)
			} else {
				sw.syncFromPeer(ctx)
			}
		}
		rgclock.Sleep(ctx, storeRetryDelay)
	}
}

// watch waits for changes in the store and applies them.
func (sw *StoreWatcher) watch(ctx context.Context) error {
	timeout := watchTimeout
	if sw.recovering() {
		timeout = recoveryWatchTimeout
	}
	lis, err := sw.Process.store.Watch(ctx, KeyPrefix, sw.Version, timeout)
	if err != nil {
		return err
	}
	if lis.Version < sw.Version {
		return errors.NotValidf("store version %d after %d", lis.Version, sw.Version)
	}
	sw.Version = lis.Version
	if len(lis.Malformed) > 0 {
		sw.malformedItems.Record(lis.Malformed)
	}
	sw.merge(lis.Items)
	return nil
}

// recordCall counts a failed call, and logs when the store becomes unavailable or available.
func (sw *StoreWatcher) recordCall(err error) {
	if err != nil {
		sw.Process.scope.Counter("storeErrors").Inc(1)
	}
	switch {
	case err != nil && !sw.Down:
		sw.Process.log.Warn("store unavailable", zap.Error(err))
	case err == nil && sw.Down:
		sw.AvailableSince = time.Now()
		sw.Process.log.Info("store available")
	}
	sw.Down = err != nil
	sw.Process.scope.Gauge("storeAvailable").Update(boolToFloat(err == nil))
}

func (sw *StoreWatcher) merge(itms []rgstore.Item) {
	for _, itm := range itms {
		if itm.Deleted {
			delete(sw.Items, itm.Key)
			continue
		}
		sw.Items[itm.Key] = itm
	}
}

// peerAddresses returns the addresses of other entries: those of the ring, or those of the settings before a ring is known.
func (sw *StoreWatcher) peerAddresses() []string {
	rng := sw.Process.View().Ring
	if rng.Generation == 0 {
		return sw.Process.settings.Peers
	}
	var adrs []string
	for _, ent := range rng.Entries {
		if ent.Address != sw.Process.self.Address {
			adrs = append(adrs, ent.Address)
		}
	}
	return adrs
}

// fetchSnapshot requests the snapshot of the first other entry that replies with a ring.
func (sw *StoreWatcher) fetchSnapshot(ctx context.Context) {
	for _, adr := range sw.peerAddresses() {
		callCtx, stop := context.WithTimeout(ctx, callTimeout)
		var rep rgwire.SnapshotReply
		err := sw.Process.entries.request(callCtx, sw.Process, rgmodel.Entry{Address: adr}, rgwire.SnapshotRequest{}, &rep)
		stop()
		if err == nil && rep.Ring.Generation > 0 {
			sw.Process.mailbox.Send(ctx, SnapshotsReceived{Snapshots: []rghome.Snapshot{rep.Snapshot}})
			return
		}
	}
}

// syncFromPeer requests newer configurations and the ring from a random other entry, because this entry may be the only
// one that is disconnected from the store.
func (sw *StoreWatcher) syncFromPeer(ctx context.Context) {
	pro := sw.Process
	vie := pro.View()
	adrs := sw.peerAddresses()
	if len(adrs) == 0 {
		return
	}
	callCtx, stop := context.WithTimeout(ctx, peerSyncInterval)
	defer stop()
	var rep rgwire.TeamConfigsReply
	ent := rgmodel.Entry{Address: adrs[rand.IntN(len(adrs))]}
	if pro.entries.request(callCtx, pro, ent, rgwire.TeamConfigsRequest{Revisions: rgconfig.Revisions(vie.Teams)}, &rep) != nil {
		pro.scope.Counter("peerSyncErrors").Inc(1)
		return
	}
	pro.mailbox.Send(ctx, TeamConfigsReceived{Teams: rep.Teams})
	pro.mailbox.Send(ctx, RingReceived{Ring: rep.Ring})
}

// sendState sends the ring and the configurations to the control goroutine, which ignores what is not newer.
func (sw *StoreWatcher) sendState(ctx context.Context) {
	teams := decodeItems(sw, ConfigKeyPrefix, &sw.malformedTeams, func(string, rgmodel.TeamConfig) error { return nil })
	sw.Process.mailbox.Send(ctx, TeamConfigsReceived{Teams: teams})
	if rng, ok := sw.storedRing(); ok {
		sw.Process.mailbox.Send(ctx, RingReceived{Ring: rng})
	}
}

// decodeItems decodes the items whose key has the prefix. Those that cannot be decoded, or that check refuses, are from another writer;
// they are logged once and left out.
func decodeItems[Value any](
	sw *StoreWatcher, prefix string, mlg *rgstore.MalformedLog, check func(name string, val Value) error,
) []Value {
	var vals []Value
	var odd []rgstore.MalformedItem
	for key, itm := range sw.Items {
		name, found := strings.CutPrefix(key, prefix)
		if !found {
			continue
		}
		var val Value
		err := json.Unmarshal(itm.Value, &val)
		if err == nil {
			err = check(name, val)
		}
		if err != nil {
			odd = append(odd, rgstore.MalformedItem{Key: key, Version: itm.Version, Err: err})
			continue
		}
		vals = append(vals, val)
	}
	mlg.Record(odd)
	return vals
}

func (sw *StoreWatcher) storedRing() (rgmodel.Ring, bool) {
	itm, ok := sw.Items[RingKey]
	if !ok {
		return rgmodel.Ring{}, false
	}
	rng, err := decodeRing(itm.Value)
	if err != nil {
		sw.malformedRing.Record([]rgstore.MalformedItem{{Key: RingKey, Version: itm.Version, Err: err}})
		return rgmodel.Ring{}, false
	}
	return rng, true
}

// decodeRing decodes a ring. One with a generation that leaves no room for later ones is from another writer.
func decodeRing(raw []byte) (rgmodel.Ring, error) {
	var rng rgmodel.Ring
	if err := json.Unmarshal(raw, &rng); err != nil {
		return rgmodel.Ring{}, errors.NewNotValid(err, "ring")
	}
	if rng.Generation > maxGeneration {
		return rgmodel.Ring{}, errors.NotValidf("ring with generation %d", rng.Generation)
	}
	return rng, nil
}
