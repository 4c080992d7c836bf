package rgexecutor

import (
	"testing"
	"time"
)

// TestStragglersAtFullLoad guards against a run that is stopped and started anew elsewhere because its task takes seven times as long as
// estimated, and against a hung run that is kept although its executor completes nothing.
func TestStragglersAtFullLoad(t *testing.T) {
	const estimate = 100 * time.Millisecond
	tests := map[string]struct {
		elapsed time.Duration
		// success is when another run has succeeded, since the start; zero if none has.
		success time.Duration
		want    bool
	}{
		"seven times the estimate, other runs succeed":     {elapsed: 7*estimate + hungMargin, success: estimate},
		"seven times the estimate, none succeeds":          {elapsed: 7*estimate + hungMargin, want: true},
		"seven times the estimate, success before the run": {elapsed: 7*estimate + hungMargin, success: -estimate, want: true},
		"three times the estimate, none succeeds":          {elapsed: 3 * estimate},
		"never ends, other runs succeed":                   {elapsed: slowFactor*estimate + 2*hungMargin, success: estimate, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			if tc.success != 0 {
				recordSuccess(&har.sta.Health, har.now.Add(tc.success))
			}
			for _, run := range har.sta.Runs {
				if got := isHung(&har.sta, har.now.Add(tc.elapsed), run); got != tc.want {
					t.Errorf("hung: %v, want %v", got, tc.want)
				}
			}
		})
	}
}
