package rgqueue_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// TestReservedSlots guards against a flood of long tasks that takes the slots which other flows have used recently, and
// against slots that are left free without need.
func TestReservedSlots(t *testing.T) {
	tests := map[string]struct {
		// serviceTime and weight describe the flow of long tasks.
		serviceTime time.Duration
		weight      int
		// otherUsage and otherRunning describe another flow of weight 1.
		otherUsage   float64
		otherRunning int
		// thirdUsage is the usage of a third flow of weight 1.
		thirdUsage float64
		// pause is the time between the last update of the usage and the arrival of the long tasks.
		pause time.Duration
		want  int
	}{
		"no other flow":                                   {serviceTime: 2 * time.Second, want: 8},
		"short tasks take all slots":                      {serviceTime: 300 * time.Millisecond, otherUsage: 2, want: 8},
		"long tasks leave the usage of another flow free": {serviceTime: 400 * time.Millisecond, otherUsage: 2, want: 6},
		"very long tasks leave more free for bursts":      {serviceTime: 2 * time.Second, otherUsage: 2, want: 5},
		"slots in use by the other flow are not reserved": {serviceTime: 2 * time.Second, otherUsage: 2, otherRunning: 2, want: 5},
		"a flow below its share is not throttled":         {serviceTime: 2 * time.Second, otherUsage: 8, want: 4},
		"no more than a flow's share is reserved for it":  {serviceTime: 2 * time.Second, otherUsage: 8, thirdUsage: 0.1, want: 5},
		"the share depends on the weight":                 {serviceTime: 2 * time.Second, weight: 3, otherUsage: 8, want: 6},
		"old usage decays to nothing":                     {serviceTime: 2 * time.Second, otherUsage: 2, pause: 2 * time.Minute, want: 8},
		"recent usage decays gradually":                   {serviceTime: 2 * time.Second, otherUsage: 2, pause: 10 * time.Second, want: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(8)
			rgqueue.SetWeights(sta, map[rgmodel.Flow]int{flow("long"): tc.weight})
			sta.ServiceTimes = map[string]time.Duration{"long": tc.serviceTime, "other": time.Millisecond}
			sta.UsageUpdatedAt = epoch
			sta.Flows = map[rgmodel.Flow]*rgqueue.FlowState{}
			if tc.otherUsage > 0 {
				sta.Flows[flow("other")] = &rgqueue.FlowState{Weight: 1, Usage: tc.otherUsage}
			}
			if tc.thirdUsage > 0 {
				sta.Flows[flow("third")] = &rgqueue.FlowState{Weight: 1, Usage: tc.thirdUsage}
			}
			rgqueue.Accept(sta, batch("running", "other", tc.otherRunning), epoch)
			rgqueue.StartNext(sta, epoch)
			bat := batch("flood", "long", 20)
			bat.Remaining.Duration = time.Hour
			rgqueue.Accept(sta, bat, epoch.Add(tc.pause))
			if got := len(rgqueue.StartNext(sta, epoch.Add(tc.pause)).Started); got != tc.want {
				t.Errorf("%d long tasks started, want %d", got, tc.want)
			}
		})
	}
}

// TestThrottledFlow guards against a flow that accumulates credit while reserved slots keep its tasks from starting, and against
// usage that is not counted.
func TestThrottledFlow(t *testing.T) {
	sta := newReadyState(2)
	sta.ServiceTimes = map[string]time.Duration{"long": 2 * time.Second, "other": time.Second / 2}
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * time.Second)
		bat := batch("other"+now.String(), "other", 1)
		rgqueue.Accept(sta, bat, now)
		stt := rgqueue.StartNext(sta, now).Started
		if i == 20 {
			flood := batch("flood", "long", 20)
			flood.Remaining.Duration = time.Hour
			rgqueue.Accept(sta, flood, now)
		}
		rgqueue.Finish(sta, stt[0], succeeded(stt[0]), time.Second/2)
		rgqueue.StartNext(sta, now)
		if flo := sta.Flows[flow("long")]; flo != nil && (flo.Running != 1 || flo.FinishTag < sta.VirtualTime) {
			t.Fatalf("after %d s, %d long tasks run with tag %f at virtual time %f", i, flo.Running, flo.FinishTag, sta.VirtualTime)
		}
	}
	if use := sta.Flows[flow("other")].Usage; use < 0.4 || use > 0.6 {
		t.Errorf("usage %f of a flow that used half a slot, want 0.4 to 0.6", use)
	}
}
