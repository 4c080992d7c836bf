package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var lookTests = map[string]struct {
	// took is how long each look took, until it failed in this way.
	took time.Duration
	fail rgmodel.OrderReply
	// looks is how many looks fail; wantAgain says that the next one is sent at once, wantLost that the tasks are lost.
	looks     int
	wantAgain bool
	wantLost  bool
}{
	"fails at once":                      {took: time.Millisecond, looks: 1},
	"fails late":                         {took: pollWait, looks: 1, wantAgain: true},
	"not listening":                      {took: time.Millisecond, fail: rgmodel.OrderReply{Unreachable: true}, looks: 1},
	"not listening for some time":        {took: goneAfter, fail: rgmodel.OrderReply{Unreachable: true}, looks: 2, wantLost: true},
	"not answering for some time":        {took: pollWait, looks: 2, wantAgain: true},
	"not listening, asked in the moment": {took: time.Millisecond, fail: rgmodel.OrderReply{Unreachable: true}, looks: 2},
}

// TestFailedLook guards against a sidecar that keeps itself and its executor busy with looks that fail at once, and against
// tasks that wait for the lease of an executor whose process is gone, or are lost with one that answers late.
func TestFailedLook(t *testing.T) {
	for name, tc := range lookTests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("job", 1)
			bnc.starts(bnc.accepted())
			bnc.take()
			for range tc.looks {
				bnc.sta.Polls = []time.Time{bnc.now}
				ord := bnc.lookOrder()
				bnc.now = bnc.now.Add(tc.took)
				bnc.efs = PollAnswered(&bnc.sta, bnc.now, ord, tc.fail)
			}
			if got := len(bnc.sta.Polls) > 0; got != tc.wantAgain {
				t.Errorf("next look is sent at once: %v, want %v", got, tc.wantAgain)
			}
			if got := len(bnc.sta.Runs) == 0; got != tc.wantLost {
				t.Errorf("task is lost: %v, want %v", got, tc.wantLost)
			}
			bnc.wait(TickInterval)
			if len(bnc.sta.Polls) == 0 && !tc.wantLost {
				t.Error("no look after a tick")
			}
		})
	}
}

// TestSpareLook guards against an end that is not seen for a while because the answer to the only look is lost, and against
// twice the looks at an executor that answers them.
func TestSpareLook(t *testing.T) {
	tests := map[string]struct {
		lost bool
		want int
	}{
		"answers":  {want: 1},
		"one lost": {lost: true, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("job", 1)
			bnc.starts(bnc.accepted())
			for range 2 {
				ord := bnc.lookOrder()
				bnc.now = bnc.now.Add(pollWait)
				rep := rgmodel.OrderReply{Answered: !tc.lost, Clock: bnc.clock()}
				for tsk, run := range bnc.sta.Runs {
					rep.Running = append(rep.Running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
				PollAnswered(&bnc.sta, bnc.now, ord, rep)
			}
			if len(bnc.sta.Polls) != tc.want {
				t.Errorf("%d looks under way, want %d", len(bnc.sta.Polls), tc.want)
			}
		})
	}
}

// TestUnansweredStart guards against a task that waits long for the certainty that its first start takes no effect, and
// against one that is started again without it.
func TestUnansweredStart(t *testing.T) {
	tests := map[string]struct {
		// effective says that the first start was carried out; lost that the answer to the stop is lost.
		effective bool
		lost      bool
		wantStart bool
	}{
		"no effect":             {wantStart: true},
		"it has run":            {effective: true},
		"stop is not confirmed": {lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("job", 1)
			bnc.starts(rgmodel.OrderReply{})
			looks := bnc.stops(rgmodel.OrderReply{Answered: !tc.lost, Clock: bnc.clock()})
			if (looks > 0) == tc.lost {
				t.Fatalf("%d looks after the stop", looks)
			}
			var running []rgmodel.RunningRun
			for tsk, run := range bnc.sta.Runs {
				if tc.effective {
					running = append(running, rgmodel.RunningRun{Task: tsk, Run: run.Number})
				}
			}
			bnc.look(t, running, nil)
			if got := bnc.starts(bnc.accepted()) > 0; got != tc.wantStart {
				t.Errorf("started again: %v, want %v", got, tc.wantStart)
			}
		})
	}
}

// TestRenewal guards against a run that goes on under a renewed lease until after its caller sends the job again: an entry that
// is silent has used up a part of that time already, and a lost stop must not add to it.
func TestRenewal(t *testing.T) {
	tests := map[string]struct {
		silent bool
		after  time.Duration
		want   bool
	}{
		"cancelled a moment ago":       {after: stopPatience / 2, want: true},
		"cancelled, long unconfirmed":  {after: stopPatience + time.Millisecond},
		"entry lost, stop unconfirmed": {silent: true, after: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("job", 1)
			bnc.starts(bnc.accepted())
			if tc.silent {
				Disconnect(&bnc.sta, bnc.now, benchLink)
			} else {
				Cancel(&bnc.sta, bnc.now, benchLink, []rgmodel.Ticket{rgmodel.Ticket(len("job") * 1000)})
			}
			if got := renewable(&bnc.sta, bnc.now.Add(tc.after)); got != tc.want {
				t.Errorf("lease renewed: %v, want %v", got, tc.want)
			}
		})
	}
}
