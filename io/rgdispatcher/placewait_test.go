package rgdispatcher

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
)

// TestPlaceWaitMetrics guards against waits for preferred places of which operators cannot see whether they pay off, or how long they are.
func TestPlaceWaitMetrics(t *testing.T) {
	sco := tally.NewTestScope("", nil)
	pro := &Process{log: zap.NewNop(), scope: sco}
	pro.perform(&State{}, time.Unix(1000, 0), []rgdispatch.Effect{
		rgdispatch.CountPlaceWait{PaidOff: true, Waited: 20 * time.Millisecond},
		rgdispatch.CountPlaceWait{PaidOff: true, Waited: 30 * time.Millisecond},
		rgdispatch.CountPlaceWait{Waited: 40 * time.Millisecond},
	})
	for paidOff, want := range map[string]int64{"true": 2, "false": 1} {
		count := sco.Snapshot().Counters()["placeWaits+paidOff="+paidOff]
		if count == nil || count.Value() != want {
			t.Errorf("paidOff=%s: counter %v, want %d", paidOff, count, want)
		}
		times := sco.Snapshot().Timers()["placeWaitTime+paidOff="+paidOff]
		if times == nil || int64(len(times.Values())) != want {
			t.Errorf("paidOff=%s: timer %v, want %d values", paidOff, times, want)
		}
	}
}
