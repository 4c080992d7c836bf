package rgentry

import (
	"context"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

// JobState returns what the home of the submission knows of it.
func (pro *Process) JobState(ctx context.Context, id rgmodel.SubmissionID) (rgwire.JobStateReply, error) {
	if ent, ok := pro.elsewhere(id); ok {
		var rep rgwire.JobStateReply
		err := pro.entries.ask(ctx, pro, ent, rgwire.JobState{ID: id}, &rep)
		return rep, err
	}
	return pro.localState(ctx, id)
}

// SidecarConfigs returns what the newest report of each sidecar says of its configuration. It is asked for and not in
// the view, because a change would otherwise publish a view for each sidecar's report.
func (pro *Process) SidecarConfigs(ctx context.Context) (map[rgmodel.SidecarKey]rgmodel.ConfigVersion, error) {
	rep := make(chan map[rgmodel.SidecarKey]rgmodel.ConfigVersion, 1)
	return ask(ctx, pro, ConfigsRequested{Reply: rep}, rep)
}

func (pro *Process) elsewhere(id rgmodel.SubmissionID) (rgmodel.Entry, bool) {
	ent, ok := rgring.Home(pro.View().Ring, id)
	return ent, ok && ent != pro.self
}

func (pro *Process) localState(ctx context.Context, id rgmodel.SubmissionID) (rgwire.JobStateReply, error) {
	rep := make(chan rgwire.JobStateReply, 1)
	return ask(ctx, pro, StateRequested{ID: id, Reply: rep}, rep)
}

func jobState(sta *State, id rgmodel.SubmissionID) rgwire.JobStateReply {
	sub := sta.Home.Submissions.Submissions[id]
	if sub == nil {
		return rgwire.JobStateReply{}
	}
	return rgwire.JobStateReply{Found: true, Team: sub.Flow.Team, Final: sub.Final, Answer: sub.Answer}
}

// newerRing makes sure that a sidecar in contact with this entry learns of a ring that this entry has adopted.
func newerRing(sta *State, known uint64) rgwire.ReportReply {
	if known >= sta.Home.Ring.Ring.Generation {
		return rgwire.ReportReply{}
	}
	return rgwire.ReportReply{Ring: sta.Home.Ring.Ring}
}

func teamList(teams map[string]rgmodel.TeamConfig) []rgmodel.TeamConfig {
	lis := make([]rgmodel.TeamConfig, 0, len(teams))
	for _, tc := range teams {
		lis = append(lis, tc)
	}
	return lis
}

// View returns the newest published view.
func (pro *Process) View() *View {
	return pro.view.Load()
}

// Self returns the identity of this incarnation.
func (pro *Process) Self() rgmodel.Entry {
	return pro.self
}
