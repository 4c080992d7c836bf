package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// longDeadline is the deadline of the tasks of these tests, as far away as callers wait at most.
const longDeadline = 31 * time.Second

// startLong places a task with the estimate and the deadline and confirms its start.
func (har *harness) startLong(estimate, deadline time.Duration) {
	har.efs = append(har.efs, Place(&har.sta, har.now, testConn, rgmodel.Placement{
		Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(deadline)), Service: "desk",
		TimeToSoftDeadline: 2 * estimate, Requires: rgmodel.Resources{Cores: 1},
		Tasks: []rgmodel.PlacedTask{{Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: estimate}},
	})...)
	har.replyToStarts(har.acceptedReply())
}

// goOn lets the run go on for a while, listed in the reply to each poll, while the entry sends heartbeats.
func (har *harness) goOn(t *testing.T, dur time.Duration) {
	t.Helper()
	for end := har.now.Add(dur); har.now.Before(end); {
		har.advance(TickInterval)
		var lst []rgmodel.RunningRun
		for tsk, run := range har.sta.Runs {
			lst = append(lst, rgmodel.RunningRun{Task: tsk, Run: run.Number})
		}
		for range len(har.sta.Polls) {
			har.replyToPoll(t, lst, nil)
		}
	}
}

// TestDeadlineOfLongRun guards against a run that hangs and goes on after the deadline of its job, because it counts as hung only after
// several times its estimate, and against a run that is stopped although it may go on.
func TestDeadlineOfLongRun(t *testing.T) {
	const exceeded, hung = rgmodel.ReasonDeadlineExceeded, rgmodel.ReasonUpstreamTimeout
	tests := map[string]struct {
		estimate, deadline, after time.Duration
		want                      rgmodel.Reason
	}{
		"before its deadline":          {estimate: 12 * time.Second, deadline: longDeadline, after: 30 * time.Second},
		"deadline before it is hung":   {estimate: 12 * time.Second, deadline: longDeadline, after: longDeadline, want: exceeded},
		"hung before its deadline":     {estimate: 2 * time.Second, deadline: longDeadline, after: 9 * time.Second, want: hung},
		"long, deadline soon":          {estimate: 8 * time.Second, deadline: 10 * time.Second, after: 10 * time.Second, want: exceeded},
		"estimate beyond its deadline": {estimate: 12 * time.Second, deadline: 8 * time.Second, after: 8 * time.Second, want: exceeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.startLong(tc.estimate, tc.deadline)
			har.goOn(t, tc.after+TickInterval)
			got := rgmodel.Reason("")
			if run := har.sta.Runs[rgmodel.TaskKey{Job: "job"}]; run == nil {
				t.Fatal("the run has ended")
			} else if run.State == RunStopping {
				got = run.Reason
			}
			if got != tc.want {
				t.Errorf("reason of the stop %q, want %q", got, tc.want)
			}
		})
	}
}

// TestLongRunOnSilentExecutor guards against a long run on an executor that does not reply any more, which is reported only at its
// deadline because each poll renews the lease. It also guards against a run that is given up because a few replies were lost.
func TestLongRunOnSilentExecutor(t *testing.T) {
	tests := map[string]struct {
		silence time.Duration
		want    bool
	}{
		"few replies lost": {silence: 500 * time.Millisecond},
		"silent":           {silence: 4 * time.Second, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.startLong(8*time.Second, longDeadline)
			har.goOn(t, 2*time.Second)
			reported := false
			for end := har.now.Add(tc.silence); har.now.Before(end); {
				har.advance(TickInterval)
				for len(har.sta.Polls) > 0 && har.sta.Polls[0].Before(har.now) {
					har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), rgmodel.OrderReply{})...)
				}
				reported = har.takeLossReports() || reported
			}
			if reported != tc.want {
				t.Errorf("reported as lost: %v, want %v", reported, tc.want)
			}
		})
	}
}

// TestRunNumberOfLongRun guards against a run number that is used again because the number of a run that goes on for longer than unused
// numbers are kept was forgotten. A late order with that number would then start the task a second time.
func TestRunNumberOfLongRun(t *testing.T) {
	har := newHarness(t)
	har.startLong(20*time.Second, 2*runNumberTTL)
	har.goOn(t, runNumberTTL+time.Second)
	if len(har.sta.Runs) != 1 {
		t.Fatal("the run has ended")
	}
	har.endRuns(t, rgmodel.EndFailed)
	har.advance(TickInterval)
	if got := har.sta.RunNumbers[rgmodel.TaskKey{Job: "job"}].Highest; got != 1 {
		t.Errorf("highest run number %d, want 1", got)
	}
}

// TestEndDrain guards against a long run that ends with the process of its sidecar without a report, so that its entry has to wait until
// the lease has expired before it can place the task again.
func TestEndDrain(t *testing.T) {
	har := newHarness(t)
	har.startLong(12*time.Second, longDeadline)
	har.goOn(t, 2*time.Second)
	har.efs = append(har.efs, Drain(&har.sta)...)
	har.goOn(t, time.Second)
	if run := har.sta.Runs[rgmodel.TaskKey{Job: "job"}]; run == nil || run.State != RunRunning {
		t.Fatalf("run %+v, want one that goes on", run)
	}
	har.takeEffects()
	har.efs = append(har.efs, EndDrain(&har.sta, har.now)...)
	har.replyToStops(har.acceptedReply())
	har.takeEffects()
	har.advance(TickInterval)
	for len(har.sta.Polls) > 0 && HasRuns(&har.sta) {
		har.replyToPoll(t, nil, nil)
	}
	if HasRuns(&har.sta) || !har.takeLossReports() {
		t.Error("the run was not reported as lost once its stop was confirmed")
	}
}
