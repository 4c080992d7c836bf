package rgexecutor

import (
	"math"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// clockTests contains false clocks.
var clockTests = map[string]rgmodel.ExecutorTime{
	"an hour ahead":   5000 + 3_600_000,
	"largest integer": math.MaxInt64,
	"just ahead":      5400,
}

// startLease takes the effects and returns the end of the lease of the start order among them.
func (har *harness) startLease(t *testing.T) rgmodel.ExecutorTime {
	t.Helper()
	for _, eff := range har.takeEffects() {
		if snd, ok := eff.(SendOrder); ok {
			if ord, start := snd.Order.(rgmodel.StartOrder); start {
				return ord.LeaseEnd
			}
		}
	}
	t.Fatal("no start order")
	return 0
}

// TestClockOfHeartbeat guards against two runs of a task at the same time: a heartbeat of another writer has set the clock ahead, and the
// leases last for longer than the bounds that rest on them, because late orders are no longer rejected for their own lease.
func TestClockOfHeartbeat(t *testing.T) {
	for name, clk := range clockTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			before := har.sta.Executor.Clock
			exe := newExecutor(1)
			exe.Sequence, exe.Clock = 2, clk
			har.announce(exe)
			har.place("job", 1)
			latest := har.executorClock() + rgmodel.ExecutorTime(LeaseTime(&har.sta).Milliseconds())
			if got := har.startLease(t); got > latest || got <= 0 {
				t.Errorf("lease until %d, want at most %d", got, latest)
			}
			if got := har.sta.Executor.Clock; got != before {
				t.Errorf("clock %d after the heartbeat, %d before", got, before)
			}
		})
	}
}

// TestLeaseAfterIdleTime guards against a lease that is longer than the bounds which rest on it, because the executor's clock is slow and
// its last reading is old.
func TestLeaseAfterIdleTime(t *testing.T) {
	tests := map[string]time.Duration{"just read": 0, "a second ago": time.Second, "half a minute ago": 30 * time.Second}
	for name, idle := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			slowest := har.sta.Executor.Clock + rgmodel.ExecutorTime(minClockRate*float64(idle.Milliseconds()))
			har.now = har.now.Add(idle)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.place("job", 1)
			if got := har.startLease(t) - slowest; got > rgmodel.ExecutorTime(LeaseTime(&har.sta).Milliseconds()) {
				t.Errorf("lease of %d ms on the slowest clock, want at most %v", got, LeaseTime(&har.sta))
			}
		})
	}
}

// TestReadingOfIdleExecutor guards against a start whose lease is too short, because the last reading of the executor's clock is old and
// the lease is requested by the slowest clock that it may have.
func TestReadingOfIdleExecutor(t *testing.T) {
	tests := map[string]struct {
		idle time.Duration
		want int
	}{
		"read recently": {idle: maxReadingAge},
		"read long ago": {idle: maxReadingAge + time.Millisecond, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.sta.LateStartPossibleAt = time.Time{}
			har.sta.Polls = nil
			har.now = har.now.Add(tc.idle)
			for range 2 {
				exe := newExecutor(1)
				exe.Sequence = har.sta.Executor.Sequence + 1
				har.announce(exe)
			}
			if len(har.sta.Polls) != tc.want {
				t.Errorf("%d polls in flight, want %d", len(har.sta.Polls), tc.want)
			}
		})
	}
}

// TestTokenOfTakeover guards against two runs of a task at the same time: the token of a new sidecar process is not higher than that of
// the process before, whose orders may still be on their way, or it is so high that the next process cannot exceed it. The description of
// the executor may be restored from the store, without a clock, or a heartbeat with any clock.
func TestTokenOfTakeover(t *testing.T) {
	tests := map[string][2]rgmodel.ExecutorTime{
		"both restored":                       {0, 0},
		"heartbeats":                          {60_000, 61_000},
		"first one restored":                  {0, 61_000},
		"second one restored":                 {60_000, 0},
		"first clock an hour ahead":           {3_660_000, 61_000},
		"second clock is the largest integer": {60_000, math.MaxInt64},
		"both clocks are the largest integer": {math.MaxInt64, math.MaxInt64},
	}
	for name, clks := range tests {
		t.Run(name, func(t *testing.T) {
			exe := newSimulation(0).sidecars[0].exe
			exe.clock = 60_000
			token := uint64(0)
			for _, clk := range clks {
				var sta State
				takeControlByDescription(&sta, exe, clk, 100)
				if sta.Phase != PhaseServing {
					t.Fatalf("no control: token %d, the executor's is %d", sta.FenceToken, exe.fenceToken)
				}
				if sta.FenceToken <= token || sta.FenceToken > uint64(exe.clock) {
					t.Errorf("token %d after %d, clock %v", sta.FenceToken, token, exe.clock)
				}
				token = sta.FenceToken
				exe.clock += 1000
			}
		})
	}
}

// TestLargestClock guards against sums that overflow, so that a lease seems to have expired or never does: the executor's reply shows the
// largest clock.
func TestLargestClock(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(har.acceptedReply())
	har.takeEffects()
	ord := har.pollOrder()
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rgmodel.OrderReply{
		Replied: true, Clock: math.MaxInt64, StartedMillis: 1, Running: []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}},
	})...)
	for range 3 {
		if end := extendLease(&har.sta, har.now); end < har.sta.Executor.Clock {
			t.Errorf("lease until %d, the clock shows %d", end, har.sta.Executor.Clock)
		}
		if left := leaseLeft(&har.sta, har.now); left < -time.Second || left > time.Second {
			t.Errorf("%v left of the lease", left)
		}
		har.now = har.now.Add(TickInterval)
	}
	har.sta.LeaseEnd = 1
	if left := leaseLeft(&har.sta, har.now); left > 0 {
		t.Errorf("%v left of a lease that ended long ago", left)
	}
}
