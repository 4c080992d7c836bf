package rghome

import (
	"strings"
	"testing"

	"ragwortgap/core/rgmodel"
)

// simulationSteps amounts to four minutes of virtual time.
const simulationSteps = 1200

// TestRandomFaults guards against a second start of a task and against an answer that contradicts the starts, such as "not run"
// for a started task, while entries and sidecars crash, pause and are partitioned from each other and from the store. With a
// mechanism disabled, at least one run must show a violation, which proves that the test detects its absence.
func TestRandomFaults(t *testing.T) {
	tests := map[string]struct {
		disabled      mechanism
		seeds         uint64
		wantViolation bool
	}{
		"all mechanisms enabled":           {seeds: 40},
		"sidecars ignore isolation":        {disabled: "isolation", seeds: 100, wantViolation: true},
		"sidecars ignore generation":       {disabled: "generation", seeds: 100, wantViolation: true},
		"homes do not wait for seals":      {disabled: "seal wait", seeds: 100, wantViolation: true},
		"homes ignore lost records":        {disabled: "lost records", seeds: 100, wantViolation: true},
		"not run without a ring lease":     {disabled: "ring lease", seeds: 100, wantViolation: true},
		"new entries do not sync sidecars": {disabled: "sidecar sync", seeds: 100, wantViolation: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violationCount, answered, started := 0, 0, 0
			for seed := range tc.seeds {
				sim := newSimulation(seed, tc.disabled)
				sim.run(simulationSteps)
				violations := append(sim.violations, repeatedStarts(sim)...)
				answered += sim.answered
				started += len(sim.starts)
				violationCount += len(violations)
				if len(violations) > 0 && tc.wantViolation {
					break
				}
				if len(violations) > 0 {
					t.Errorf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
					id, _, _ := strings.Cut(violations[0], "/")
					t.Logf("trace of the submission:\n%s", strings.Join(sim.traces[rgmodel.SubmissionID(id)], "\n"))
					t.Logf("events:\n%s", strings.Join(sim.events, "\n"))
				}
			}
			t.Logf("at most %d seeds: %d answers, %d tasks started, %d violations", tc.seeds, answered, started, violationCount)
			if tc.wantViolation && violationCount == 0 {
				t.Errorf("no violation found although the mechanism is disabled")
			}
			if started == 0 {
				t.Errorf("no task was started")
			}
		})
	}
}

func repeatedStarts(sim *simulation) []string {
	var violations []string
	for key, cnt := range sim.starts {
		if cnt > 1 {
			violations = append(violations, key+": started more than once")
		}
	}
	return violations
}
