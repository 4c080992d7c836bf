package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestEndDrain guards against a caller that is promised that its job has not run although a task may have been started when its entry
// stops, against a caller without an answer, and against tasks that go on after that.
func TestEndDrain(t *testing.T) {
	tests := map[string]struct {
		run       func(har *harness)
		cancelled int
		want      string
	}{
		"task placed": {run: func(*harness) {}, cancelled: 1, want: "1:mayHaveRun:draining "},
		"task lost, waits": {
			run: func(har *harness) {
				har.sta.Sidecars[1].Report.Usable = false
				har.endAll(har.takePlaced(), rgmodel.EndLost)
			},
			want: "1:mayHaveRun:draining ",
		},
		"task returned, waits": {
			run: func(har *harness) {
				har.sta.Sidecars[1].Report.Usable = false
				har.endAll(har.takePlaced(), rgmodel.EndReturned)
			},
			want: "1:notRun:draining ",
		},
		"sidecar lost": {
			run:  func(har *harness) { har.efs = append(har.efs, Disconnect(&har.sta, har.now, 1)...) },
			want: "1:mayHaveRun:draining ",
		},
		"sent again": {
			run:       func(har *harness) { har.submit(2, newRequest("job", 1, time.Second)) },
			cancelled: 1, want: "1:mayHaveRun:connectionLost 2:mayHaveRun:draining ",
		},
		"answered": {
			run:  func(har *harness) { har.endAll(har.takePlaced(), rgmodel.EndSucceeded) },
			want: "1:ranOK: ",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, time.Second)
			req.CallerWait = 30 * time.Second
			har.submit(1, req)
			BeginDrain(&har.sta, har.now.Add(5*time.Second))
			tc.run(har)
			har.efs = append(har.efs, EndDrain(&har.sta, har.now)...)
			cancelled := 0
			for _, eff := range har.efs {
				if can, ok := eff.(CancelTasks); ok {
					cancelled += len(can.Tickets)
				}
				if ans, ok := eff.(SendAnswer); ok && (ans.RetryAfter > 0) != (ans.Verdict == rgmodel.NotRun) {
					t.Errorf("%v with Retry-After %v", ans.Verdict, ans.RetryAfter)
				}
			}
			if cancelled != tc.cancelled || len(har.sta.Jobs) > 0 {
				t.Errorf("%d tasks cancelled, %d jobs left, want %d, none", cancelled, len(har.sta.Jobs), tc.cancelled)
			}
			checkAnswers(t, har, tc.want)
			har.submit(3, newRequest("later", 1, time.Millisecond))
			checkAnswers(t, har, "3:notRun:draining ")
		})
	}
}

// TestJobWhileDraining guards against jobs that an entry takes although it stops before they can end. Their callers would wait for an
// answer that says nothing, while another entry could run the job.
func TestJobWhileDraining(t *testing.T) {
	const left = 5 * time.Second
	tests := map[string]struct {
		estimate time.Duration
		slowdown float64
		want     string
	}{
		"ends in time":                   {estimate: left, slowdown: 1},
		"outlasts the drain":             {estimate: left + 1, slowdown: 1, want: "1:notRun:draining "},
		"ends in time on a fast machine": {estimate: left + time.Second, slowdown: 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", tc.slowdown)
			BeginDrain(&har.sta, har.now.Add(left))
			req := newRequest("job", 1, tc.estimate)
			req.CallerWait = 30 * time.Second
			har.submit(1, req)
			checkAnswers(t, har, tc.want)
		})
	}
}
