package rgdispatch

import (
	"testing"
	"time"
)

// TestHoldTime guards against a request that is placed at once although its caller may have given it up for the resend delay, and
// against callers that wait although they cannot have sent the job again or are refused in any case.
func TestHoldTime(t *testing.T) {
	const resend = 1300 * time.Millisecond
	tests := map[string]struct {
		silence, resend, want time.Duration
		unsupported           string
	}{
		"in use":                          {resend: resend},
		"caller sends again later":        {silence: resend - cancelTime - 1, resend: resend},
		"caller may send again in a stop": {silence: resend - cancelTime, resend: resend, want: holdTime},
		"caller may have sent again":      {silence: resend, resend: resend, want: holdTime},
		"silent for long":                 {silence: time.Hour, resend: resend, want: holdTime},
		"longer resend delay":             {silence: resend, resend: 2 * resend},
		"shorter resend delay":            {silence: resend / 2, resend: resend / 2, want: holdTime},
		"resend delay within a stop":      {silence: time.Millisecond, resend: cancelTime / 2, want: holdTime},
		"refused in any case":             {silence: resend, resend: resend, unsupported: "a gang"},
		"resend delay not known":          {silence: time.Hour},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := HoldTime(Request{Silence: tc.silence, Unsupported: tc.unsupported}, tc.resend); got != tc.want {
				t.Errorf("held for %v, want %v", got, tc.want)
			}
		})
	}
}
