package rgentry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstore"
)

// proposeRing writes the next ring if the live entries differ from those of the current one. A conflict is no error:
// the watch returns the ring of the entry that wrote first.
func (sw *StoreWatcher) proposeRing(ctx context.Context) {
	live := sw.liveEntries()
	cur, _ := sw.storedRing()
	if sw.recovering() {
		live = withUnreplaced(live, cur)
	}
	if len(live) == 0 || slices.Equal(live, cur.Entries) {
		return
	}
	gen := max(cur.Generation, sw.Process.View().Ring.Generation) + 1
	raw, err := json.Marshal(rgmodel.Ring{Generation: gen, Entries: live})
	if err != nil {
		sw.Process.log.Error("failed to encode ring", zap.Error(err))
		return
	}
	res := sw.Process.store.Put(ctx, RingKey, rgstore.Write{Value: raw, Expected: sw.Items[RingKey].Version})
	switch res := res.(type) {
	case rgstore.Written:
		sw.Process.log.Info("ring written", zap.Uint64("generation", gen))
	case rgstore.Conflicted:
	case rgstore.OutcomeUnknown:
		sw.Process.scope.Counter("storeErrors").Inc(1)
		sw.Process.log.Warn("no reply to ring write, its outcome is unknown", zap.Error(res.Err))
	}
}

// recovering reports whether entries whose leases have expired in a store outage may not have acquired new ones yet.
func (sw *StoreWatcher) recovering() bool {
	return time.Since(sw.AvailableSince) < sw.Process.settings.LeaseTime.Duration
}

// withUnreplaced adds the entries of the ring that have not been replaced by another incarnation. Without it, the first
// entry to acquire a lease after a store outage would remove all others from the ring for a short time.
func withUnreplaced(live []rgmodel.Entry, rng rgmodel.Ring) []rgmodel.Entry {
	for _, ent := range rng.Entries {
		if !slices.ContainsFunc(live, func(other rgmodel.Entry) bool { return other.Name == ent.Name }) {
			live = append(live, ent)
		}
	}
	sortByName(live)
	return live
}

func sortByName(ents []rgmodel.Entry) {
	slices.SortFunc(ents, func(fst, snd rgmodel.Entry) int { return strings.Compare(fst.Name, snd.Name) })
}

// liveEntries returns the entries that hold a lease, ordered by name.
func (sw *StoreWatcher) liveEntries() []rgmodel.Entry {
	ents := decodeItems(sw, EntryKeyPrefix, &sw.malformedEntries, sw.checkEntry)
	sortByName(ents)
	return ents
}

// checkEntry refuses entries that must not become part of the ring. The own address may be one that only this machine can dial.
func (sw *StoreWatcher) checkEntry(name string, ent rgmodel.Entry) error {
	switch {
	case ent == sw.Process.self:
		return nil
	case ent.Name != name:
		return errors.NotValidf("entry with the name %q at another key", ent.Name)
	case ent.Incarnation == "":
		return errors.NotValidf("entry without an incarnation")
	default:
		return rgmodel.CheckEntry(ent)
	}
}
