package rgentry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgstore"
)

// proposeRing writes the next ring when the live entries are not those of the current one. Losing the race is no
// error: the watch brings the winner's ring.
func (fol *StoreWatcher) proposeRing(ctx context.Context) {
	live := fol.live()
	cur, _ := fol.ring()
	if fol.settling() {
		live = withReturning(live, cur)
	}
	if len(live) == 0 || slices.Equal(live, cur.Entries) {
		return
	}
	gen := max(cur.Generation, fol.Process.View().Ring.Generation) + 1
	raw, err := json.Marshal(rgmodel.Ring{Generation: gen, Entries: live})
	if err != nil {
		fol.Process.log.Error("encode ring", zap.Error(err))
		return
	}
	res := fol.Process.store.Put(ctx, KeyRing, rgstore.Write{Value: raw, Expected: fol.Items[KeyRing].Version})
	switch res := res.(type) {
	case rgstore.Written:
		fol.Process.log.Info("ring written", zap.Uint64("generation", gen))
	case rgstore.Conflicted:
	case rgstore.Unknown:
		fol.Process.scope.Counter("storeErrors").Inc(1)
		fol.Process.log.Warn("ring write not answered", zap.Error(res.Err))
	}
}

// settling reports whether entries whose leases have expired in a store outage may still take new ones.
func (fol *StoreWatcher) settling() bool {
	return time.Since(fol.AvailableSince) < fol.Process.settings.LeaseTime.Duration
}

// withReturning adds the entries of the ring that no other incarnation replaces. Without it, the first entry to take
// its lease after an outage of the store would exclude all others for a moment.
func withReturning(live []rgmodel.Entry, rng rgmodel.Ring) []rgmodel.Entry {
	for _, ent := range rng.Entries {
		if !slices.ContainsFunc(live, func(oth rgmodel.Entry) bool { return oth.Name == ent.Name }) {
			live = append(live, ent)
		}
	}
	sortByName(live)
	return live
}

func sortByName(ents []rgmodel.Entry) {
	slices.SortFunc(ents, func(fst, snd rgmodel.Entry) int { return strings.Compare(fst.Name, snd.Name) })
}

// live returns the entries that hold a lease, ordered by name.
func (fol *StoreWatcher) live() []rgmodel.Entry {
	var ents []rgmodel.Entry
	for key, itm := range fol.Items {
		if !strings.HasPrefix(key, KeyEntries) {
			continue
		}
		var ent rgmodel.Entry
		if err := json.Unmarshal(itm.Value, &ent); err != nil {
			fol.Process.log.Error("entry not readable", zap.String("key", key), zap.Error(err))
			continue
		}
		ents = append(ents, ent)
	}
	sortByName(ents)
	return ents
}
