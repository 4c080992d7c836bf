package rgorders

import (
	"testing"
	"time"

	"ragwortgap/core/rgroom"
)

// TestLoadDue guards against an entry that is never told that an executor takes work again: it places nothing there, so
// that nothing changes there.
func TestLoadDue(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		until   time.Time
		told    time.Time
		usable  bool
		changed bool
		want    bool
	}{
		"pause is over":                {until: now.Add(-time.Second), told: now.Add(-time.Millisecond), want: true},
		"pause has begun":              {until: now.Add(time.Second), told: now.Add(-time.Millisecond), usable: true, want: true},
		"pause goes on":                {until: now.Add(time.Second), told: now.Add(-time.Second)},
		"nothing new":                  {told: now.Add(-time.Second), usable: true},
		"change, told a moment ago":    {told: now.Add(-time.Millisecond), usable: true, changed: true},
		"change, told some time ago":   {told: now.Add(-time.Second), usable: true, changed: true, want: true},
		"not usable, and told some ms": {until: now.Add(time.Second), told: now.Add(-time.Millisecond), changed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{}
			sta.Room.Phase = rgroom.PhaseServing
			sta.Room.Health.Until = tc.until
			if got := isLoadDue(sta, &Link{Usable: tc.usable, Changed: tc.changed, Told: tc.told}, now); got != tc.want {
				t.Errorf("due %v, want %v", got, tc.want)
			}
		})
	}
}
