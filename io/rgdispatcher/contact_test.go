package rgdispatcher

import (
	"context"
	"testing"
	"time"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstandin"
)

// awaitAnsweredProbes waits until the caller has answered probes, each of which ends a silence.
func awaitAnsweredProbes(ctx context.Context, t *testing.T, probes int) {
	t.Helper()
	tick, timeout := time.NewTicker(10*time.Millisecond), time.After(20*time.Second)
	defer tick.Stop()
	last := time.Duration(0)
	for probes > 0 {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("%d probes were not answered", probes)
		}
		silence, _, _ := rgserver.Contact(ctx)
		if silence < last {
			probes--
		}
		last = silence
	}
}

// TestDeadCaller guards against a long job that runs until its deadline although its caller is gone, because a cut has swallowed the end
// of the connection: the caller sends the job elsewhere, where its tasks run at the same time. It also guards against callers that are
// given up although they are only slow.
func TestDeadCaller(t *testing.T) {
	const resend, taskStop = 1300 * time.Millisecond, 50 * time.Millisecond
	tests := map[string]struct {
		dead bool
	}{
		"cut off": {dead: true},
		"slow":    {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			har := newCallerHarness(t)
			har.pro.settings = rgsettings.PlatformProcess{
				ResendDelay: rgmodel.Duration{Duration: resend}, TaskStopTime: rgmodel.Duration{Duration: taskStop},
			}
			har.pro.applySettings(har.sta)
			caller, own := connectTCP(t)
			ctx, cancel := context.WithCancel(rgserver.WithConnection(t.Context(), own))
			defer cancel()
			answered := make(chan rgdispatch.SendAnswer, 1)
			go func() { answered <- har.pro.Submit(ctx, newJobRequest("job")) }()
			har.pro.handleOrDrop(har.sta, har.now, <-har.pro.mailbox.Events)
			if tc.dead {
				if err := rgstandin.CutSocket(caller, true); err != nil {
					t.Fatal(err)
				}
				har.pro.handleOrDrop(har.sta, har.now, <-har.pro.mailbox.Events)
			} else {
				awaitAnsweredProbes(ctx, t, 2)
				if got := len(har.pro.mailbox.Events); got > 0 {
					t.Errorf("%d events for a caller that waits, want none", got)
				}
				cancel()
			}
			if ans := <-answered; ans.Verdict != rgmodel.MayHaveRun {
				t.Errorf("verdict %v, want mayHaveRun", ans.Verdict)
			}
			if got := har.sta.Dispatch.Jobs["job"] == nil; got != tc.dead {
				t.Errorf("job was given up: %v, want %v", got, tc.dead)
			}
			if got := har.logs.FilterMessage("connection of a caller is dead").Len() == 1; got != tc.dead {
				t.Errorf("logged as dead: %v, want %v", got, tc.dead)
			}
		})
	}
}
