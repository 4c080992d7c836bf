package rgentry

import (
	"context"
	"net"
	"testing"

	"github.com/uber-go/tally/v4"

	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgwire"
)

// TestRefusedPart guards against "not run" for tasks of which the sidecar has not said so.
func TestRefusedPart(t *testing.T) {
	tests := map[string]struct {
		reply rgwire.BatchReply
		want  rgmodel.Outcome
	}{
		"task refused": {
			rgwire.BatchReply{Outcomes: []rgmodel.Outcome{{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonQueueFull}}},
			rgmodel.Outcome{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonQueueFull},
		},
		"id recorded with another digest": {
			rgwire.BatchReply{Refused: rgmodel.ReasonDigestMismatch}, rgmodel.Outcome{Reason: rgmodel.ReasonDigestMismatch},
		},
		"no outcome for the task": {rgwire.BatchReply{}, rgmodel.Outcome{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			entryEnd, sidecarEnd := net.Pipe()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			sidecar := rgwire.ServeRequests(ctx, sidecarEnd, func(context.Context, *rgwire.Peer, rgwire.Message) (any, error) {
				return tc.reply, nil
			})
			defer sidecar.Close()
			per := rgwire.ServeRequests(ctx, entryEnd, nil)
			pro := &Process{mailbox: rgmailbox.New[Event](), scope: tally.NoopScope}
			pro.view.Store(&View{})
			go func() {
				evt := (<-pro.mailbox.Events).(SidecarConnRequested)
				evt.Reply <- SidecarConnState{Peer: per}
			}()
			outs := JobRunner{Process: pro}.runPart(ctx, rgjob.Part{Tasks: []rgmodel.Task{{}}})
			if len(outs) != 1 || outs[0].Verdict != tc.want.Verdict || outs[0].Reason != tc.want.Reason {
				t.Errorf("got %+v, want %+v", outs, tc.want)
			}
		})
	}
}
