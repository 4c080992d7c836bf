package rgclock

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns false if ctx ends first.
func Sleep(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
