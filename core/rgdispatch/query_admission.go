package rgdispatch

import "time"

const (
	// admissionFraction is the fraction of its slack that a job may be expected to wait to be admitted. Its slack is the time to its soft
	// deadline less its estimated run time. Expected waits are too short under load: tasks with less slack that arrive later overtake, and
	// other entries place tasks on the same executors.
	admissionFraction = 0.4
	// lateTolerance is the multiple of the time to the soft deadline within which a job that was admitted, or that waits for sidecars to
	// connect, must be expected to end. Estimates are off by up to 40 %, so many jobs that are expected to be late are still on time.
	lateTolerance = 1.3
)

// latestEnd returns the latest expected end at which a job of which a task has to wait is still run. To give up a job that was admitted
// wastes the wait of its caller and the runs of its other tasks, so a longer limit holds for it.
func latestEnd(jb *Job) time.Time {
	if jb.Admitted {
		return latestEndOnceAdmitted(jb)
	}
	run := criticalPath(jb.Request.Steps)
	slack := jb.SoftDeadline.Sub(jb.Arrived) - run
	return endWithin(jb, run+time.Duration(admissionFraction*float64(slack)))
}

// latestEndOnceAdmitted returns the latest expected end of a job that was admitted. A job of which a task may have been started is worth
// running until its deadline.
func latestEndOnceAdmitted(jb *Job) time.Time {
	if jb.MayHaveRun {
		return jb.Deadline
	}
	return endWithin(jb, time.Duration(lateTolerance*float64(jb.SoftDeadline.Sub(jb.Arrived))))
}

// endWithin returns the time after the arrival of the job, at the latest its deadline.
func endWithin(jb *Job, limit time.Duration) time.Time {
	if end := jb.Arrived.Add(limit); end.Before(jb.Deadline) {
		return end
	}
	return jb.Deadline
}
