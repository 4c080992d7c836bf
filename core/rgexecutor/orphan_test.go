package rgexecutor

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestListedOrphan guards against a task that is reported as lost, because the time of its run has passed, while the executor lists the
// run.
func TestListedOrphan(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(rgmodel.OrderReply{})
	har.takeEffects()
	har.replyFromNewIncarnation(true)
	har.advance(9 * TickInterval)
	late := []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}}
	for range 3 {
		har.replyToPoll(t, late, nil)
		har.advance(TickInterval)
		if har.takeLossReports() {
			t.Fatalf("reported as lost while %d untracked runs are listed", len(har.sta.UntrackedRuns))
		}
	}
	har.replyToPoll(t, nil, nil)
	har.replyToPoll(t, nil, nil)
	if !har.takeLossReports() {
		t.Error("not reported as lost after the run has ended")
	}
}
