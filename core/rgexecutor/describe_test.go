package rgexecutor

import (
	"math"
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestLaterHeartbeat guards against work that goes to an executor that is about to leave: a heartbeat of another writer with a large
// sequence makes the sidecar ignore its drain. It also guards against a description of another writer that replaces its own, and against a
// drain that a delayed heartbeat undoes.
func TestLaterHeartbeat(t *testing.T) {
	const largest = math.MaxUint64
	ready := func(seq uint64) rgmodel.Executor {
		exe := newExecutor(1)
		exe.Sequence = seq
		return exe
	}
	draining := func(seq uint64) rgmodel.Executor {
		exe := ready(seq)
		exe.Draining = true
		return exe
	}
	otherService := func(exe rgmodel.Executor) rgmodel.Executor {
		exe.Service = "other"
		return exe
	}
	larger := ready(2)
	larger.Capacity.Cores, larger.AvailabilityZone, larger.Labels = 64, "z", []string{"a"}
	tests := map[string]struct {
		heartbeats   []rgmodel.Executor
		wantDraining bool
	}{
		"drain":                                {heartbeats: []rgmodel.Executor{draining(2)}, wantDraining: true},
		"drain after the largest sequence":     {heartbeats: []rgmodel.Executor{ready(largest), draining(2)}, wantDraining: true},
		"drain with an outdated sequence":      {heartbeats: []rgmodel.Executor{ready(5), draining(4)}, wantDraining: true},
		"delayed heartbeat after the drain":    {heartbeats: []rgmodel.Executor{ready(3), draining(5), ready(4)}, wantDraining: true},
		"false drain, then the next heartbeat": {heartbeats: []rgmodel.Executor{draining(2), ready(3)}},
		"largest one, drain, delayed one":      {heartbeats: []rgmodel.Executor{ready(largest), draining(5), ready(4)}, wantDraining: true},
		"repeated drain, then a late one":      {heartbeats: []rgmodel.Executor{draining(5), draining(7), ready(6)}, wantDraining: true},
		"other capacity, zone and labels":      {heartbeats: []rgmodel.Executor{larger}},
		"other service":                        {heartbeats: []rgmodel.Executor{otherService(ready(2))}},
		"other service, drains":                {heartbeats: []rgmodel.Executor{otherService(draining(2))}},
		"other service with the largest sequence": {
			heartbeats: []rgmodel.Executor{otherService(ready(largest)), draining(2)}, wantDraining: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			want := har.sta.Executor
			for _, exe := range tc.heartbeats {
				har.announce(exe)
			}
			got := har.sta.Executor
			if got.Draining != tc.wantDraining || Usable(&har.sta, har.now) == tc.wantDraining {
				t.Errorf("draining: %v, usable: %v, want draining: %v", got.Draining, Usable(&har.sta, har.now), tc.wantDraining)
			}
			if got.Service != want.Service || got.Capacity != want.Capacity || got.AvailabilityZone != "" || len(got.Labels) != 0 {
				t.Errorf("described as %+v, want the first description %+v", got, want)
			}
		})
	}
}

// TestAnnouncedDrain guards against an executor that restarted under its id, drains at once and gets work, because its first heartbeat came
// after the one that announces its drain.
func TestAnnouncedDrain(t *testing.T) {
	har := newHarness(t)
	drained := newExecutor(2)
	drained.Sequence, drained.Draining = 2, true
	har.announce(drained)
	har.announce(newExecutor(2))
	har.replyFromNewIncarnation(true)
	if !har.sta.Executor.Draining {
		t.Error("the drain is not known after the restart")
	}
}
