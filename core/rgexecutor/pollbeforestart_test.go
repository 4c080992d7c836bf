package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestPollBeforeStart guards against a start order that is carried out by a next incarnation of another kind: the executor has restarted
// under its id since the sidecar last heard of it, and an order names an incarnation by its id only.
func TestPollBeforeStart(t *testing.T) {
	tests := map[string]struct {
		// idle is the time since the last reply to a poll.
		idle time.Duration
		// busy is set if a run is in progress, so that a poll waits at the executor.
		busy       bool
		failed     bool
		wantStarts int
	}{
		"just replied":                     {idle: minRestartTime, wantStarts: 1},
		"idle":                             {idle: minRestartTime + time.Millisecond},
		"idle for long":                    {idle: time.Minute},
		"poll waits":                       {idle: pollWait, busy: true, wantStarts: 1},
		"poll is overdue":                  {idle: maxPollTime + time.Millisecond, busy: true},
		"poll has failed":                  {idle: pollWait, busy: true, failed: true},
		"poll has failed, replied earlier": {idle: minRestartTime, busy: true, failed: true, wantStarts: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			if tc.busy {
				har.place("busy", 1)
				har.replyToStarts(har.acceptedReply())
			}
			har.sta.Polls = nil
			if tc.busy && !tc.failed {
				har.sta.Polls = []time.Time{har.sta.ListedAt}
			}
			har.sta.PollUnanswered = tc.failed
			har.now = har.now.Add(tc.idle)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.takeEffects()
			har.place("job", 1)
			if got := har.replyToStarts(har.acceptedReply()); got != tc.wantStarts {
				t.Fatalf("%d starts, want %d", got, tc.wantStarts)
			}
			if tc.wantStarts > 0 {
				return
			}
			// The reply to the poll that was sent in place of the start.
			ord := rgmodel.PollOrder{
				Incarnation: har.sta.Executor.Incarnation, FenceToken: har.sta.FenceToken, Sent: har.sta.Polls[len(har.sta.Polls)-1],
			}
			rep := rgmodel.OrderReply{Replied: true, Clock: har.executorClock(), StartedMillis: ord.Incarnation.StartedMillis}
			for tsk, run := range har.sta.Runs {
				rep.Running = append(rep.Running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
			}
			har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rep)...)
			if got := har.replyToStarts(har.acceptedReply()); got != 1 {
				t.Errorf("%d starts after the reply, want 1", got)
			}
		})
	}
}

// TestFailedPollBeforeStart guards against a task that waits for an executor that is gone, and against polls that keep both sides busy
// while they fail at once.
func TestFailedPollBeforeStart(t *testing.T) {
	tests := map[string]struct {
		reply rgmodel.OrderReply
		took  time.Duration
		// wantPoll is set if the executor is polled again at once.
		wantPoll     bool
		wantReturned bool
	}{
		"nothing listens": {reply: rgmodel.OrderReply{ConnectionRefused: true}, took: time.Millisecond, wantReturned: true},
		"fails at once":   {took: time.Millisecond},
		"no reply":        {took: silentPollInterval, wantPoll: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.excludeLateStarts()
			har.sta.Polls = nil
			har.now = har.now.Add(time.Second)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.placeOne(returnTestSlack, 0)
			if starts := har.replyToStarts(har.acceptedReply()); starts != 0 || len(har.sta.Polls) != 1 {
				t.Fatalf("%d starts and %d polls, want a poll", starts, len(har.sta.Polls))
			}
			ord := har.pollOrder()
			har.now = har.now.Add(tc.took)
			har.efs = HandlePollReply(&har.sta, har.now, ord, tc.reply)
			if polled := len(har.sta.Polls) > 0; polled != tc.wantPoll {
				t.Errorf("polled again: %v, want %v", polled, tc.wantPoll)
			}
			if tc.wantReturned {
				checkEnd(t, har, rgmodel.EndReturned, 0)
			}
		})
	}
}
