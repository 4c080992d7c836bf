package rgentry

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgwire"
)

const (
	// learnInterval is the time between rounds of asking other entries, while some are unaccounted for.
	learnInterval = time.Second
	// learnTimeout bounds the call to one entry.
	learnTimeout = time.Second
	// tellPause is the time between attempts to pass a ring on.
	tellPause = 100 * time.Millisecond
)

// adoptRing takes in a newer ring, seals all sidecars and gives up the submissions that have moved.
func (pro *Process) adoptRing(work context.Context, sta *State, rng rgmodel.Ring, now time.Time) {
	old := sta.Home.Ring.Ring
	moved, ok := rghome.AdoptRing(&sta.Home, rng, now)
	if !ok {
		return
	}
	clear(sta.PushTargets)
	rgadmission.ForgetUsage(&sta.Home.Admission, rng)
	pro.log.Info("ring changed", zap.Uint64("generation", rng.Generation), zap.Int("entries", len(rng.Entries)))
	for _, id := range moved {
		pro.moveAway(sta, id)
	}
	for key := range sta.Peers {
		pro.seal(work, sta, key)
	}
	pro.publish(sta)
	pro.pushRing(work, sta)
	pro.tellEntries(work, sta, old)
	pro.traffic.Go(func() { pro.checkRing(work) })
	pro.startLearning(work, sta, old)
	pro.unpark(work, sta)
}

// moveAway stops the traffic of a submission and sends its callers to the new home.
// The traffic must stop before a view is published in which this entry may be the home again.
func (pro *Process) moveAway(sta *State, id rgmodel.SubmissionID) {
	for _, rn := range sta.Runs {
		if rn.ID == id {
			rn.Moved = true
			rn.Stop()
		}
	}
	for _, cal := range sta.Callers[id] {
		close(cal)
	}
	delete(sta.Callers, id)
}

// tellEntries passes the ring on to the entries of the old and the new one until they confirm it, because some may
// not reach the store and would go on as homes under the old ring.
func (pro *Process) tellEntries(work context.Context, sta *State, old rgmodel.Ring) {
	rng := sta.Home.Ring.Ring
	told := map[string]bool{pro.self.Incarnation: true}
	for _, ent := range slices.Concat(old.Entries, rng.Entries) {
		if !told[ent.Incarnation] {
			told[ent.Incarnation] = true
			pro.traffic.Go(func() { pro.tellEntry(work, ent, rng) })
		}
	}
}

// tellEntry passes a ring on until the entry confirms it, ends, or can no longer be certain of an older ring.
func (pro *Process) tellEntry(work context.Context, ent rgmodel.Entry, rng rgmodel.Ring) {
	ctx, stop := context.WithTimeout(work, rgmodel.RingLeaseTime)
	defer stop()
	for ctx.Err() == nil {
		var rep rgwire.ConfigureReply
		err := pro.entries.ask(ctx, pro, ent, rgwire.Configure{Ring: rng}, &rep)
		switch {
		case err == nil:
			pro.tell(work, RingConfirmed{Incarnation: ent.Incarnation, Generation: rep.Generation})
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			pro.tell(work, RingConfirmed{Incarnation: ent.Incarnation, Ended: true})
			return
		}
		rgclock.Pause(ctx, tellPause)
	}
}

func (pro *Process) confirm(work context.Context, sta *State, evt RingConfirmed) {
	if evt.Ended {
		rgring.EntryEnded(&sta.Home.Ring, evt.Incarnation)
	} else {
		rgring.ConfirmRing(&sta.Home.Ring, evt.Incarnation, evt.Generation)
	}
	pro.unpark(work, sta)
}

// startLearning asks other entries for their sidecars if this entry may not know them all.
func (pro *Process) startLearning(work context.Context, sta *State, old rgmodel.Ring) {
	rng := sta.Home.Ring.Ring
	if sta.LearningSidecars || rgring.KnowsAllSidecars(&sta.Home.Ring) || !slices.Contains(rng.Entries, pro.self) {
		return
	}
	if sta.LearningSince.IsZero() {
		sta.LearningSince = time.Now()
	}
	sta.LearningSidecars = true
	asked := slices.Concat(old.Entries, rng.Entries, sta.Home.Ring.Unaccounted)
	pro.traffic.Go(func() { pro.askEntries(work, rng, asked) })
}

// askEntries asks each entry once and reports what they know, and which have neither answered nor ended.
func (pro *Process) askEntries(work context.Context, rng rgmodel.Ring, asked []rgmodel.Entry) {
	evt := SnapshotsReceived{Generation: rng.Generation}
	seen := map[string]bool{pro.self.Incarnation: true}
	for _, ent := range asked {
		if seen[ent.Incarnation] {
			continue
		}
		seen[ent.Incarnation] = true
		ctx, stop := context.WithTimeout(work, learnTimeout)
		var rep rgwire.MembersReply
		err := pro.entries.ask(ctx, pro, ent, rgwire.Members{Ring: rng}, &rep)
		stop()
		switch {
		case err == nil:
			evt.Snapshots = append(evt.Snapshots, rep.Snapshot)
		case !errors.Is(err, syscall.ECONNREFUSED):
			evt.Unaccounted = append(evt.Unaccounted, ent)
		}
	}
	pro.tell(work, evt)
}

// learn takes in what other entries know. Without one that knows all sidecars, ids are uncertain until every entry of
// earlier rings is accounted for, and at most for the resubmission window.
func (pro *Process) learn(work context.Context, sta *State, evt SnapshotsReceived, now time.Time) {
	for _, snp := range evt.Snapshots {
		rghome.MergeSnapshot(&sta.Home, snp, now)
		pro.adoptTeams(work, sta, snp.Teams, now)
		pro.adoptRing(work, sta, snp.Ring, now)
		evt.Unaccounted = append(evt.Unaccounted, snp.Unaccounted...)
	}
	if evt.Generation == 0 {
		return
	}
	sta.LearningSidecars = false
	switch {
	case rgring.KnowsAllSidecars(&sta.Home.Ring) || !slices.Contains(sta.Home.Ring.Ring.Entries, pro.self):
	case evt.Generation < sta.Home.Ring.Ring.Generation:
		// The ring has changed since; an entry that was asked then may not have adopted the new one.
		pro.startLearning(work, sta, sta.Home.Ring.Ring)
	default:
		pro.goAlone(work, sta, evt.Unaccounted, now)
	}
	if rgring.KnowsAllSidecars(&sta.Home.Ring) {
		sta.LearningSince = time.Time{}
	}
	pro.publish(sta)
	pro.unpark(work, sta)
}

func (pro *Process) goAlone(work context.Context, sta *State, unaccounted []rgmodel.Entry, now time.Time) {
	if now.Sub(sta.LearningSince) > rgmodel.MaxResubmissionWindow {
		unaccounted = nil
	}
	if sta.Home.Ring.MemberSince == 0 {
		pro.log.Warn("no other entry knows all sidecars; older submission ids are uncertain", zap.Int("unaccounted", len(unaccounted)))
	}
	rgring.ProceedWithoutPeers(&sta.Home.Ring, now.Add(2*learnInterval), unaccounted)
	if len(unaccounted) > 0 {
		sta.LearningSidecars = true
		rng := sta.Home.Ring.Ring
		pro.traffic.Go(func() {
			rgclock.Pause(work, learnInterval)
			pro.askEntries(work, rng, slices.Concat(rng.Entries, unaccounted))
		})
	}
}

// adoptTeams takes in newer configurations and pushes them on.
func (pro *Process) adoptTeams(work context.Context, sta *State, teams []rgmodel.TeamConfig, now time.Time) {
	// Operators read the sources of settings in the store; here they would only make messages longer.
	newer := rgconfig.Merge(sta.Home.Teams, rgconfig.StripSources(teams))
	if len(newer) == 0 {
		return
	}
	before := sta.Config.Revisions
	sta.Config = rgconfig.VersionOf(sta.Home.Teams)
	rgconfig.RecordChange(&sta.History, newer, before, sta.Config.Revisions, now)
	pro.publish(sta)
	pro.pushTeams(work, sta, newer)
}
