package rgentry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/core/rgsubmission"
)

// adoptRing takes in a newer ring, seals all sidecars and gives up the submissions that have moved.
func (pro *Process) adoptRing(work context.Context, sta *state, rng rgmodel.Ring) {
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
