package rgdispatch

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestSilentSidecar guards against running work that is given up because its sidecar was slow to report for a moment, against
// new tasks for a silent sidecar, and against callers that wait for one that is lost.
func TestSilentSidecar(t *testing.T) {
	tests := map[string]struct {
		withTask   bool
		silence    time.Duration
		wantClosed bool
		want       string
	}{
		"slow, with a task":          {withTask: true, silence: 500 * time.Millisecond, want: "1:ranOK: "},
		"lost, with a task":          {withTask: true, silence: time.Second, wantClosed: true, want: "1:mayHaveRun:sidecarLost "},
		"slow or lost, without task": {silence: 500 * time.Millisecond, wantClosed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			con := har.connectSidecar("slow", 0.5)
			if tc.withTask {
				har.submit(1, newRequest("a", 1, 600*time.Millisecond))
			}
			placed := har.takePlaced()
			har.connectSidecar("other", 1)
			har.advance(tc.silence, con)
			if _, open := har.sta.Sidecars[con]; open == tc.wantClosed {
				t.Errorf("connection open: %v, want %v", open, !tc.wantClosed)
			}
			har.submit(2, newRequest("b", 1, 100*time.Millisecond))
			if got := har.takePlaced(); len(got[con]) > 0 {
				t.Error("a task is placed on a silent sidecar")
			}
			har.endAll(placed, rgmodel.EndSucceeded)
			checkAnswers(t, har, tc.want)
		})
	}
}
