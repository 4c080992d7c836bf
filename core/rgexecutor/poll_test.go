package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var pollTests = map[string]struct {
	// took is the time after which each poll fails with the reply in fail.
	took time.Duration
	fail rgmodel.OrderReply
	// polls is the number of polls that fail. wantAgain is set if the next poll is sent at once.
	polls     int
	wantAgain bool
	wantLost  bool
}{
	"fails at once":        {took: time.Millisecond, polls: 1},
	"fails after the wait": {took: pollWait, polls: 1, wantAgain: true},
	"not listening":        {took: time.Millisecond, fail: rgmodel.OrderReply{ConnectionRefused: true}, polls: 1},
	"not listening for some time": {
		took: connectionRefusedTimeout, fail: rgmodel.OrderReply{ConnectionRefused: true}, polls: 2, wantLost: true,
	},
	"not replying for some time":          {took: pollWait, polls: 2, wantAgain: true},
	"not listening, polled twice at once": {took: time.Millisecond, fail: rgmodel.OrderReply{ConnectionRefused: true}, polls: 2},
}

// TestFailedPoll guards against a sidecar that keeps itself and its executor busy with polls that fail immediately, against
// tasks that stay placed until the lease expires although the executor's process has ended, and against tasks that are
// reported as lost because an executor is slow to reply.
func TestFailedPoll(t *testing.T) {
	for name, tc := range pollTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			for range tc.polls {
				har.sta.Polls = []time.Time{har.now}
				ord := har.pollOrder()
				har.now = har.now.Add(tc.took)
				har.efs = HandlePollReply(&har.sta, har.now, ord, tc.fail)
			}
			if got := len(har.sta.Polls) > 0; got != tc.wantAgain {
				t.Errorf("next poll is sent at once: %v, want %v", got, tc.wantAgain)
			}
			if got := len(har.sta.Runs) == 0; got != tc.wantLost {
				t.Errorf("task is lost: %v, want %v", got, tc.wantLost)
			}
			har.advance(TickInterval)
			if len(har.sta.Polls) == 0 && !tc.wantLost {
				t.Error("no poll after a tick")
			}
		})
	}
}

// TestSparePoll guards against an end that is noticed with a delay because the reply to the only poll is lost, and against twice
// the number of polls to an executor that replies to them.
func TestSparePoll(t *testing.T) {
	tests := map[string]struct {
		lost bool
		want int
	}{
		"replies":  {want: 1},
		"one lost": {lost: true, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			for range 2 {
				ord := har.pollOrder()
				har.now = har.now.Add(pollWait)
				rep := rgmodel.OrderReply{Replied: !tc.lost, Clock: har.clock()}
				for tsk, run := range har.sta.Runs {
					rep.Running = append(rep.Running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
				HandlePollReply(&har.sta, har.now, ord, rep)
			}
			if len(har.sta.Polls) != tc.want {
				t.Errorf("%d polls in flight, want %d", len(har.sta.Polls), tc.want)
			}
		})
	}
}

// TestStartWithoutReply guards against a task that is started again although its first start, which got no reply, may take effect, and
// against one that waits longer than necessary until that is excluded.
func TestStartWithoutReply(t *testing.T) {
	tests := map[string]struct {
		// effective is set if the first start was carried out.
		effective bool
		// lost is set if the reply to the stop is lost.
		lost      bool
		wantStart bool
	}{
		"no effect":              {wantStart: true},
		"start has taken effect": {effective: true},
		"stop is not confirmed":  {lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{})
			polls := har.replyToStops(rgmodel.OrderReply{Replied: !tc.lost, Clock: har.clock()})
			if (polls > 0) == tc.lost {
				t.Fatalf("%d polls after the stop", polls)
			}
			var running []rgmodel.RunningRun
			for tsk, run := range har.sta.Runs {
				if tc.effective {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			har.replyToPoll(t, running, nil)
			if got := har.replyToStarts(har.acceptedReply()) > 0; got != tc.wantStart {
				t.Errorf("started again: %v, want %v", got, tc.wantStart)
			}
		})
	}
}

// TestLeaseRenewal guards against a run whose lease is renewed until after its caller sends the job again. A part of that
// time has already passed when an entry is found to be silent, and waiting for the confirmation of a lost stop could exceed it.
func TestLeaseRenewal(t *testing.T) {
	tests := map[string]struct {
		silent bool
		after  time.Duration
		want   bool
	}{
		"cancelled a moment ago":       {after: stopConfirmTimeout / 2, want: true},
		"cancelled, long unconfirmed":  {after: stopConfirmTimeout + time.Millisecond},
		"entry lost, stop unconfirmed": {silent: true, after: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			if tc.silent {
				Disconnect(&har.sta, har.now, testConn)
			} else {
				Cancel(&har.sta, har.now, testConn, []rgmodel.Ticket{rgmodel.Ticket(len("job") * 1000)})
			}
			if got := canRenewLease(&har.sta, har.now.Add(tc.after)); got != tc.want {
				t.Errorf("lease renewed: %v, want %v", got, tc.want)
			}
		})
	}
}
