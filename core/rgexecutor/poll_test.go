package rgexecutor

import (
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var pollTests = map[string]struct {
	// took is the time after which each poll fails with the given reply.
	took  time.Duration
	reply rgmodel.OrderReply
	// polls is the number of polls that fail. wantPoll is set if the next poll is sent at once.
	polls    int
	wantPoll bool
	// wantUnusable is set if the executor gets no more tasks and the queued one is returned.
	wantUnusable bool
}{
	"fails at once":        {took: time.Millisecond, polls: 1},
	"fails after the wait": {took: pollWait, polls: 1, wantPoll: true},
	"not listening":        {took: time.Millisecond, reply: rgmodel.OrderReply{ConnectionRefused: true}, polls: 1},
	"not listening for some time": {
		took: connectionRefusedTimeout, reply: rgmodel.OrderReply{ConnectionRefused: true}, polls: 2, wantUnusable: true,
	},
	"not replying for some time":          {took: pollWait, polls: 2, wantPoll: true},
	"not listening, polled twice at once": {took: time.Millisecond, reply: rgmodel.OrderReply{ConnectionRefused: true}, polls: 2},
}

// TestFailedPoll guards against a sidecar that keeps itself and its executor busy with polls that fail immediately, against
// queued tasks that stay at an executor that refuses connections, and against tasks that are returned or reported as lost because an
// executor is slow to reply or refuses connections while it may go on running them.
func TestFailedPoll(t *testing.T) {
	for name, tc := range pollTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.excludeLateStarts()
			har.sta.Queue = []AcceptedTask{{Task: rgmodel.PlacedTask{Ticket: 1}, Conn: testConn, Requires: rgmodel.Resources{Cores: 8}}}
			har.takeEffects()
			for range tc.polls {
				har.sta.Polls = []time.Time{har.now}
				ord := har.pollOrder()
				har.now = har.now.Add(tc.took)
				har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, tc.reply)...)
			}
			if got := len(har.sta.Polls) > 0; got != tc.wantPoll {
				t.Errorf("next poll is sent at once: %v, want %v", got, tc.wantPoll)
			}
			if got := !Usable(&har.sta, har.now); got != tc.wantUnusable {
				t.Errorf("executor is unusable: %v, want %v", got, tc.wantUnusable)
			}
			if got := len(har.sta.Queue) == 0; got != tc.wantUnusable {
				t.Errorf("queued task is returned: %v, want %v", got, tc.wantUnusable)
			}
			if len(har.sta.Runs) != 1 || har.takeLossReports() {
				t.Error("task is reported as lost although it may go on running")
			}
			har.advance(TickInterval)
			if len(har.sta.Polls) == 0 {
				t.Error("no poll after a tick")
			}
		})
	}
}

// TestUrgentPolls guards against an incarnation that carries out a start order of the last one for longer than necessary, because the
// executor is polled too rarely while it does not reply or refuses connections, and against polls without an interval.
func TestUrgentPolls(t *testing.T) {
	const refusalTime, replyTimeout = time.Millisecond / 4, 40 * time.Millisecond
	refused := rgmodel.OrderReply{ConnectionRefused: true}
	tests := map[string]struct {
		// took is the time after which each poll fails with the given reply.
		took  time.Duration
		reply rgmodel.OrderReply
		// fencing is set if the sidecar has not got control of the executor yet.
		fencing bool
		// want is the longest time between two polls, and least the shortest one on average.
		want, least time.Duration
	}{
		"connections refused": {took: refusalTime, reply: refused, want: refusedPollInterval + refusalTime, least: refusedPollInterval},
		"connections refused at takeover": {
			took: refusalTime, reply: refused, fencing: true, want: silentPollInterval, least: refusedPollInterval,
		},
		"connections reset":    {took: refusalTime, want: silentPollInterval, least: silentPollInterval},
		"no reply":             {took: replyTimeout, want: silentPollInterval, least: silentPollInterval},
		"no reply at takeover": {took: replyTimeout, fencing: true, want: silentPollInterval, least: silentPollInterval},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{})
			har.replyToStops(har.acceptedReply())
			har.sta.Polls = nil
			har.takeEffects()
			if tc.fencing {
				har.efs = followRestart(&har.sta, har.now, rgmodel.OrderReply{Replied: true, Clock: 10, StartedMillis: 2})
			} else {
				har.sta.Polls = []time.Time{har.now}
				har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), tc.reply)...)
			}
			const observed = 200 * time.Millisecond
			sent := har.failPolls(observed, tc.took, tc.reply)
			slices.SortFunc(sent, time.Time.Compare)
			last := sent[0]
			for _, at := range sent[1:] {
				if at.Sub(last) > tc.want {
					t.Fatalf("no poll for %v after %v, want one after %v", at.Sub(last), last.Sub(sent[0]), tc.want)
				}
				last = at
			}
			if most := int(observed/tc.least) + maxUrgentPolls; len(sent) > most {
				t.Errorf("%d polls in %v, want at most %d", len(sent), observed, most)
			}
		})
	}
}

// TestSparePoll guards against an end that is noticed with a delay because the reply to the only poll is lost, and against two
// polls at a time to an executor that replies to them.
func TestSparePoll(t *testing.T) {
	tests := map[string]struct {
		repliesLost bool
		want        int
	}{
		"replies":          {want: 1},
		"replies are lost": {repliesLost: true, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.excludeLateStarts()
			for range 2 {
				ord := har.pollOrder()
				har.now = har.now.Add(pollWait)
				rep := rgmodel.OrderReply{Replied: !tc.repliesLost, Clock: har.executorClock()}
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

// TestStartWithoutReply guards against a task that is started again although its first start, which got no reply, may still take
// effect, and against one that waits longer than necessary until that is excluded.
func TestStartWithoutReply(t *testing.T) {
	tests := map[string]struct {
		// carriedOut is set if the first start was carried out.
		carriedOut    bool
		stopReplyLost bool
		wantStart     bool
	}{
		"no effect":              {wantStart: true},
		"start has taken effect": {carriedOut: true},
		"stop is not confirmed":  {stopReplyLost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{})
			polls := har.replyToStops(rgmodel.OrderReply{Replied: !tc.stopReplyLost, Clock: har.executorClock()})
			if (polls > 0) == tc.stopReplyLost {
				t.Fatalf("%d polls without a wait after the reply to the stop", polls)
			}
			var running []rgmodel.RunningRun
			for tsk, run := range har.sta.Runs {
				if tc.carriedOut {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			har.replyToPoll(t, running, nil)
			if got := har.replyToStarts(har.acceptedReply()) > 0; got != tc.wantStart {
				t.Errorf("task is started again: %v, want %v", got, tc.wantStart)
			}
		})
	}
}

// TestLeaseRenewal guards against a run whose lease is still renewed when its caller sends the job again. If the entry is lost, a
// part of the time until then has passed before the loss is detected, and the confirmation of a stop could take longer than the
// rest.
func TestLeaseRenewal(t *testing.T) {
	tests := map[string]struct {
		// startUnanswered is set if the run is already being stopped when the entry is lost or the task is cancelled.
		startUnanswered bool
		entryLost       bool
		after           time.Duration
		want            bool
	}{
		"cancelled, stop sent recently": {after: stopConfirmTimeout / 2, want: true},
		"cancelled, stop unconfirmed":   {after: stopConfirmTimeout + time.Millisecond},
		"entry lost, stop unconfirmed":  {entryLost: true, after: time.Millisecond},
		"entry lost while the run of an unanswered start is being stopped": {
			startUnanswered: true, entryLost: true, after: time.Millisecond,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			rep := har.acceptedReply()
			if tc.startUnanswered {
				rep = rgmodel.OrderReply{}
			}
			har.replyToStarts(rep)
			if tc.entryLost {
				Disconnect(&har.sta, har.now, testConn)
			} else {
				Cancel(&har.sta, har.now, testConn, []rgmodel.Ticket{rgmodel.Ticket(len("job") * 1000)})
			}
			if got := canRenewLease(&har.sta, har.now.Add(tc.after)); got != tc.want {
				t.Errorf("lease may be renewed: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestLeaseOfRepeatedStart guards against a run of a lost entry whose lease is renewed by the repeated start of another task.
func TestLeaseOfRepeatedStart(t *testing.T) {
	har := newHarness(t)
	const lostConn = testConn + 1
	Connect(&har.sta, har.now, lostConn)
	har.place("one", 1)
	har.replyToStarts(har.acceptedReply())
	har.place("two", 1)
	har.sta.Runs[rgmodel.TaskKey{Job: "one"}].AcceptedTask.Conn = lostConn
	Disconnect(&har.sta, har.now, lostConn)
	before := har.sta.LeaseEnd
	har.now = har.now.Add(30 * time.Millisecond)
	har.replyToStarts(rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalStaleRun, Clock: har.executorClock()})
	if har.sta.LeaseEnd > before {
		t.Errorf("lease renewed by %d ms although the stop for a lost entry is unconfirmed", har.sta.LeaseEnd-before)
	}
}
