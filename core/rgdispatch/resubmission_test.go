package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestResubmission guards against a job that is placed a second time while the tasks of its first submission may still run. If the
// end of the caller's connection is delayed, an entry may handle it only just before it takes the job again: the tasks were cancelled
// and placed on another sidecar in the same moment.
func TestResubmission(t *testing.T) {
	const runTime = 100 * time.Millisecond
	cancelled := func(har *harness) time.Duration { return har.sta.Limits.MaxRunTimeAfterCancel }
	lost := func(har *harness) time.Duration { return har.sta.Limits.MaxRunTimeAfterLoss }
	disconnect := func(har *harness, _ map[SidecarConnID][]rgmodel.Ticket) {
		har.efs = append(har.efs, HandleCallerDisconnect(&har.sta, 1, "job")...)
	}
	tests := map[string]struct {
		// end ends the first submission, whose tasks have these tickets.
		end func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket)
		// wait is the time between this end and the second submission.
		wait       func(har *harness) time.Duration
		callerWait time.Duration
		// placedAfter is the time after which the tasks are placed again.
		placedAfter func(har *harness) time.Duration
		want        string
	}{
		"caller has left": {end: disconnect, placedAfter: cancelled, want: "2:ranOK: "},
		"job cancelled": {end: func(har *harness, _ map[SidecarConnID][]rgmodel.Ticket) {
			efs, _ := Cancel(&har.sta, har.now, "job")
			har.efs = append(har.efs, efs...)
		}, placedAfter: cancelled, want: "1:mayHaveRun:cancelled 2:ranOK: "},
		"sidecar lost, caller has left": {end: func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket) {
			for con := range tks {
				har.efs = append(har.efs, Disconnect(&har.sta, har.now, con)...)
			}
			disconnect(har, tks)
		}, placedAfter: lost, want: "2:ranOK: "},
		"all runs have ended": {end: func(har *harness, tks map[SidecarConnID][]rgmodel.Ticket) {
			har.endAll(tks, rgmodel.EndSucceeded)
		}, want: "1:ranOK: 2:ranOK: "},
		"sent again later": {end: disconnect, wait: cancelled, want: "2:ranOK: "},
		"cannot wait":      {end: disconnect, callerWait: time.Second, want: "2:notRun:expired "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.Limits.MaxRunTimeAfterCancel = 1300 * time.Millisecond
			har.connectSidecar("one", 1)
			har.connectSidecar("two", 1)
			first, again := newRequest("job", 1, runTime), newRequest("job", 1, runTime)
			first.CallerWait, again.CallerWait = 4*time.Second, 4*time.Second
			har.submit(1, first)
			tks := har.takePlaced()
			tc.end(har, tks)
			if tc.wait != nil {
				har.advance(tc.wait(har))
			}
			if tc.callerWait > 0 {
				again.CallerWait = tc.callerWait
			}
			har.submit(2, again)
			if tc.placedAfter != nil {
				har.advance(tc.placedAfter(har) - TickInterval)
				if early := har.takePlaced(); len(early) > 0 {
					t.Errorf("placed too early: %v", early)
				}
				har.advance(2 * TickInterval)
			}
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
			checkAnswers(t, har, tc.want)
			if len(har.sta.Jobs) > 0 {
				t.Errorf("%d jobs are left, want none", len(har.sta.Jobs))
			}
		})
	}
}

// TestLaterCaller guards against a job that is taken away from a caller that waits: the first request was held, is handled after the second
// one, and its caller leaves.
func TestLaterCaller(t *testing.T) {
	tests := map[string]struct {
		handled [2]CallerID
	}{
		"in order":               {handled: [2]CallerID{1, 2}},
		"first request was held": {handled: [2]CallerID{2, 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", 1)
			for _, cid := range tc.handled {
				har.submit(cid, newRequest("job", 1, 100*time.Millisecond))
			}
			har.efs = append(har.efs, HandleCallerDisconnect(&har.sta, 1, "job")...)
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
			checkAnswers(t, har, "1:mayHaveRun:connectionLost 2:ranOK: ")
		})
	}
}
