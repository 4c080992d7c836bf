package rgentry

import (
	"context"
	"time"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgwire"
)

// JobState returns the state of a submission at its home.
func (pro *Process) JobState(ctx context.Context, id rgmodel.SubmissionID) (rgwire.JobStateReply, error) {
	if ent, ok := pro.remoteHome(id); ok {
		var rep rgwire.JobStateReply
		err := pro.entries.request(ctx, pro, ent, rgwire.JobStateRequest{ID: id}, &rep)
		return rep, err
	}
	return pro.localState(ctx, id)
}

// SidecarConfigs returns the configuration version in the newest report of each sidecar. It is not part of the view,
// because every report after a change would then publish a new view.
func (pro *Process) SidecarConfigs(ctx context.Context) (map[rgmodel.SidecarKey]rgmodel.ConfigVersion, error) {
	rep := make(chan map[rgmodel.SidecarKey]rgmodel.ConfigVersion, 1)
	return request(ctx, pro, SidecarConfigsRequested{Reply: rep}, rep)
}

// remoteHome returns the home of the submission and true if that is another entry.
func (pro *Process) remoteHome(id rgmodel.SubmissionID) (rgmodel.Entry, bool) {
	ent, ok := rgring.Home(pro.View().Ring, id)
	return ent, ok && ent != pro.self
}

func (pro *Process) localState(ctx context.Context, id rgmodel.SubmissionID) (rgwire.JobStateReply, error) {
	rep := make(chan rgwire.JobStateReply, 1)
	return request(ctx, pro, JobStateRequested{ID: id, Reply: rep}, rep)
}

func jobState(sta *State, id rgmodel.SubmissionID, now time.Time) rgwire.JobStateReply {
	sub := sta.Home.Submissions.Submissions[id]
	if sub == nil {
		return rgwire.JobStateReply{}
	}
	ans := rghome.StoredAnswer(&sta.Home, id, now)
	return rgwire.JobStateReply{Found: true, Team: sub.Flow.Team, Final: sub.Final, Answer: ans}
}

// newerRing returns the reply to a report. It contains the ring if the sidecar knows only an older one, so every
// connected sidecar gets each adopted ring.
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
