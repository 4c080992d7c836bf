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
	// sidecarSyncInterval is the time between rounds of requests for the snapshots of other entries, while some are
	// unresponsive.
	sidecarSyncInterval = time.Second
	// sidecarSyncTimeout bounds the request for one snapshot.
	sidecarSyncTimeout = time.Second
	// ringRetryDelay is the delay between attempts to push a ring to an entry.
	ringRetryDelay = 100 * time.Millisecond
)

// adoptRing adopts a newer ring, seals all sidecars and stops the submissions that have moved to other homes.
func (pro *Process) adoptRing(workCtx context.Context, sta *State, rng rgmodel.Ring, now time.Time) {
	old := sta.Home.Ring.Ring
	moved, ok := rghome.AdoptRing(&sta.Home, rng, now)
	if !ok {
		return
	}
	clear(sta.PushTargets)
	rgadmission.ForgetUsage(&sta.Home.Admission, rng)
	pro.log.Info("ring changed", zap.Uint64("generation", rng.Generation), zap.Int("entries", len(rng.Entries)))
	for _, id := range moved {
		pro.stopMoved(sta, id)
	}
	for key := range sta.SidecarConns {
		pro.seal(workCtx, sta, key)
	}
	pro.publish(sta)
	pro.pushRing(workCtx, sta)
	pro.pushRingToEntries(workCtx, sta, old)
	pro.traffic.Go(func() { pro.renewRingLease(workCtx) })
	pro.startSidecarSync(workCtx, sta, old)
	pro.unpark(workCtx, sta)
}

// stopMoved stops the run of a submission that has moved, and wakes its callers, which then forward it to the new home.
// The run must stop before a view is published in which this entry may be the home again.
func (pro *Process) stopMoved(sta *State, id rgmodel.SubmissionID) {
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

// pushRingToEntries pushes the ring to the entries of the old and the new one until they confirm it, because entries that
// cannot reach the store would otherwise continue as homes under the old ring.
func (pro *Process) pushRingToEntries(workCtx context.Context, sta *State, old rgmodel.Ring) {
	rng := sta.Home.Ring.Ring
	seen := map[string]bool{pro.self.Incarnation: true}
	for _, ent := range slices.Concat(old.Entries, rng.Entries) {
		if !seen[ent.Incarnation] {
			seen[ent.Incarnation] = true
			pro.traffic.Go(func() { pro.pushRingToEntry(workCtx, ent, rng) })
		}
	}
}

// pushRingToEntry pushes a ring until the entry confirms it or has ended, or its lease of an older ring has expired.
func (pro *Process) pushRingToEntry(workCtx context.Context, ent rgmodel.Entry, rng rgmodel.Ring) {
	ctx, stop := context.WithTimeout(workCtx, rgmodel.RingLeaseTime)
	defer stop()
	for ctx.Err() == nil {
		var rep rgwire.ConfigureReply
		err := pro.entries.request(ctx, pro, ent, rgwire.Configure{Ring: rng}, &rep)
		switch {
		case err == nil:
			pro.mailbox.Send(workCtx, RingConfirmed{Incarnation: ent.Incarnation, Generation: rep.Generation})
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			pro.mailbox.Send(workCtx, RingConfirmed{Incarnation: ent.Incarnation, Ended: true})
			return
		}
		rgclock.Sleep(ctx, ringRetryDelay)
	}
}

func (pro *Process) confirmRing(workCtx context.Context, sta *State, evt RingConfirmed) {
	if evt.Ended {
		rgring.RemoveEntry(&sta.Home.Ring, evt.Incarnation)
	} else {
		rgring.ConfirmRing(&sta.Home.Ring, evt.Incarnation, evt.Generation)
	}
	pro.unpark(workCtx, sta)
}

// startSidecarSync requests the snapshots of other entries if this entry may not know all sidecars.
func (pro *Process) startSidecarSync(workCtx context.Context, sta *State, old rgmodel.Ring) {
	rng := sta.Home.Ring.Ring
	if sta.SyncingSidecars || rgring.KnowsAllSidecars(&sta.Home.Ring) || !slices.Contains(rng.Entries, pro.self) {
		return
	}
	if sta.SyncingSince.IsZero() {
		sta.SyncingSince = time.Now()
	}
	sta.SyncingSidecars = true
	asked := slices.Concat(old.Entries, rng.Entries, sta.Home.Ring.Unresponsive)
	pro.traffic.Go(func() { pro.requestSnapshots(workCtx, rng, asked) })
}

// requestSnapshots requests a snapshot from each entry once, and reports which entries have neither replied nor ended.
func (pro *Process) requestSnapshots(workCtx context.Context, rng rgmodel.Ring, asked []rgmodel.Entry) {
	evt := SnapshotsReceived{Generation: rng.Generation}
	seen := map[string]bool{pro.self.Incarnation: true}
	for _, ent := range asked {
		if seen[ent.Incarnation] {
			continue
		}
		seen[ent.Incarnation] = true
		ctx, stop := context.WithTimeout(workCtx, sidecarSyncTimeout)
		var rep rgwire.SnapshotReply
		err := pro.entries.request(ctx, pro, ent, rgwire.SnapshotRequest{Ring: rng}, &rep)
		stop()
		switch {
		case err == nil:
			evt.Snapshots = append(evt.Snapshots, rep.Snapshot)
		case !errors.Is(err, syscall.ECONNREFUSED):
			evt.Unresponsive = append(evt.Unresponsive, ent)
		}
	}
	pro.mailbox.Send(workCtx, evt)
}

// mergeSnapshots merges the snapshots of other entries. If none of these entries knows all sidecars, ids stay uncertain
// until every entry of earlier rings has replied or ended, and at most for MaxResubmissionWindow.
func (pro *Process) mergeSnapshots(workCtx context.Context, sta *State, evt SnapshotsReceived, now time.Time) {
	for _, snp := range evt.Snapshots {
		rghome.MergeSnapshot(&sta.Home, snp, now)
		pro.adoptTeamConfigs(workCtx, sta, snp.Teams, now)
		pro.adoptRing(workCtx, sta, snp.Ring, now)
		evt.Unresponsive = append(evt.Unresponsive, snp.Unresponsive...)
	}
	if evt.Generation == 0 {
		return
	}
	sta.SyncingSidecars = false
	switch {
	case rgring.KnowsAllSidecars(&sta.Home.Ring) || !slices.Contains(sta.Home.Ring.Ring.Entries, pro.self):
	case evt.Generation < sta.Home.Ring.Ring.Generation:
		// The ring has changed since, and an entry may have replied before it adopted the new one.
		pro.startSidecarSync(workCtx, sta, sta.Home.Ring.Ring)
	default:
		pro.proceedWithoutPeers(workCtx, sta, evt.Unresponsive, now)
	}
	if rgring.KnowsAllSidecars(&sta.Home.Ring) {
		sta.SyncingSince = time.Time{}
	}
	pro.publish(sta)
	pro.unpark(workCtx, sta)
}

// proceedWithoutPeers lets this entry serve as a home although no other entry knows all sidecars, and requests the
// snapshots of unresponsive entries again.
func (pro *Process) proceedWithoutPeers(workCtx context.Context, sta *State, unresponsive []rgmodel.Entry, now time.Time) {
	if now.Sub(sta.SyncingSince) > rgmodel.MaxResubmissionWindow {
		unresponsive = nil
	}
	if sta.Home.Ring.AllSidecarsKnownSince == 0 {
		pro.log.Warn("no other entry knows all sidecars; older submission ids are uncertain", zap.Int("unaccounted", len(unresponsive)))
	}
	rgring.ProceedWithoutPeers(&sta.Home.Ring, now.Add(2*sidecarSyncInterval), unresponsive)
	if len(unresponsive) > 0 {
		sta.SyncingSidecars = true
		rng := sta.Home.Ring.Ring
		pro.traffic.Go(func() {
			rgclock.Sleep(workCtx, sidecarSyncInterval)
			pro.requestSnapshots(workCtx, rng, slices.Concat(rng.Entries, unresponsive))
		})
	}
}

// adoptTeamConfigs adopts newer configurations and pushes them to sidecars.
func (pro *Process) adoptTeamConfigs(workCtx context.Context, sta *State, teams []rgmodel.TeamConfig, now time.Time) {
	// The sources of settings are for operators, who read them in the store; here they would only make messages larger.
	newer := rgconfig.Merge(sta.Home.Teams, rgconfig.StripSources(teams))
	if len(newer) == 0 {
		return
	}
	before := sta.Config.Revisions
	sta.Config = rgconfig.VersionOf(sta.Home.Teams)
	rgconfig.RecordChange(&sta.History, newer, before, sta.Config.Revisions, now)
	pro.publish(sta)
	pro.pushTeamConfigs(workCtx, sta, newer)
}
