package rgintake

import "time"

const (
	// overheadRate is the number of bytes of chunk headers a second that a core processes for its callers. Reading one-byte chunks takes
	// about 10 ns for each byte, so this is a small part of its time.
	overheadRate = 8 << 20
	// overheadBurst is read without a wait. It fits three bodies of the platform's largest size in one-byte chunks.
	overheadBurst = 4 << 20
	// maxPace is the longest wait of a body. A longer one would leave bytes in the buffers of the kernel.
	maxPace = 2 * time.Second
)

// Overhead is a bucket of bytes that are read but are not part of a body. The zero value is full.
type Overhead struct {
	// Debt is the number of bytes above the rate, and Since the time at which it was.
	Debt  float64
	Since time.Time
}

// Pace records overhead of a body and returns how long its handler has to wait before it reads on. The cause is set if the body is to be
// refused instead.
func Pace(sta *State, now time.Time, bytes int64) (time.Duration, Cause) {
	rate := overheadRate * sta.Limits.Cores
	if sta.Limits.Cores <= 0 {
		rate = overheadRate
	}
	ovh := &sta.Overhead
	ovh.Debt = max(0, ovh.Debt-rate*now.Sub(ovh.Since).Seconds()) + float64(bytes)
	ovh.Since = now
	wait := time.Duration((ovh.Debt - overheadBurst) / rate * float64(time.Second))
	if wait > maxPace {
		// The refused body processes no more of its bytes.
		count(sta, CauseOverhead)
		return 0, CauseOverhead
	}
	return max(0, wait), ""
}
