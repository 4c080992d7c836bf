package rgexecutor

import (
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestPlacementForOtherExecutor guards against a task that starts on an executor that its job excludes: an entry that stood still places
// it by the description of an earlier incarnation, and the sidecar does not compare it with the present one.
func TestPlacementForOtherExecutor(t *testing.T) {
	tests := map[string]struct {
		change func(plc *rgmodel.Placement)
		want   rgmodel.Reason
	}{
		"no label is required":  {change: func(*rgmodel.Placement) {}},
		"label of the executor": {change: func(plc *rgmodel.Placement) { plc.RequiredLabel = "r1-1" }},
		"label of the last incarnation": {
			change: func(plc *rgmodel.Placement) { plc.RequiredLabel = "b" },
			want:   rgmodel.ReasonNeverRunnable,
		},
		"part of a label": {
			change: func(plc *rgmodel.Placement) { plc.RequiredLabel = "r1" },
			want:   rgmodel.ReasonNeverRunnable,
		},
		"other service": {
			change: func(plc *rgmodel.Placement) { plc.Service = "other" },
			want:   rgmodel.ReasonNoUpstream,
		},
		"more cores": {
			change: func(plc *rgmodel.Placement) { plc.Requires.Cores = 9 },
			want:   rgmodel.ReasonNeverRunnable,
		},
		"more memory": {
			change: func(plc *rgmodel.Placement) { plc.Requires.MemoryBytes = 2 << 30 },
			want:   rgmodel.ReasonNeverRunnable,
		},
		"an accelerator": {
			change: func(plc *rgmodel.Placement) { plc.Requires.Accelerators = 1 },
			want:   rgmodel.ReasonNeverRunnable,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			first := newExecutor(1)
			first.Labels = []string{"b", "r1-1"}
			har := newHarnessOf(t, first)
			second := newExecutor(2)
			second.Labels = []string{"a", "r1-1"}
			har.announce(second)
			har.replyFromNewIncarnation(true)
			har.takeOver(t)
			har.openStartConns()
			har.takeEffects()
			plc := rgmodel.Placement{
				Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(2 * time.Second)), Service: "desk",
				Requires: rgmodel.Resources{Cores: 1},
				Tasks:    []rgmodel.PlacedTask{{Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: 100 * time.Millisecond}},
			}
			tc.change(&plc)
			efs := Place(&har.sta, har.now, testConn, plc)
			started := slices.ContainsFunc(efs, func(eff Effect) bool {
				snd, ok := eff.(SendOrder)
				_, start := snd.Order.(rgmodel.StartOrder)
				return ok && start
			})
			if started != (tc.want == "") {
				t.Errorf("started: %v, want the reason %q", started, tc.want)
			}
			har.efs = efs
			if tc.want != "" {
				checkReturned(t, har, tc.want)
			}
		})
	}
}

// checkReturned checks that the task with ticket 1 was returned without a start.
func checkReturned(t *testing.T, har *harness, want rgmodel.Reason) {
	t.Helper()
	for _, eff := range har.efs {
		if rpe, ok := eff.(ReportEnd); ok && rpe.End.Reason != want {
			t.Errorf("reason %v, want %v", rpe.End.Reason, want)
		}
	}
	checkEnd(t, har, rgmodel.EndReturned, 0)
}
