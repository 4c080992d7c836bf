package rgintake

import "time"

const (
	// overheadRate is the number of bytes of chunk headers a second that a core processes for its callers. Reading one-byte chunks takes
	// about 10 ns for each byte, so this is a small part of its time.
	overheadRate = 8 << 20
	// overheadBurst is read without a wait. It fits three bodies of the platform's largest size in one-byte chunks.
	overheadBurst = 4 << 20
	// maxThrottle is the longest wait of a body. During a longer one, the bytes of the body would stay in the buffers of the kernel.
	maxThrottle = 2 * time.Second
)

// Overhead limits the rate of bytes that are read but are not part of a body, as a leaky bucket. The zero value is empty.
type Overhead struct {
	// Level is the number of bytes in the bucket at the time Updated.
	Level   float64
	Updated time.Time
}

// Throttle records overhead of a body and returns how long its handler has to wait before it reads on. The cause is set if the body is to
// be refused instead.
func Throttle(sta *State, now time.Time, bytes int64) (time.Duration, Cause) {
	rate := overheadRate * sta.Limits.Cores
	if sta.Limits.Cores <= 0 {
		rate = overheadRate
	}
	ovh := &sta.Overhead
	ovh.Level = max(0, ovh.Level-rate*now.Sub(ovh.Updated).Seconds()) + float64(bytes)
	ovh.Updated = now
	wait := time.Duration((ovh.Level - overheadBurst) / rate * float64(time.Second))
	if wait > maxThrottle {
		// The refused body processes no more of its bytes.
		count(sta, CauseOverhead)
		return 0, CauseOverhead
	}
	return max(0, wait), ""
}
