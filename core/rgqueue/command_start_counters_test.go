package rgqueue_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// TestFinishCounters guards against outcomes that are counted as successes or failures of the upstream although they are not, or
// not counted although they are. Entries eject sidecars by these counts. Each case names the failure that it guards against.
func TestFinishCounters(t *testing.T) {
	tests := map[string]struct {
		guards            string
		outcome           rgmodel.Outcome
		succeeded, failed uint64
	}{
		"success": {guards: "failure counts that no success resets", outcome: rgmodel.Outcome{Verdict: rgmodel.RanOK}, succeeded: 1},
		"failure": {guards: "failures that are not reported", outcome: rgmodel.Outcome{Verdict: rgmodel.RanFailed}, failed: 1},
		"timeout": {guards: "timeouts that are not reported", outcome: rgmodel.Outcome{Reason: rgmodel.ReasonUpstreamTimeout}, failed: 1},
		"refused": {
			guards:  "invalid payloads that eject upstreams",
			outcome: rgmodel.Outcome{Verdict: rgmodel.RanFailed, Reason: rgmodel.ReasonUpstreamRefused},
		},
		"cancelled": {guards: "cancellations that eject upstreams", outcome: rgmodel.Outcome{Reason: rgmodel.ReasonCancelled}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := &rgqueue.State{Contacts: map[string]time.Time{"entry": now}}
			sta.Self.Capacity.Slots = 1
			rgqueue.AdoptRing(sta, rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{{Incarnation: "entry"}}})
			rgqueue.Accept(sta, rgmodel.Batch{
				ID: "job", Generation: 1, Remaining: rgmodel.Duration{Duration: time.Second}, Tasks: []rgmodel.Task{{}},
			}, now)
			rgqueue.Finish(sta, rgqueue.StartNext(sta, now).Started[0], tc.outcome, time.Millisecond)
			rep := rgqueue.NewReport(sta)
			if rep.Succeeded != tc.succeeded || rep.Failed != tc.failed {
				t.Errorf("got %d and %d, want %d and %d; guards against: %s", rep.Succeeded, rep.Failed, tc.succeeded, tc.failed, tc.guards)
			}
		})
	}
}
