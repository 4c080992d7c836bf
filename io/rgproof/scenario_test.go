package rgproof

import (
	"testing"
	"time"
)

// longRunTime is longer than the faults of a scenario and shorter than the callers' deadlines.
const longRunTime = 6 * time.Second

// TestScenarios guards against violations of the invariants in specific orders of events. The comment on the function of each
// scenario names the failure.
func TestScenarios(t *testing.T) {
	tests := map[string]struct {
		entries, sidecars int
		run               func(sys *system)
	}{
		"same id concurrently":                 {entries: 3, sidecars: 2, run: sameIDConcurrent},
		"same id concurrently, reordered":      {entries: 3, sidecars: 2, run: sameIDReordered},
		"resubmission after kill":              {entries: 3, sidecars: 2, run: resubmissionAfterKill},
		"another body":                         {entries: 2, sidecars: 2, run: anotherBody},
		"another body after kill":              {entries: 2, sidecars: 2, run: anotherBodyAfterKill},
		"job that can never run":               {entries: 2, sidecars: 2, run: neverRunnable},
		"sidecar disconnected, then kill":      {entries: 2, sidecars: 2, run: disconnectedThenKilled},
		"records lost with the home":           {entries: 2, sidecars: 2, run: recordsLostWithHome},
		"stale home refuses":                   {entries: 2, sidecars: 2, run: staleHomeRefuses},
		"isolated home refuses":                {entries: 2, sidecars: 2, run: isolatedHomeRefuses},
		"slow watch refuses":                   {entries: 2, sidecars: 2, run: slowWatchRefuses},
		"home leaves and rejoins":              {entries: 2, sidecars: 2, run: homeRejoins},
		"delayed duplicate of a refused batch": {entries: 2, sidecars: 1, run: delayedDuplicateOfRefused},
		"graceful shutdown of a sidecar":       {entries: 2, sidecars: 3, run: gracefulShutdownSidecar},
		"graceful shutdown of idle sidecars":   {entries: 2, sidecars: 4, run: gracefulShutdownSequential},
		"graceful shutdown, late reports":      {entries: 2, sidecars: 4, run: gracefulShutdownLateReports},
		"graceful shutdown of an entry":        {entries: 3, sidecars: 2, run: gracefulShutdownEntry},
		"hangups":                              {entries: 2, sidecars: 2, run: hangups},
		"start during a store outage":          {entries: 2, sidecars: 2, run: startDuringOutage},
		"configuration":                        {entries: 3, sidecars: 2, run: configuration},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := newSystem(t, 1, tc.entries, tc.sidecars)
			tc.run(sys)
			sys.checkHistory()
		})
	}
}
