// Package rgclock reads the clock that goes on while the machine is suspended.
package rgclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the machine as a time without a date. The runtime's own steady clock stands
// still while a machine is suspended, so that what it measures may be too short.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// The kernel has this clock since 2.6.39; an error can only be a wrong argument.
		panic("rgclock: " + err.Error())
	}
	return time.Unix(spec.Unix())
}
