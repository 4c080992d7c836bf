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
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 250 * time.Millisecond
)

// follower is the traffic goroutine that watches the store.
type follower struct {
	process *Process
	items   map[string]rgstore.Item
	version uint64
}

// followStore joins the ring and follows the store. When ctx ends, the entry gives its lease back, so that other
// entries become the homes of its jobs; it goes on following until work ends, because it passes its callers on to them.
func (pro *Process) followStore(ctx, work context.Context) {
	fol := follower{process: pro}
	fol.read(work)
	fol.learn(work)
	pro.traffic.Go(func() { pro.keepLease(ctx, work) })
	for work.Err() == nil {
		fol.adopt(work)
		fol.proposeRing(work)
		if err := fol.watch(work); err != nil && work.Err() == nil {
			pro.scope.Counter("storeErrors").Inc(1)
			pause(work, storeRetry)
			fol.read(work)
		}
	}
}

// read takes the whole state from the store, or from another entry while the store is down.
func (fol *follower) read(ctx context.Context) {
	asked := false
	for ctx.Err() == nil {
		lis, err := fol.process.store.List(ctx, KeyPrefix)
		if err == nil {
			fol.items = map[string]rgstore.Item{}
			fol.version = lis.Version
			fol.merge(lis.Items)
			return
		}
		fol.process.scope.Counter("storeErrors").Inc(1)
		if !asked && fol.process.View().Ring.Generation == 0 {
			asked = fol.learnFrom(ctx, fol.process.settings.Peers)
		}
		pause(ctx, storeRetry)
	}
}

func (fol *follower) watch(ctx context.Context) error {
	lis, err := fol.process.store.Watch(ctx, KeyPrefix, fol.version, watchWait)
	if err != nil {
		return err
	}
	if lis.Version < fol.version {
		return errors.NotValidf("store version %d after %d", lis.Version, fol.version)
	}
	fol.version = lis.Version
	fol.merge(lis.Items)
	return nil
}

func (fol *follower) merge(itms []rgstore.Item) {
	for _, itm := range itms {
		if itm.Deleted {
			delete(fol.items, itm.Key)
			continue
		}
		fol.items[itm.Key] = itm
	}
}

// learn asks the members of the ring for sidecars and departures, before this entry joins.
func (fol *follower) learn(ctx context.Context) {
	rng, ok := fol.ring()
	if !ok {
		return
	}
	var adrs []string
	for _, ent := range rng.Entries {
		if ent.Address != fol.process.self.Address {
			adrs = append(adrs, ent.Address)
		}
	}
	if !fol.learnFrom(ctx, adrs) {
		fol.process.tell(ctx, membersLearned{alone: true})
	}
}

// learnFrom returns whether one of the addresses has answered.
func (fol *follower) learnFrom(ctx context.Context, adrs []string) bool {
	for _, adr := range adrs {
		ask, stop := context.WithTimeout(ctx, callTimeout)
		var rep rgwire.MembersReply
		err := fol.process.entries.ask(ask, fol.process, rgmodel.Entry{Address: adr}, rgwire.Members{}, &rep)
		stop()
		if err == nil && rep.Ring.Generation > 0 {
			return fol.process.tell(ctx, membersLearned{members: rep})
		}
	}
	return false
}

// adopt passes the ring and the configurations on to the control goroutine, which ignores what is not newer.
func (fol *follower) adopt(ctx context.Context) {
	var teams []rgmodel.TeamConfig
	for key, itm := range fol.items {
		if !strings.HasPrefix(key, KeyConfig) {
			continue
		}
		var tc rgmodel.TeamConfig
		if err := json.Unmarshal(itm.Value, &tc); err != nil {
			fol.process.log.Error("configuration not readable", zap.String("key", key), zap.Error(err))
			continue
		}
		teams = append(teams, tc)
	}
	fol.process.tell(ctx, teamsRead{teams: teams})
	if rng, ok := fol.ring(); ok {
		fol.process.tell(ctx, ringRead{ring: rng})
	}
}

func (fol *follower) ring() (rgmodel.Ring, bool) {
	itm, ok := fol.items[KeyRing]
	if !ok {
		return rgmodel.Ring{}, false
	}
	var rng rgmodel.Ring
	if err := json.Unmarshal(itm.Value, &rng); err != nil {
		fol.process.log.Error("ring not readable", zap.Error(err))
		return rgmodel.Ring{}, false
	}
	return rng, true
}

// proposeRing writes the next ring when the live entries are not those of the current one. Losing the race is no
// error: the watch brings the winner's ring.
func (fol *follower) proposeRing(ctx context.Context) {
	live := fol.live()
	cur, _ := fol.ring()
	if len(live) == 0 || slices.Equal(live, cur.Entries) {
		return
	}
	gen := max(cur.Generation, fol.process.View().Ring.Generation) + 1
	raw, err := json.Marshal(rgmodel.Ring{Generation: gen, Entries: live})
	if err != nil {
		fol.process.log.Error("encode ring", zap.Error(err))
		return
	}
	res := fol.process.store.Put(ctx, KeyRing, rgstore.Write{Value: raw, Expected: fol.items[KeyRing].Version})
	switch res := res.(type) {
	case rgstore.Written:
		fol.process.log.Info("ring written", zap.Uint64("generation", gen))
	case rgstore.Conflicted:
	case rgstore.Unknown:
		fol.process.log.Warn("ring write not answered", zap.Error(res.Err))
	}
}

// live returns the entries that hold a lease, ordered by name.
func (fol *follower) live() []rgmodel.Entry {
	var ents []rgmodel.Entry
	for key, itm := range fol.items {
		if !strings.HasPrefix(key, KeyEntries) {
			continue
		}
		var ent rgmodel.Entry
		if err := json.Unmarshal(itm.Value, &ent); err != nil {
			fol.process.log.Error("entry not readable", zap.String("key", key), zap.Error(err))
			continue
		}
		ents = append(ents, ent)
	}
	slices.SortFunc(ents, func(fst, snd rgmodel.Entry) int { return strings.Compare(fst.Name, snd.Name) })
	return ents
}

// keepLease holds the entry's leased key until ctx ends, and then gives it back.
func (pro *Process) keepLease(ctx, work context.Context) {
	ttl := pro.settings.LeaseTime.Duration
	lease, confirmed := "", false
	for ctx.Err() == nil {
		began := time.Now()
		held := false
		if lease == "" {
			lease = pro.takeLease(ctx)
			held, confirmed = lease != "", false
		} else {
			err := pro.store.Renew(ctx, lease)
			if errors.Is(err, errors.NotFound) {
				pro.log.Warn("lease lapsed")
				lease = ""
				continue
			}
			held = err == nil
		}
		// The ring may have changed before the lease was taken, so it is read before the lease counts.
		confirmed = confirmed || (held && pro.readRing(ctx))
		if held && confirmed {
			pro.tell(ctx, leaseHeld{until: began.Add(ttl)})
		}
		pause(ctx, ttl/3)
	}
	rep := make(chan struct{}, 1)
	// An error means that the control goroutine has ended and states no more verdicts.
	_, _ = ask(work, pro, leaseEnded{reply: rep}, rep)
	if lease != "" {
		giveBack, stop := context.WithTimeout(work, callTimeout)
		defer stop()
		if err := pro.store.Revoke(giveBack, lease); err != nil {
			pro.log.Warn("lease not given back", zap.Error(err))
		}
	}
}

// readRing passes the ring in the store on to the control goroutine and returns whether the store answered.
func (pro *Process) readRing(ctx context.Context) bool {
	itm, err := pro.store.Get(ctx, KeyRing)
	if errors.Is(err, errors.NotFound) {
		return true
	}
	var rng rgmodel.Ring
	if err != nil || json.Unmarshal(itm.Value, &rng) != nil {
		return false
	}
	return pro.tell(ctx, ringRead{ring: rng})
}

// takeLease writes the entry's key under a new lease and returns the lease, or nothing if the store did not answer.
func (pro *Process) takeLease(ctx context.Context) string {
	raw, err := json.Marshal(pro.self)
	if err != nil {
		pro.log.Error("encode entry", zap.Error(err))
		return ""
	}
	lea, err := pro.store.Grant(ctx, pro.settings.LeaseTime.Duration)
	if err != nil {
		pro.scope.Counter("storeErrors").Inc(1)
		return ""
	}
	key := KeyEntries + pro.self.Name
	wri := rgstore.Write{Value: raw, Lease: lea.ID}
	res := pro.store.Put(ctx, key, wri)
	if con, ok := res.(rgstore.Conflicted); ok {
		// The key of an earlier incarnation may outlive it by the lease time.
		wri.Expected = con.Current.Version
		res = pro.store.Put(ctx, key, wri)
	}
	if _, ok := res.(rgstore.Written); !ok {
		return ""
	}
	return lea.ID
}
