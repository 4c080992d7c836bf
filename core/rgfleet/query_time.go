package rgfleet

import "time"

// DefaultServiceTime is assumed where a kind of work is neither learned nor declared.
const DefaultServiceTime = 200 * time.Millisecond

// ServiceTime returns the member's learned service time of a kind of work, or else the declared one.
func ServiceTime(mem *Member, kind string, declared time.Duration) time.Duration {
	for _, kt := range mem.Report.Times {
		if kt.Kind == kind {
			return kt.Mean.Duration
		}
	}
	if declared > 0 {
		return declared
	}
	return DefaultServiceTime
}
