package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestLeaseOfUntrackedRuns guards against two runs of a task at the same time: the polls of a new sidecar process renew the lease of
// the runs that its predecessor has left behind, although the entries that placed them count on its expiry, and so do those of a
// process that cannot stop a run which it does not track.
func TestLeaseOfUntrackedRuns(t *testing.T) {
	foreign := []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "foreign"}, Run: 1}}
	tests := map[string]struct {
		// serving is set if the process has control before the executor lists the untracked run, and has a run of its own.
		serving bool
		// after is the time since the run was first listed.
		after     time.Duration
		wantRenew bool
	}{
		"new process, before the first reply":         {},
		"new process, stop unconfirmed":               {after: TickInterval},
		"serving, stop sent recently":                 {serving: true, after: stopConfirmTimeout / 2, wantRenew: true},
		"serving, stop unconfirmed for too long":      {serving: true, after: stopConfirmTimeout + time.Millisecond},
		"serving, stop unconfirmed for a second time": {serving: true, after: 2*stopConfirmTimeout + time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			if tc.serving {
				har.place("job", 1)
				har.replyToStarts(har.acceptedReply())
			} else {
				har.sta = State{}
				har.announce(newExecutor(1))
			}
			own := rgmodel.RunningRun{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}
			for left := tc.after; left > 0; left -= TickInterval {
				har.replyToPoll(t, append([]rgmodel.RunningRun{own}, foreign...), nil)
				har.now = har.now.Add(min(left, TickInterval))
				RecordHeartbeat(&har.sta, testConn, har.now)
			}
			if got := newPoll(&har.sta, har.now).LeaseEnd > 0; got != tc.wantRenew {
				t.Errorf("lease is renewed: %v, want %v", got, tc.wantRenew)
			}
		})
	}
}

// TestSilentEntry guards against two runs of a task at the same time: a sidecar that was slow or suspended renews the lease of a silent
// entry's run, or starts a queued task of it, in an event that it handles before its next tick. The caller may have sent the job to
// another entry by then.
func TestSilentEntry(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration
		want   bool
	}{
		"entry alive":               {silent: TickInterval, want: true},
		"entry silent for too long": {silent: MaxSilence(&State{}) + time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			// The longest lease that an earlier process may have requested has run out.
			har.sta.LeaseEnd = 0
			har.place("running", 1)
			har.replyToStarts(har.acceptedReply())
			har.sta.Queue = append(har.sta.Queue, AcceptedTask{
				Task: rgmodel.PlacedTask{Ticket: 1, Key: rgmodel.TaskKey{Job: "queued"}, Estimate: 100 * time.Millisecond}, Conn: testConn,
				Queued: har.now, Requires: rgmodel.Resources{Cores: 1}, Deadline: har.now.Add(2 * time.Second),
				SoftDeadline: har.now.Add(2 * time.Second),
			})
			har.takeEffects()
			before := har.sta.LeaseEnd
			har.now = har.now.Add(tc.silent)
			har.replyToPoll(t, []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "running"}, Run: 1}}, nil)
			if got := har.sta.LeaseEnd > before; got != tc.want {
				t.Errorf("lease is renewed: %v, want %v", got, tc.want)
			}
			if got := har.replyToStarts(har.acceptedReply()) > 0; got != tc.want {
				t.Errorf("queued task is started: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestLeaseAfterRestart guards against two runs of a task at the same time: an order that was sent to the last incarnation, with the end of
// a lease on its clock, was carried out by the next one, which granted the longest lease. It holds for later runs there, and the sidecar
// reports one as lost before it has expired.
func TestLeaseAfterRestart(t *testing.T) {
	har := newHarness(t)
	har.announce(newExecutor(2))
	har.replyFromNewIncarnation(true)
	har.takeOver(t)
	har.openStartConns()
	granted := maxUnrenewedRunTime(&har.sta)
	ends := har.now.Add(granted)
	har.place("job", 1)
	har.replyToStarts(har.acceptedReply())
	har.takeEffects()
	har.replyFromNewIncarnation(false)
	for har.now.Add(TickInterval).Before(ends) {
		har.advance(TickInterval)
		if har.takeLossReports() {
			t.Fatalf("task is reported as lost %v before the lease of its run expires", ends.Sub(har.now))
		}
	}
	har.advance(2 * TickInterval)
	if !har.takeLossReports() {
		t.Error("task is not reported as lost although it can no longer run")
	}
}
