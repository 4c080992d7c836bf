package rgdispatch

import (
	"testing"
	"time"
)

// TestDeadCallerBound guards against tasks that still run when the caller of a dead connection sends its job again, and against
// connections that count as dead before a probe can have been answered.
func TestDeadCallerBound(t *testing.T) {
	const stop = 50 * time.Millisecond
	tests := map[string]struct{ resend, stop, want time.Duration }{
		"default":                     {resend: 1300 * time.Millisecond, stop: stop, want: 1100 * time.Millisecond},
		"executors stop more slowly":  {resend: 1300 * time.Millisecond, stop: 2 * stop, want: 1060 * time.Millisecond},
		"longer resend delay":         {resend: 5 * time.Second, stop: stop, want: 4800 * time.Millisecond},
		"no time for probes":          {resend: 600 * time.Millisecond, stop: stop, want: 1060 * time.Millisecond},
		"resend delay within a stop":  {resend: stop, stop: stop, want: 1060 * time.Millisecond},
		"resend delay is not known":   {stop: stop},
		"resend delay is not allowed": {resend: -time.Second, stop: stop},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := DeadCallerBound(tc.resend, tc.stop); got != tc.want {
				t.Errorf("bound %v, want %v", got, tc.want)
			}
		})
	}
}

// TestCheckContact guards against the job of a dead caller that goes on, against callers that are given up although no probe to them can
// have been answered, and against checks of connections that were in use a moment ago.
func TestCheckContact(t *testing.T) {
	const bound = 1100 * time.Millisecond
	const interval = (bound - FirstContactCheck) / contactProbes
	const longBound = 5 * time.Second
	probe := func(next time.Duration) ContactCheck { return ContactCheck{Probe: true, Next: next} }
	tests := map[string]struct {
		silence    time.Duration
		unanswered int
		bound      time.Duration
		want       ContactCheck
	}{
		"just heard":              {bound: bound, want: ContactCheck{Next: FirstContactCheck}},
		"silent for less":         {silence: FirstContactCheck - 1, bound: bound, want: ContactCheck{Next: 1}},
		"first probe":             {silence: FirstContactCheck, bound: bound, want: probe(interval)},
		"brief cut":               {silence: bound - interval, unanswered: 3, bound: bound, want: probe(interval)},
		"last check is not late":  {silence: bound - 1, unanswered: 3, bound: bound, want: probe(1)},
		"dead":                    {silence: bound, unanswered: 4, bound: bound, want: ContactCheck{Dead: true}},
		"entry was suspended":     {silence: time.Minute, bound: bound, want: probe(minProbeInterval)},
		"entry was slow":          {silence: 2 * bound, unanswered: 1, bound: bound, want: probe(minProbeInterval)},
		"longer bound, few lost":  {silence: 2 * time.Second, unanswered: 2, bound: longBound, want: probe(time.Second)},
		"longer bound, all lost":  {silence: longBound, unanswered: 4, bound: longBound, want: ContactCheck{Dead: true}},
		"shortest bound, no time": {silence: FirstContactCheck, bound: DeadCallerBound(1, 0), want: probe(minProbeInterval)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CheckContact(CallerContact{Silence: tc.silence, Unanswered: tc.unanswered}, tc.bound); got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
		})
	}
}
