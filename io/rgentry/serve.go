package rgentry

import (
	"context"

	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// serve handles the messages of sidecars and other entries. It is called in a goroutine for each message.
func (pro *Process) serve(ctx context.Context, per *rgwire.Peer, msg rgwire.Message) (any, error) {
	switch msg := msg.(type) {
	case rgwire.Announce:
		rep := make(chan rgwire.AnnounceReply, 1)
		return request(ctx, pro, SidecarAnnounced{Sidecar: msg.Sidecar, Peer: per, Reply: rep}, rep)
	case rgwire.Report:
		rep := make(chan rgwire.ReportReply, 1)
		return request(ctx, pro, ReportReceived{Report: msg.LoadReport, Reply: rep}, rep)
	case rgwire.Configure:
		rep := make(chan rgwire.ConfigureReply, 1)
		return request(ctx, pro, ConfigureReceived{Ring: msg.Ring, Teams: msg.Teams, Reply: rep}, rep)
	case rgwire.Leave:
		rep := make(chan struct{}, 1)
		return request(ctx, pro, LeaveRequested{Key: msg.Sidecar, Reply: rep}, rep)
	case rgwire.SnapshotRequest:
		rep := make(chan rgwire.SnapshotReply, 1)
		return request(ctx, pro, SnapshotRequested{Ring: msg.Ring, Reply: rep}, rep)
	case rgwire.TeamConfigsRequest:
		vie := pro.View()
		return rgwire.TeamConfigsReply{Ring: vie.Ring, Teams: rgconfig.Newer(vie.Teams, msg.Revisions)}, nil
	case rgwire.QuotaUsage:
		pro.mailbox.Send(ctx, UsageReceived{Usage: msg})
		return struct{}{}, nil
	case rgwire.Forward:
		res := pro.submitJob(ctx, msg.Job, false, msg.Hops)
		return rgwire.ForwardReply{Answer: res.Answer, RetryAfter: rgmodel.Duration{Duration: res.RetryAfter}}, nil
	case rgwire.JobStateRequest:
		return pro.localState(ctx, msg.ID)
	case rgwire.CancelJob:
		return pro.localCancel(ctx, msg.ID)
	default:
		return nil, errors.NotSupportedf("message %T at an entry", msg)
	}
}
