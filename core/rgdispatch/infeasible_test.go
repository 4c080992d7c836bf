package rgdispatch

import (
	"cmp"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestJobsThatCannotEndInTime guards against a job that holds capacity until its deadline although it could almost certainly not end
// before that, and against the refusal of one that could. The executors are free.
func TestJobsThatCannotEndInTime(t *testing.T) {
	step := func(count int, estimate time.Duration, after ...int) Step {
		return Step{Count: count, Estimate: estimate, DependsOn: after, Requires: rgmodel.Resources{Cores: 1}}
	}
	tests := map[string]struct {
		steps    []Step
		slowdown float64
		refused  bool
	}{
		"one task of 1.8 s, 1.5 s left":                            {steps: []Step{step(1, 1800*ms)}},
		"four tasks of 1.8 s, 1.5 s left":                          {steps: []Step{step(4, 1800*ms)}, refused: true},
		"one task of 3 s, 1.5 s left":                              {steps: []Step{step(1, 3000*ms)}, refused: true},
		"second step of 3 s, 1.5 s left":                           {steps: []Step{step(1, 60*ms), step(1, 3000*ms, 0)}, refused: true},
		"two steps of 1.3 s beside each other, 1.5 s left":         {steps: []Step{step(1, 1300*ms), step(1, 1300*ms)}},
		"two steps of 1.3 s one after the other, 1.5 s left":       {steps: []Step{step(1, 1300*ms), step(1, 1300*ms, 0)}, refused: true},
		"four tasks of 1.8 s, 1.5 s left, estimates twice the run": {steps: []Step{step(4, 1800*ms)}, slowdown: 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", cmp.Or(tc.slowdown, 1))
			req := newRequest("job", 1, 0)
			req.Steps = tc.steps
			har.submit(1, req)
			if got := len(har.takePlaced()) == 0; got != tc.refused {
				t.Errorf("refused: %v, want %v", got, tc.refused)
			}
			if _, known := LookupJob(&har.sta, "job"); known == tc.refused {
				t.Errorf("in progress: %v", known)
			}
		})
	}
}
