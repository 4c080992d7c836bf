package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestAdmissionInWave guards against jobs that are admitted in a wave of demand, when every executor has a queue, and are then given up
// while their tasks run: a wait that takes most of the slack is refused at once, and a job that was admitted goes on.
func TestAdmissionInWave(t *testing.T) {
	// The job of 100 ms has 220 ms until its soft deadline, so its slack is 120 ms.
	tests := map[string]struct {
		// wait is expected when the job arrives, and waitAfter when a sidecar has returned one of its tasks.
		wait, waitAfter time.Duration
		want            string
	}{
		"no wait":                                   {},
		"wait within the fraction of the slack":     {wait: 20 * time.Millisecond},
		"wait beyond the fraction of the slack":     {wait: 60 * time.Millisecond, want: "1:notRun:expectedWait "},
		"admitted, then a wait beyond the fraction": {waitAfter: 100 * time.Millisecond},
		"admitted, then too late":                   {waitAfter: 400 * time.Millisecond, want: "1:mayHaveRun:expectedWait "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			for _, nam := range []string{"one", "two", "three"} {
				con := har.connectSidecar(nam, 1)
				if tc.wait > 0 {
					har.report(con, busyReport(1, tc.wait))
				}
			}
			har.submit(1, newRequest("job", 2, 100*time.Millisecond))
			tks := har.takePlaced()
			if tc.waitAfter > 0 {
				for con := range har.sta.Sidecars {
					har.report(con, busyReport(1, tc.waitAfter))
				}
				for con, all := range tks {
					har.endAllWithReason(map[SidecarConnID][]rgmodel.Ticket{con: all[:1]}, rgmodel.EndReturned, rgmodel.ReasonExpectedWait)
					break
				}
			}
			checkAnswers(t, har, tc.want)
		})
	}
}
