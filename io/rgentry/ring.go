package rgentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
	"ragwortgap/io/rgwire"
)

// confirmPause is the time between two questions to an entry that has not adopted a ring.
const confirmPause = 50 * time.Millisecond

// adoptRing takes in a newer ring, seals all sidecars and gives up the submissions that have moved.
func (pro *Process) adoptRing(work context.Context, sta *state, rng rgmodel.Ring) {
	rgring.AwaitEntries(&sta.ring, rng)
	gap := rng.Generation != sta.ring.Ring.Generation+1
	if !rgring.Adopt(&sta.ring, rng, rgfleet.Keys(&sta.fleet), rgfleet.Departures(&sta.fleet, time.Now())) {
		return
	}
	pro.log.Info("ring changed", zap.Uint64("generation", rng.Generation), zap.Int("entries", len(rng.Entries)))
	for id := range sta.submissions.Submissions {
		if ent, ok := rgring.Home(rng, id); gap || !ok || ent != pro.self {
			pro.moveAway(sta, id)
		}
	}
	for key := range sta.peers {
		pro.seal(work, sta, key)
	}
	for _, ent := range rng.Entries {
		if ent != pro.self {
			pro.traffic.Go(func() { pro.awaitEntry(work, ent, rng.Generation) })
		}
	}
	pro.publish(sta)
	pro.push(work, sta, nil)
	pro.unpark(work, sta)
}

// moveAway forgets a submission, stops its traffic and sends its callers to the new home.
// The traffic must stop before a view is published in which this entry may be the home again.
func (pro *Process) moveAway(sta *state, id rgmodel.SubmissionID) {
	for _, rn := range sta.runs {
		if rn.id == id {
			rn.moved = true
			rn.stop()
		}
	}
	rgsubmission.Forget(&sta.submissions, id)
	for _, cal := range sta.callers[id] {
		close(cal)
	}
	delete(sta.callers, id)
}

// learn takes in what another entry knows, before this entry joins the ring.
func (pro *Process) learn(work context.Context, sta *state, evt membersLearned, now time.Time) {
	rgfleet.Learn(&sta.fleet, evt.members.Sidecars, evt.members.Departed, now)
	for _, sc := range evt.members.Sidecars {
		rgring.Await(&sta.ring, sc.Key())
	}
	if evt.alone {
		rgring.StartWithoutPeers(&sta.ring, now)
		pro.log.Warn("no other entry answers; older submission ids are uncertain")
	}
	pro.adoptTeams(work, sta, evt.members.Teams)
	pro.adoptRing(work, sta, evt.members.Ring)
}

// awaitEntry asks another entry until it has adopted the generation, or the ring has changed again.
func (pro *Process) awaitEntry(work context.Context, ent rgmodel.Entry, generation uint64) {
	for work.Err() == nil && pro.View().Ring.Generation <= generation {
		ctx, stop := context.WithTimeout(work, callTimeout)
		var rep rgwire.MembersReply
		err := pro.entries.ask(ctx, pro, ent, rgwire.Members{}, &rep)
		stop()
		if err == nil && rep.Ring.Generation >= generation {
			pro.tell(work, entryConfirmed{entry: ent, generation: generation, members: rep})
			return
		}
		pause(work, confirmPause)
	}
}

// confirm takes in that another entry knows the ring. Sidecars that only the other one knows must be sealed or lost
// before the takeover is complete.
func (pro *Process) confirm(work context.Context, sta *state, evt entryConfirmed, now time.Time) {
	known := map[rgmodel.SidecarKey]bool{}
	for _, key := range rgfleet.Keys(&sta.fleet) {
		known[key] = true
	}
	rgfleet.Learn(&sta.fleet, evt.members.Sidecars, evt.members.Departed, now)
	for _, key := range rgfleet.Keys(&sta.fleet) {
		if !known[key] {
			rgring.Await(&sta.ring, key)
		}
	}
	rgring.Confirmed(&sta.ring, evt.entry, evt.generation, rgfleet.Departures(&sta.fleet, now))
	pro.unpark(work, sta)
}

// adoptTeams takes in newer configurations and pushes them on.
func (pro *Process) adoptTeams(work context.Context, sta *state, teams []rgmodel.TeamConfig) {
	var newer []rgmodel.TeamConfig
	for _, tc := range teams {
		if tc.Revision > sta.teams[tc.Team].Revision {
			sta.teams[tc.Team] = tc
			newer = append(newer, tc)
		}
	}
	if len(newer) == 0 {
		return
	}
	pro.publish(sta)
	pro.push(work, sta, newer)
}
