package rgexecutor

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestControlAfterRestarts guards against a sidecar process that never gets control of its executor, and keeps it busy with polls. If the
// executor restarts under its id, its clock starts anew, and the sidecar raises the token that it had before. The next sidecar process
// takes its token from the new clock, and the executor refuses all of its orders until it has raised the token enough.
func TestControlAfterRestarts(t *testing.T) {
	const maxOrders = 100
	tests := map[string]struct {
		// uptime, restarted and later are the readings of the executor's clock in milliseconds when the first process takes control, when
		// the executor has restarted, and when the second process takes control.
		uptime, restarted, later float64
	}{
		"restart after an hour, second process after a minute": {uptime: 3_600_000, restarted: 10, later: 60_000},
		"restart after a month, second process after a second": {uptime: 2_600_000_000, restarted: 10, later: 1000},
		"restart after an hour, second process at once":        {uptime: 3_600_000, restarted: 10, later: 11},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			exe := newSimulation(0).sidecars[0].exe
			var first, second State
			exe.clock = tc.uptime
			takeControlOf(&first, exe, maxOrders)
			exe.restart()
			exe.clock = tc.restarted
			takeControlOf(&first, exe, maxOrders)
			if first.Phase != PhaseServing {
				t.Fatal("the first process does not control the new incarnation")
			}
			exe.clock = tc.later
			if orders := takeControlOf(&second, exe, maxOrders); second.Phase != PhaseServing {
				t.Errorf("no control after %d orders: token %d, the executor's is %d", orders, second.FenceToken, exe.fenceToken)
			}
		})
	}
}

// takeControlOf reports the executor to the sidecar and carries out its orders until it has control, or up to the limit. It returns the
// number of orders.
func takeControlOf(sta *State, exe *simExecutor, limit int) int {
	return takeControlByDescription(sta, exe, rgmodel.ExecutorTime(exe.clock), limit)
}

// takeControlByDescription does so with a description that shows the given clock.
func takeControlByDescription(sta *State, exe *simExecutor, clk rgmodel.ExecutorTime, limit int) int {
	now := exe.sim.now
	efs := UpdateExecutor(sta, now, rgmodel.Executor{
		Incarnation: exe.incarnation(), Service: "desk", Capacity: rgmodel.Resources{Cores: simCores},
		Clock: clk,
	})
	orders := 0
	for sta.Phase != PhaseServing && orders < limit {
		var next []Effect
		for _, eff := range efs {
			if snd, ok := eff.(SendOrder); ok {
				orders++
				next = append(next, handleReply(sta, now, snd.Order, exe.apply(snd.Order))...)
			}
		}
		efs = next
	}
	return orders
}

// TestControlAboveTokenBound guards against a sidecar process that never gets control of an executor whose fencing token is at the bound
// of the doubling, and against a token that is not higher than that of the process before.
func TestControlAboveTokenBound(t *testing.T) {
	exe := newSimulation(0).sidecars[0].exe
	var first, second State
	exe.clock, exe.fenceToken = 60_000, maxDoubledToken
	takeControlOf(&first, exe, 100)
	for _, eff := range retakeControl(&first, exe.sim.now, "", lossLeaseExpired{}) {
		if snd, ok := eff.(SendOrder); ok {
			handleReply(&first, exe.sim.now, snd.Order, exe.apply(snd.Order))
		}
	}
	exe.clock = 61_000
	if orders := takeControlOf(&second, exe, 1000); second.Phase != PhaseServing {
		t.Errorf("no control after %d orders", orders)
	}
	if second.FenceToken <= first.FenceToken {
		t.Errorf("token %d, not higher than %d of the process before", second.FenceToken, first.FenceToken)
	}
}
