package rgdispatch

import (
	"testing"
	"time"
)

// TestStartup guards against an entry that refuses jobs as impossible right after it has started or was suspended, only because
// its sidecars have not connected yet. After a loss of power, all callers of the first quarter of a second were refused in this
// way. It also guards against jobs that are held although they cannot end before their deadline, or for longer than sidecars
// take to connect.
func TestStartup(t *testing.T) {
	const connectTime = 100 * time.Millisecond
	tests := map[string]struct {
		upFor    time.Duration
		estimate time.Duration
		run      func(har *harness)
		want     string
	}{
		"placed when the first sidecar connects": {run: func(har *harness) {
			har.advance(connectTime)
			har.connectSidecar("one", 1)
			har.endAll(har.takePlaced(), 0)
		}, want: "1:ranOK: "},
		"waits for more sidecars when the first ones are full": {run: func(har *harness) {
			con := har.connectSidecar("one", 1)
			har.report(con, busyReport(1, time.Second))
			har.takeAnswers()
			har.submit(2, newRequest("b", 1, 100*time.Millisecond))
			har.advance(connectTime)
			har.connectSidecar("two", 1)
			har.endAll(har.takePlaced(), 0)
		}, want: "2:ranOK: "},
		"refused when no sidecar connects in time": {run: func(har *harness) { har.advance(startupTime) }, want: "1:notRun:neverRunnable "},
		"refused when it would be late": {run: func(har *harness) {
			har.advance(3 * connectTime)
		}, want: "1:notRun:neverRunnable "},
		"refused at once after the start-up":       {upFor: startupTime, run: func(*harness) {}, want: "1:notRun:neverRunnable "},
		"refused at once if it cannot end in time": {estimate: 4 * time.Second, run: func(*harness) {}, want: "1:notRun:neverRunnable "},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.StartedAt = har.now.Add(-tc.upFor)
			if tc.estimate == 0 {
				tc.estimate = 100 * time.Millisecond
			}
			har.submit(1, newRequest("a", 2, tc.estimate))
			tc.run(har)
			checkAnswers(t, har, tc.want)
		})
	}
}
