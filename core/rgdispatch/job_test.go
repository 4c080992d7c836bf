package rgdispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var jobTests = map[string]struct {
	run  func(har *harness)
	want string
}{
	"done": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 3, 100*time.Millisecond))
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:ranOK: ",
	},
	"no sidecar": {
		run:  func(har *harness) { har.submit(1, newRequest("job", 1, 100*time.Millisecond)) },
		want: "1:notRun:neverRunnable ",
	},
	"unsupported property": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.Unsupported = "a gang"
			har.submit(1, req)
		},
		want: "1:notRun:neverRunnable ",
	},
	"fails once, then succeeds": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.connectSidecar("two", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			har.endAll(har.takePlaced(), rgmodel.EndFailed)
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:ranOK: ",
	},
	"fails as often as the route allows": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			har.endAll(har.takePlaced(), rgmodel.EndFailed)
			har.endAll(har.takePlaced(), rgmodel.EndFailed)
		},
		want: "1:ranFailed: ",
	},
	"always returned without a start": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			for range 20 {
				har.endAll(har.takePlaced(), rgmodel.EndReturned)
				har.advance(TickInterval)
			}
		},
		want: "1:notRun:expectedWait ",
	},
	"no end before the deadline": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			har.advance(2 * time.Second)
		},
		want: "1:mayHaveRun:deadlineExceeded ",
	},
	"sidecar lost, no time to wait": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.connectSidecar("two", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			for con := range har.takePlaced() {
				har.efs = append(har.efs, Disconnect(&har.sta, har.now, con)...)
			}
		},
		want: "1:mayHaveRun:sidecarLost ",
	},
	"sent again while running": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			har.submit(2, newRequest("job", 1, 100*time.Millisecond))
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:mayHaveRun:connectionLost 2:ranOK: ",
	},
	"caller disconnected": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			tks := har.takePlaced()
			har.efs = append(har.efs, HandleCallerDisconnect(&har.sta, 1, "job")...)
			har.endAll(tks, rgmodel.EndSucceeded)
		},
	},
	"received before the process was suspended, taken much later": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.Received = har.now
			har.now = har.now.Add(time.Second)
			DetectSuspension(&har.sta, har.now)
			har.advance(2 * suspensionRefusalTime)
			har.submit(1, req)
			req.ID, req.Received = "new", har.now
			har.submit(2, req)
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:notRun:notReady 2:ranOK: ",
	},
	"received long ago, no end before the deadline": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.Received = har.now.Add(-time.Second)
			har.submit(1, req)
			har.advance(500 * time.Millisecond)
		},
		want: "1:mayHaveRun:deadlineExceeded ",
	},
	"received so long ago that its deadline has passed": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.Received = har.now.Add(-req.CallerWait)
			har.submit(1, req)
		},
		want: "1:notRun:expired ",
	},
	"caller has left before the placement": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.CallerLeft = true
			har.submit(1, req)
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:notRun:callerLeft ",
	},
	"late copy of a job in progress, from a connection that the caller has left": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			tks := har.takePlaced()
			req := newRequest("job", 1, 100*time.Millisecond)
			req.CallerLeft = true
			har.submit(2, req)
			har.efs = append(har.efs, HandleCallerDisconnect(&har.sta, 2, "job")...)
			har.endAll(tks, rgmodel.EndSucceeded)
		},
		want: "2:notRun:callerLeft 1:ranOK: ",
	},
	"after the process was suspended": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			har.now = har.now.Add(3 * time.Second)
			DetectSuspension(&har.sta, har.now)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
		},
		want: "1:notRun:notReady ",
	},
	"dependent steps": {
		run: func(har *harness) {
			har.connectSidecar("one", 1)
			req := newRequest("job", 2, 100*time.Millisecond)
			req.Steps = append(req.Steps, req.Steps[0])
			req.Steps[1].DependsOn = []int{0}
			har.submit(1, req)
			firstStep := har.takePlaced()
			har.endAll(firstStep, rgmodel.EndSucceeded)
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
		},
		want: "1:ranOK: ",
	},
}

// TestJob guards against answers that are wrong, missing or given twice, and against a job that is kept after its answer, when
// tasks fail or are returned, sidecars or callers are lost, or the process was suspended.
func TestJob(t *testing.T) {
	for name, tc := range jobTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			tc.run(har)
			checkAnswers(t, har, tc.want)
			if len(har.sta.Jobs) > 0 {
				t.Errorf("%d jobs are left, want none", len(har.sta.Jobs))
			}
		})
	}
}

// TestPlacement guards against fast executors that are fully used by tasks that slow ones could run, against tasks that miss
// their deadline on slow executors, and against urgent tasks that overtake long queues.
func TestPlacement(t *testing.T) {
	busy := rgmodel.ExecutorReport{Slowdown: 0.5, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}, Used: rgmodel.Resources{Cores: 8}}
	for range len(rgmodel.SlackBuckets) {
		busy.ExpectedWaits = append(busy.ExpectedWaits, 0)
	}
	busy.ExpectedWaits = append(busy.ExpectedWaits, time.Second)
	tests := map[string]struct {
		estimate time.Duration
		fast     *rgmodel.ExecutorReport
		change   func(req *Request)
		want     string
	}{
		"short task on slow executor":                {estimate: 60 * time.Millisecond, want: "slow"},
		"long task on fast executor":                 {estimate: 900 * time.Millisecond, want: "fast"},
		"urgent task does not overtake a long queue": {estimate: 900 * time.Millisecond, fast: &busy, want: "slow"},
		"required label": {
			estimate: 60 * time.Millisecond,
			change:   func(req *Request) { req.Steps[0].RequiredLabel = "fast" },
			want:     "fast",
		},
		"preferred label": {
			estimate: 60 * time.Millisecond,
			change:   func(req *Request) { req.Steps[0].PreferredLabel = "fast" },
			want:     "fast",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.RemoteFactor = 3
			conns := map[string]SidecarConnID{"slow": har.connectSidecar("slow", 1.2), "fast": har.connectSidecar("fast", 0.5)}
			if tc.fast != nil {
				har.report(conns["fast"], *tc.fast)
			}
			req := newRequest("job", 1, tc.estimate)
			if tc.change != nil {
				tc.change(&req)
			}
			har.submit(1, req)
			if got, want := har.placedLabels(), []string{req.Steps[0].RequiredLabel}; !slices.Equal(got, want) {
				t.Errorf("placements require %q, want %q", got, want)
			}
			if tks := har.takePlaced(); len(tks[conns[tc.want]]) != 1 {
				t.Errorf("placed %v, want one on %s (%v)", tks, tc.want, conns)
			}
		})
	}
}

// TestZonePlacement guards against traffic between zones without a benefit, and against a task that is queued in the zone of
// the entry while another zone has free capacity.
func TestZonePlacement(t *testing.T) {
	busy := busyReport(1, time.Second)
	tests := map[string]struct {
		local *rgmodel.ExecutorReport
		want  string
	}{
		"both have capacity": {want: "local"},
		"local is busy":      {local: &busy, want: "remote"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.AvailabilityZone = "a"
			conns := map[string]SidecarConnID{"remote": har.connectSidecar("remote", 1), "local": har.connectSidecar("local", 1)}
			exe := har.sta.Sidecars[conns["local"]].Executor
			exe.AvailabilityZone = "a"
			UpdateExecutor(&har.sta, conns["local"], exe)
			if tc.local != nil {
				har.report(conns["local"], *tc.local)
			}
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			if tks := har.takePlaced(); len(tks[conns[tc.want]]) != 1 {
				t.Errorf("placed %v, want one on %s (%v)", tks, tc.want, conns)
			}
		})
	}
}

// TestPlacementRetries guards against a task that sidecars return without end, each after a placement with a maximum wait, and
// against the verdict that a job may have run although every sidecar has returned its only task.
func TestPlacementRetries(t *testing.T) {
	tests := map[string]struct {
		returns int
		allBusy bool
		want    string
	}{
		"returned once":                    {returns: 1, want: "1:ranOK: "},
		"returned as often as the limit":   {returns: maxPlacementRetries, want: "1:ranOK: "},
		"returned once, all sidecars busy": {returns: 1, allBusy: true, want: "1:notRun:expectedWait "},
		"never returned":                   {want: "1:ranOK: "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			for i := range maxPlacementRetries + 1 {
				har.connectSidecar(fmt.Sprintf("side-%d", i), 1)
			}
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			for range tc.returns {
				if tc.allBusy {
					har.reportAllBusy()
				}
				har.endAllWithReason(har.takePlaced(), rgmodel.EndReturned, rgmodel.ReasonExpectedWait)
			}
			if jb := har.sta.Jobs["job"]; jb != nil {
				last := har.lastPlaced()
				if got := last.MaxWait > 0; got == (tc.returns == maxPlacementRetries) {
					t.Errorf("maximum wait %v after %d placement retries", last.MaxWait, tc.returns)
				}
			}
			har.endAll(har.takePlaced(), rgmodel.EndSucceeded)
			checkAnswers(t, har, tc.want)
		})
	}
}

// TestMaxPerExecutor guards against more tasks of a step on one executor than the step allows, and against a job that waits
// although its tasks exceed this limit on all executors together.
func TestMaxPerExecutor(t *testing.T) {
	har := newHarness()
	har.connectSidecar("one", 1)
	har.connectSidecar("two", 1)
	req := newRequest("job", 4, 60*time.Millisecond)
	req.Steps[0].MaxPerExecutor = 2
	har.submit(1, req)
	for con, tks := range har.takePlaced() {
		if len(tks) > 2 {
			t.Errorf("%d tasks on connection %v, want at most 2", len(tks), con)
		}
	}
	har.submit(2, Request{ID: "more", CallerWait: time.Second, Route: req.Route, Steps: []Step{{
		Count: 5, Requires: rgmodel.Resources{Cores: 1}, Estimate: time.Millisecond, MaxPerExecutor: 2,
	}}})
	checkAnswers(t, har, "2:notRun:noUpstream ")
}

// TestLostThenNotPlaced guards against a caller that is promised that its job has not run although a sidecar has reported its task as
// lost, and against one whose job is given up although it has run in part and can still end before its deadline.
func TestLostThenNotPlaced(t *testing.T) {
	tests := map[string]struct {
		status rgmodel.EndStatus
		wait   time.Duration
		want   string
		placed int
	}{
		"returned": {status: rgmodel.EndReturned, wait: 3 * time.Second, want: "1:notRun:expectedWait "},
		"lost":     {status: rgmodel.EndLost, wait: 3 * time.Second, want: "1:mayHaveRun:expectedWait "},
		"returned, can end before the deadline": {
			status: rgmodel.EndReturned, wait: time.Second, want: "1:notRun:expectedWait ",
		},
		"lost, can end before the deadline": {status: rgmodel.EndLost, wait: time.Second, placed: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", 1)
			har.connectSidecar("two", 1)
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			tks := har.takePlaced()
			for con := range har.sta.Sidecars {
				har.report(con, busyReport(1, tc.wait))
			}
			har.endAllWithReason(tks, tc.status, rgmodel.ReasonExpectedWait)
			placed := 0
			for _, tks := range har.takePlaced() {
				placed += len(tks)
			}
			if placed != tc.placed {
				t.Errorf("%d tasks placed again, want %d", placed, tc.placed)
			}
			checkAnswers(t, har, tc.want)
		})
	}
}
