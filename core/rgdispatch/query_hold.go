package rgdispatch

import "time"

const (
	// holdTime is how long a request is held whose caller may have left before it arrived. The end of the connection follows such a
	// request by about a round trip between a caller and an entry, which takes a few milliseconds.
	holdTime = 10 * time.Millisecond
	// cancelTime is the time that a task may take to end after the end of the connection was read: the stop is sent again after 100 ms
	// if it was lost.
	cancelTime = 200 * time.Millisecond
)

// HoldTime returns how long a request is held before its job is placed, so that the end of the connection can arrive if the caller has
// left. A caller waits for the resend delay before it sends a job again, so only a request after nearly that silence can be one that its
// caller has given up. A job that is refused in any case is not held.
func HoldTime(req Request, resendDelay time.Duration) time.Duration {
	if resendDelay <= 0 || req.Silence < resendDelay-cancelTime || isNeverRunnable(req) {
		return 0
	}
	return holdTime
}
