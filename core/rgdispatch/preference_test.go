package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestWorthwhileWait guards against a wait that costs the caller more than a run elsewhere, and against a run elsewhere that holds cores
// for longer, or ends later, than a wait.
func TestWorthwhileWait(t *testing.T) {
	near, far := PlaceEstimate{Run: 60 * ms}, PlaceEstimate{Run: 90 * ms}
	busyFar := PlaceEstimate{Run: 90 * ms, Wait: 20 * ms, Spread: 10 * ms}
	tests := map[string]struct {
		choice PlaceChoice
		want   time.Duration
		// wantInQueue is the bound of the time in the queue.
		wantInQueue time.Duration
	}{
		"no place is preferred": {},
		"elsewhere as fast":     {choice: PlaceChoice{Preferred: near, Elsewhere: near, TimeLeft: time.Second}},
		"idle elsewhere: the gain": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: time.Second}, want: 30 * ms,
		},
		"busy elsewhere: its wait too": {
			choice: PlaceChoice{Preferred: near, Elsewhere: busyFar, TimeLeft: time.Second}, want: 50 * ms,
		},
		"half of the cores used elsewhere": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: time.Second, Load: 0.5}, want: 45 * ms,
		},
		"all cores used elsewhere": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: time.Second, Load: 1}, want: 60 * ms,
		},
		"load that is not a fraction": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: time.Second, Load: 7}, want: 60 * ms,
		},
		"time left to run elsewhere": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: 125 * ms}, want: 10 * ms,
		},
		"spread of the wait elsewhere": {
			choice: PlaceChoice{Preferred: near, Elsewhere: busyFar, TimeLeft: 160 * ms}, want: 8 * ms,
		},
		"late elsewhere, on time here": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: 110 * ms}, want: 50 * ms,
		},
		"late elsewhere, possible after the wait": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: 110 * ms, LateLeft: 140 * ms},
			want:   50 * ms, wantInQueue: 50 * ms,
		},
		"late elsewhere, too late after the wait": {
			choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: 110 * ms, LateLeft: 139 * ms}, want: 50 * ms,
		},
		"late in both places": {choice: PlaceChoice{Preferred: near, Elsewhere: far, TimeLeft: -time.Second}, want: 30 * ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := WorthwhileWait(tc.choice); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
			if got := maxQueueTime(tc.choice, tc.want); got != tc.wantInQueue {
				t.Errorf("bound of the time in the queue: %v, want %v", got, tc.wantInQueue)
			}
		})
	}
}

// preferenceHarness has the place "near", which the tasks prefer, and "far", where they take 1.5 times as long.
type preferenceHarness struct {
	*harness
	near, far SidecarConnID
}

func newPreferenceHarness() preferenceHarness {
	har := newHarness()
	har.sta.RemoteFactor = 1.5
	return preferenceHarness{harness: har, near: har.connectSidecar("near", 1), far: har.connectSidecar("far", 1)}
}

func (har preferenceHarness) submitTask() {
	req := newRequest("job", 1, 100*ms)
	req.Steps[0].PreferredLabel, req.Route.LatencyAllowance = "near", 300*ms
	har.submit(1, req)
}

// places returns the tickets of the tasks that were placed near and far since the last call.
func (har preferenceHarness) places() (near, far []rgmodel.Ticket) {
	tks := har.takePlaced()
	return tks[har.near], tks[har.far]
}

// TestPreferredPlace guards against tasks that run far from their data although their place is free or will be soon, and against tasks
// that wait for it in vain while others are idle.
func TestPreferredPlace(t *testing.T) {
	tests := map[string]struct {
		near, far rgmodel.ExecutorReport
		wantNear  bool
		// wantBound is set if the sidecar must return the task after a time in the queue.
		wantBound bool
	}{
		"free now":                         {near: idleReport(), far: idleReport(), wantNear: true, wantBound: true},
		"free within the gain":             {near: busyReport(1, 20*ms), far: idleReport(), wantNear: true, wantBound: true},
		"free later than the gain":         {near: busyReport(1, 60*ms), far: idleReport()},
		"never free":                       {near: busyReport(1, time.Hour), far: idleReport()},
		"slow, free now":                   {near: idleReportOf(1.9), far: idleReport(), wantNear: true},
		"far as busy":                      {near: busyReport(1, 60*ms), far: busyReport(1, 60*ms), wantNear: true, wantBound: true},
		"not usable":                       {near: rgmodel.ExecutorReport{}, far: idleReport()},
		"far is not usable, near is busy":  {near: busyReport(1, 60*ms), wantNear: true},
		"wait within the gain, but spread": {near: busyReport(1, 30*ms), far: idleReport()},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newPreferenceHarness()
			har.report(har.near, tc.near)
			har.report(har.far, tc.far)
			har.submitTask()
			bound := har.lastPlaced().MaxQueueTime
			near, far := har.places()
			if got := len(near) == 1; got != tc.wantNear || len(near)+len(far) != 1 {
				t.Errorf("%d tasks near, %d far, want near: %v", len(near), len(far), tc.wantNear)
			}
			if got := bound > 0; got != tc.wantBound {
				t.Errorf("bound of the time in the queue: %v, want one: %v", bound, tc.wantBound)
			}
		})
	}
}

func idleReport() rgmodel.ExecutorReport { return idleReportOf(1) }

func idleReportOf(slowdown float64) rgmodel.ExecutorReport {
	return rgmodel.ExecutorReport{Slowdown: slowdown, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}}
}

// TestEndOfPlaceWait guards against a task that loses its chance because its wait for a preferred place has ended without a run: by a wrong
// estimate or the loss of the place, also after the entry has used up its placement retries elsewhere.
func TestEndOfPlaceWait(t *testing.T) {
	tests := map[string]struct {
		end rgmodel.TaskEnd
		// waited is the time from the placement until the end.
		waited      time.Duration
		wantFar     bool
		wantPaidOff bool
	}{
		"ran after the expected wait": {
			end: rgmodel.TaskEnd{Status: rgmodel.EndSucceeded, Took: 100 * ms}, waited: 130 * ms, wantPaidOff: true,
		},
		"wait does not pay by a newer report": {
			end: rgmodel.TaskEnd{Status: rgmodel.EndReturned, Reason: rgmodel.ReasonExpectedWait}, waited: ms, wantFar: true,
		},
		"wrong estimate of the wait": {
			end: rgmodel.TaskEnd{Status: rgmodel.EndReturned, Reason: rgmodel.ReasonPlaceWait}, waited: 50 * ms, wantFar: true,
		},
		"place drains": {
			end: rgmodel.TaskEnd{Status: rgmodel.EndReturned, Reason: rgmodel.ReasonDraining}, waited: 10 * ms, wantFar: true,
		},
		"place is lost": {
			end: rgmodel.TaskEnd{Status: rgmodel.EndReturned, Reason: rgmodel.ReasonSidecarLost}, waited: 10 * ms, wantFar: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newPreferenceHarness()
			har.report(har.near, busyReport(1, 20*ms))
			har.submitTask()
			near, _ := har.places()
			if len(near) != 1 {
				t.Fatalf("%d tasks near, want 1", len(near))
			}
			har.now = har.now.Add(tc.waited)
			har.report(har.far, idleReport())
			tc.end.Ticket = near[0]
			efs := RecordEnds(&har.sta, har.now, har.near, []rgmodel.TaskEnd{tc.end})
			har.efs = append(har.efs, efs...)
			want := CountPlaceWait{PaidOff: tc.wantPaidOff, Waited: tc.waited - tc.end.Took}
			if len(efs) == 0 || efs[0] != Effect(want) {
				t.Errorf("effects %+v, want %+v first", efs, want)
			}
			if _, far := har.places(); (len(far) == 1) != tc.wantFar {
				t.Errorf("%d tasks far, want one: %v", len(far), tc.wantFar)
			}
			if jb := har.sta.Jobs["job"]; jb != nil && jb.Tasks[0][0].PlacementRetries != 0 {
				t.Error("the wait counts as a placement retry")
			}
		})
	}
}

// TestPlaceWaitsEnd guards against a task that waits for one preferred place after the other.
func TestPlaceWaitsEnd(t *testing.T) {
	har := newPreferenceHarness()
	for _, name := range []string{"near 2", "near 3", "near 4", "near 5"} {
		con := har.connectSidecar(name, 1)
		UpdateExecutor(&har.sta, con, rgmodel.Executor{Service: "desk", Capacity: rgmodel.Resources{Cores: 8}, Labels: []string{"near"}})
		har.report(con, busyReport(1, 20*ms))
	}
	har.report(har.near, busyReport(1, 20*ms))
	har.submitTask()
	for waits := 1; ; waits++ {
		tks := har.takePlaced()
		if len(tks[har.far]) == 1 {
			if waits != maxPlaceWaits+1 {
				t.Errorf("placed far after %d waits, want %d", waits-1, maxPlaceWaits)
			}
			return
		}
		if len(tks) != 1 || waits > maxPlaceWaits {
			t.Fatalf("placement %d on %v", waits, tks)
		}
		har.endAllWithReason(tks, rgmodel.EndReturned, rgmodel.ReasonPlaceWait)
	}
}
