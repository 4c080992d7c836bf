package rgdispatch

import "time"

// lateFactor is the multiple of the time to the soft deadline up to which the end of a job still has a value for its caller.
const lateFactor = 3

// lateDeadline returns the latest end at which the job still has a value for its caller.
func lateDeadline(jb *Job) time.Time {
	if end := jb.Arrived.Add(lateFactor * jb.SoftDeadline.Sub(jb.Arrived)); end.Before(jb.Deadline) {
		return end
	}
	return jb.Deadline
}
