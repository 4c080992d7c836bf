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
		service time.Duration
		weight  int
		// usage and running describe another flow of weight 1.
		usage   float64
		running int
		// third is the usage of a third flow of weight 1.
		third float64
		pause time.Duration
		want  int
	}{
		"no other flow":                                   {service: 2 * time.Second, want: 8},
		"short tasks take all slots":                      {service: 300 * time.Millisecond, usage: 2, want: 8},
		"long tasks leave the usage of another flow free": {service: 400 * time.Millisecond, usage: 2, want: 6},
		"very long tasks leave more free for bursts":      {service: 2 * time.Second, usage: 2, want: 5},
		"slots in use by the other flow are not reserved": {service: 2 * time.Second, usage: 2, running: 2, want: 5},
		"a flow below its share is not throttled":         {service: 2 * time.Second, usage: 8, want: 4},
		"no more than a flow's share is reserved for it":  {service: 2 * time.Second, usage: 8, third: 0.1, want: 5},
		"the share depends on the weight":                 {service: 2 * time.Second, weight: 3, usage: 8, want: 6},
		"old usage decays to nothing":                     {service: 2 * time.Second, usage: 2, pause: 2 * time.Minute, want: 8},
		"recent usage decays gradually":                   {service: 2 * time.Second, usage: 2, pause: 10 * time.Second, want: 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(8)
			rgqueue.SetWeights(sta, map[rgmodel.Flow]int{flow("long"): tc.weight})
			sta.ServiceTimes = map[string]time.Duration{"long": tc.service, "other": time.Millisecond}
			sta.UsageUpdatedAt = epoch
			sta.Flows = map[rgmodel.Flow]*rgqueue.FlowState{}
			if tc.usage > 0 {
				sta.Flows[flow("other")] = &rgqueue.FlowState{Weight: 1, Usage: tc.usage}
			}
			if tc.third > 0 {
				sta.Flows[flow("third")] = &rgqueue.FlowState{Weight: 1, Usage: tc.third}
			}
			rgqueue.Accept(sta, batch("running", "other", tc.running), epoch)
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

// TestThrottledFlow guards against a throttled flow that accumulates credit while other flows run, and against usage
// that is not counted.
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
			t.Fatalf("after %d s, %d long tasks run at %f, virtual time %f", i, flo.Running, flo.FinishTag, sta.VirtualTime)
		}
	}
	if use := sta.Flows[flow("other")].Usage; use < 0.4 || use > 0.6 {
		t.Errorf("usage %f of a flow that used half a slot", use)
	}
}
