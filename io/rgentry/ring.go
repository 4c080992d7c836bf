package rgentry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

// adoptRing takes in a newer ring, seals all sidecars and gives up the submissions that have moved.
func (pro *Process) adoptRing(work context.Context, sta *state, rng rgmodel.Ring) {
	old := sta.home.Ring.Ring
	moved, ok := rghome.AdoptRing(&sta.home, rng)
	if !ok {
		return
	}
	pro.tellEntries(work, old, rng)
	pro.log.Info("ring changed", zap.Uint64("generation", rng.Generation), zap.Int("entries", len(rng.Entries)))
	for _, id := range moved {
		pro.moveAway(sta, id)
	}
	for key := range sta.peers {
		pro.seal(work, sta, key)
	}
	pro.publish(sta)
	pro.push(work, sta, nil)
	pro.unpark(work, sta)
}

// tellEntries passes a ring on to the entries of the old and the new one, because some may not reach the store and
// would go on as homes under the old ring.
func (pro *Process) tellEntries(work context.Context, old, rng rgmodel.Ring) {
	told := map[string]bool{pro.self.Address: true}
	for _, ent := range slices.Concat(old.Entries, rng.Entries) {
		if told[ent.Address] {
			continue
		}
		told[ent.Address] = true
		pro.traffic.Go(func() {
			ctx, stop := context.WithTimeout(work, callTimeout)
			defer stop()
			// An entry that cannot be reached learns of the ring from the store or from its sidecars.
			_ = pro.entries.ask(ctx, pro, ent, rgwire.Configure{Ring: rng}, nil)
		})
	}
}

// moveAway stops the traffic of a submission and sends its callers to the new home.
// The traffic must stop before a view is published in which this entry may be the home again.
func (pro *Process) moveAway(sta *state, id rgmodel.SubmissionID) {
	for _, rn := range sta.runs {
		if rn.id == id {
			rn.moved = true
			rn.stop()
		}
	}
	for _, cal := range sta.callers[id] {
		close(cal)
	}
	delete(sta.callers, id)
}

// learn takes in what another entry knows, before this entry joins the ring.
func (pro *Process) learn(work context.Context, sta *state, evt membersLearned, now time.Time) {
	rghome.Learn(&sta.home, evt.members.Sidecars, evt.members.Departed, now)
	if evt.alone {
		rgring.StartWithoutPeers(&sta.home.Ring, now)
		pro.log.Warn("no other entry answers; older submission ids are uncertain")
	}
	pro.adoptTeams(work, sta, evt.members.Teams)
	pro.adoptRing(work, sta, evt.members.Ring)
}

// adoptTeams takes in newer configurations and pushes them on.
func (pro *Process) adoptTeams(work context.Context, sta *state, teams []rgmodel.TeamConfig) {
	var newer []rgmodel.TeamConfig
	for _, tc := range teams {
		if tc.Revision > sta.home.Teams[tc.Team].Revision {
			sta.home.Teams[tc.Team] = tc
			newer = append(newer, tc)
		}
	}
	if len(newer) == 0 {
		return
	}
	pro.publish(sta)
	pro.push(work, sta, newer)
}
