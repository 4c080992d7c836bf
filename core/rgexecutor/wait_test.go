package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestMaxWait guards against a task that stays queued although its expected wait exceeds the maximum that its entry has set, while
// other executors may have free capacity, and against one that is returned although it can start.
func TestMaxWait(t *testing.T) {
	tests := map[string]struct {
		running   int
		maxWait   time.Duration
		wantStart bool
		wantQueue bool
	}{
		"free capacity": {running: 7, maxWait: time.Millisecond, wantStart: true},
		"no capacity, maximum below the expected wait": {running: 8, maxWait: 10 * time.Millisecond},
		"no capacity, maximum above the expected wait": {running: 8, maxWait: 200 * time.Millisecond, wantQueue: true},
		"no capacity, no maximum":                      {running: 8, wantQueue: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("running", tc.running)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			har.placeOne(500*time.Millisecond, tc.maxWait)
			returned := false
			for _, eff := range har.efs {
				rpe, ok := eff.(ReportEnd)
				returned = returned || ok && rpe.End.Status == rgmodel.EndReturned && rpe.End.Reason == rgmodel.ReasonExpectedWait
			}
			if returned == (tc.wantStart || tc.wantQueue) {
				t.Errorf("returned: %v", returned)
			}
			if got := har.replyToStarts(har.acceptedReply()) > 0; got != tc.wantStart {
				t.Errorf("started: %v, want %v", got, tc.wantStart)
			}
			if got := len(har.sta.Queue) > 0; got != tc.wantQueue {
				t.Errorf("queued: %v, want %v", got, tc.wantQueue)
			}
			upds := DueUpdates(&har.sta, har.now, nil)
			if reported := len(upds) > 0 && upds[0].Report != nil; returned && !reported {
				t.Error("the load that caused the return is not reported to the entry")
			}
		})
	}
}

// TestMaxQueueTime guards against a task that stays queued at its preferred place although its wait no longer pays, so that it runs
// neither there nor elsewhere, and against one that is returned before that, or although it can start or may have been started.
func TestMaxQueueTime(t *testing.T) {
	const bound = 30 * time.Millisecond
	tests := map[string]struct {
		maxQueueTime, queued time.Duration
		freed, unanswered    bool
		want                 string
	}{
		"below the bound":                {maxQueueTime: bound, queued: bound - 1},
		"at the bound":                   {maxQueueTime: bound, queued: bound, want: "returned placeWait"},
		"at the bound, capacity is free": {maxQueueTime: bound, queued: bound, freed: true, want: "started"},
		"a start got no reply":           {maxQueueTime: bound, queued: bound, unanswered: true},
		"no bound":                       {queued: 400 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("running", 8)
			har.replyToStarts(har.acceptedReply())
			har.placeOne(time.Second, 0)
			har.takeEffects()
			har.sta.Queue[0].Task.MaxQueueTime = tc.maxQueueTime
			if tc.unanswered {
				har.sta.Queue[0].UnrefusedStarts = 1
			}
			har.now = har.now.Add(tc.queued)
			if tc.freed {
				delete(har.sta.Runs, rgmodel.TaskKey{Job: "running"})
			}
			RecordHeartbeat(&har.sta, testConn, har.now)
			got := ""
			for _, eff := range startQueued(&har.sta, har.now) {
				switch eff := eff.(type) {
				case ReportEnd:
					got = eff.End.Status.String() + " " + string(eff.End.Reason)
				case SendOrder:
					if _, start := eff.Order.(rgmodel.StartOrder); start {
						got = "started"
					}
				}
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if queued := len(har.sta.Queue) > 0; queued != (tc.want == "") {
				t.Errorf("queued: %v", queued)
			}
		})
	}
}

// TestLateQueueTime guards against a late task that stays queued until its deadline while other executors have free
// capacity, and against a task that is returned although it can still be on time.
func TestLateQueueTime(t *testing.T) {
	tests := map[string]struct {
		timeToSoftDeadline, queued time.Duration
		want                       bool
	}{
		"late, queued above the limit":    {timeToSoftDeadline: 50 * time.Millisecond, queued: maxLateQueueTime + TickInterval, want: true},
		"late, queued below the limit":    {timeToSoftDeadline: 50 * time.Millisecond, queued: maxLateQueueTime - TickInterval},
		"on time, queued above the limit": {timeToSoftDeadline: time.Second, queued: maxLateQueueTime + TickInterval},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("running", 8)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			har.placeOne(tc.timeToSoftDeadline, 0)
			har.advance(tc.queued)
			if got := len(har.sta.Queue) == 0; got != tc.want {
				t.Errorf("returned: %v, want %v", got, tc.want)
			}
		})
	}
}
