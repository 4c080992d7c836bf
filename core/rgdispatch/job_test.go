package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

var jobTests = map[string]struct {
	play func(bnc *bench)
	want string
}{
	"done": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 3, 100*time.Millisecond))
			bnc.end(bnc.placed(), rgmodel.EndDone)
		},
		want: "1:ranOK: ",
	},
	"no sidecar": {
		play: func(bnc *bench) { bnc.submit(1, request("job", 1, 100*time.Millisecond)) },
		want: "1:notRun:neverRunnable ",
	},
	"property that is not built": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			req := request("job", 1, 100*time.Millisecond)
			req.Unsupported = "a gang"
			bnc.submit(1, req)
		},
		want: "1:notRun:neverRunnable ",
	},
	"fails once and succeeds": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.sidecar("two", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			bnc.end(bnc.placed(), rgmodel.EndFailed)
			bnc.end(bnc.placed(), rgmodel.EndDone)
		},
		want: "1:ranOK: ",
	},
	"fails as often as the route allows": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			bnc.end(bnc.placed(), rgmodel.EndFailed)
			bnc.end(bnc.placed(), rgmodel.EndFailed)
		},
		want: "1:ranFailed: ",
	},
	"returned again and again without a start": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			for range 20 {
				bnc.end(bnc.placed(), rgmodel.EndReturned)
				bnc.wait(TickInterval)
			}
		},
		want: "1:notRun:expectedWait ",
	},
	"silent to the deadline": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			bnc.wait(2 * time.Second)
		},
		want: "1:mayHaveRun:deadlineExceeded ",
	},
	"sidecar lost and no time to wait": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.sidecar("two", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			for con := range bnc.placed() {
				bnc.efs = append(bnc.efs, Disconnect(&bnc.sta, bnc.now, con)...)
			}
		},
		want: "1:mayHaveRun:sidecarLost ",
	},
	"sent again while it runs": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			bnc.submit(2, request("job", 1, 100*time.Millisecond))
			bnc.end(bnc.placed(), rgmodel.EndDone)
		},
		want: "1:mayHaveRun:connectionLost 2:ranOK: ",
	},
	"caller left": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			tks := bnc.placed()
			bnc.efs = append(bnc.efs, Abandon(&bnc.sta, 1, "job")...)
			bnc.end(tks, rgmodel.EndDone)
		},
	},
	"after the process has stood still": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			bnc.now = bnc.now.Add(3 * time.Second)
			DetectStall(&bnc.sta, bnc.now)
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
		},
		want: "1:notRun:notReady ",
	},
	"a step after another": {
		play: func(bnc *bench) {
			bnc.sidecar("one", 1)
			req := request("job", 2, 100*time.Millisecond)
			req.Steps = append(req.Steps, req.Steps[0])
			req.Steps[1].DependsOn = []int{0}
			bnc.submit(1, req)
			first := bnc.placed()
			bnc.end(first, rgmodel.EndDone)
			bnc.end(bnc.placed(), rgmodel.EndDone)
		},
		want: "1:ranOK: ",
	},
}

// TestJob guards against answers that are not true, not given at once, or given twice.
func TestJob(t *testing.T) {
	for name, tc := range jobTests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench()
			tc.play(bnc)
			wantAnswers(t, bnc, tc.want)
			if len(bnc.sta.Jobs) > 0 {
				t.Errorf("%d jobs left", len(bnc.sta.Jobs))
			}
		})
	}
}

// TestPlacement guards against tasks on executors that do not suit them: fast ones taken up by tasks that slow ones can
// do, slow ones with tasks that miss their deadline there, and urgent tasks on top of long queues.
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
		"short task goes to the slow one":                {estimate: 60 * time.Millisecond, want: "slow"},
		"long task goes to the fast one":                 {estimate: 900 * time.Millisecond, want: "fast"},
		"urgent task does not go on top of a long queue": {estimate: 900 * time.Millisecond, fast: &busy, want: "slow"},
		"requirement": {
			estimate: 60 * time.Millisecond,
			change:   func(req *Request) { req.Steps[0].RequiredLabel = "fast" },
			want:     "fast",
		},
		"data near the fast one, three times longer elsewhere": {
			estimate: 60 * time.Millisecond,
			change:   func(req *Request) { req.Steps[0].Affinity = "fast" },
			want:     "fast",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench()
			bnc.sta.RemoteFactor = 3
			links := map[string]ConnID{"slow": bnc.sidecar("slow", 1.2), "fast": bnc.sidecar("fast", 0.5)}
			if tc.fast != nil {
				bnc.report(links["fast"], *tc.fast)
			}
			req := request("job", 1, tc.estimate)
			if tc.change != nil {
				tc.change(&req)
			}
			bnc.submit(1, req)
			if tks := bnc.placed(); len(tks[links[tc.want]]) != 1 {
				t.Errorf("placed %v, want one on %s (%v)", tks, tc.want, links)
			}
		})
	}
}

// TestNearPlacement guards against traffic between zones that nothing is won by, and against a queue in the own zone while
// another one has room.
func TestNearPlacement(t *testing.T) {
	busy := busyReport(1, time.Second)
	tests := map[string]struct {
		near *rgmodel.ExecutorReport
		want string
	}{
		"both have room": {want: "near"},
		"near is busy":   {near: &busy, want: "far"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench()
			bnc.sta.Zone = "a"
			links := map[string]ConnID{"far": bnc.sidecar("far", 1), "near": bnc.sidecar("near", 1)}
			exe := bnc.sta.Sidecars[links["near"]].Executor
			exe.Zone = "a"
			UpdateExecutor(&bnc.sta, links["near"], exe)
			if tc.near != nil {
				bnc.report(links["near"], *tc.near)
			}
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			if tks := bnc.placed(); len(tks[links[tc.want]]) != 1 {
				t.Errorf("placed %v, want one on %s (%v)", tks, tc.want, links)
			}
		})
	}
}

// TestMoves guards against a task that is sent from sidecar to sidecar without end, and against a job that is said to have
// run although every sidecar has returned its only task.
func TestMoves(t *testing.T) {
	tests := map[string]struct {
		returns int
		busy    bool
		want    string
	}{
		"moved once":           {returns: 1, want: "1:ranOK: "},
		"moved often":          {returns: mostMoves, want: "1:ranOK: "},
		"busy, moved nowhere":  {returns: 1, busy: true, want: "1:notRun:expectedWait "},
		"placed without moves": {want: "1:ranOK: "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench()
			for i := range mostMoves + 1 {
				bnc.sidecar(fmt.Sprintf("side-%d", i), 1)
			}
			bnc.submit(1, request("job", 1, 100*time.Millisecond))
			for range tc.returns {
				if tc.busy {
					bnc.allBusy()
				}
				bnc.endFor(bnc.placed(), rgmodel.EndReturned, rgmodel.ReasonExpectedWait)
			}
			if jb := bnc.sta.Jobs["job"]; jb != nil {
				last := bnc.lastPlaced()
				if got := last.MaxWait > 0; got == (tc.returns == mostMoves) {
					t.Errorf("patience %v after %d moves", last.MaxWait, tc.returns)
				}
			}
			bnc.end(bnc.placed(), rgmodel.EndDone)
			wantAnswers(t, bnc, tc.want)
		})
	}
}

// TestAntiAffinity guards against more tasks of a step on one executor than the job allows.
func TestAntiAffinity(t *testing.T) {
	bnc := newBench()
	bnc.sidecar("one", 1)
	bnc.sidecar("two", 1)
	req := request("job", 4, 60*time.Millisecond)
	req.Steps[0].AntiAffinity = 2
	bnc.submit(1, req)
	for con, tks := range bnc.placed() {
		if len(tks) > 2 {
			t.Errorf("%d tasks on %v", len(tks), con)
		}
	}
	bnc.submit(2, Request{ID: "more", CallerWait: time.Second, Route: req.Route, Steps: []Step{{
		Count: 5, Needs: rgmodel.Resources{Cores: 1}, Estimate: time.Millisecond, AntiAffinity: 2,
	}}})
	wantAnswers(t, bnc, "2:notRun:noUpstream ")
}
