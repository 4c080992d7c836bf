// Package rgclock reads a clock that does not stop while the machine is suspended.
package rgclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time without a date. Go's own monotonic clock stops while a machine
// is suspended, so durations measured with it may be too short.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Linux has had this clock since 2.6.39, so the only possible error is an invalid argument.
		panic("rgclock: " + err.Error())
	}
	return time.Unix(spec.Unix())
}
