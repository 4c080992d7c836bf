package rgdispatch

import (
	"testing"
	"time"
)

var timeLimitTests = map[string]struct {
	callerWait time.Duration
	timeout    time.Duration
	want       time.Duration
}{
	"caller waits longer than the timeout":    {callerWait: 20 * time.Second, timeout: 1500 * time.Millisecond, want: 20 * time.Second},
	"caller waits less long than the timeout": {callerWait: time.Second, timeout: 1500 * time.Millisecond, want: time.Second},
	"caller waits for days":                   {callerWait: 240 * time.Hour, want: maxTimeLimit},
	"timeout of days":                         {timeout: 240 * time.Hour, want: maxTimeLimit},
	"caller names no wait":                    {timeout: 1500 * time.Millisecond, want: 1500 * time.Millisecond},
	"neither sets a limit":                    {want: defaultTimeLimit},
}

// TestTimeLimit guards against long jobs that are ended by the timeout of their route while their callers wait on.
func TestTimeLimit(t *testing.T) {
	for name, tc := range timeLimitTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.connectSidecar("one", 1)
			req := newRequest("job", 1, 100*time.Millisecond)
			req.CallerWait, req.Route.Timeout = tc.callerWait, tc.timeout
			har.submit(1, req)
			if got := har.sta.Jobs["job"].Deadline.Sub(har.now); got != tc.want {
				t.Errorf("deadline after %v, want %v", got, tc.want)
			}
		})
	}
}
