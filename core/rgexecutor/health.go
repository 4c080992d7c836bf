package rgexecutor

import "time"

const (
	// failedJobThreshold is the number of jobs that fail without a success in between before the executor is considered
	// faulty. Jobs that can never succeed fail on every executor, and rarely come in a row.
	failedJobThreshold = 3
	// hungRunThreshold is the number of hung runs without a success in between before the executor is considered faulty.
	hungRunThreshold = 2
	// minEjectionTime and maxEjectionTime bound how long a faulty executor gets no tasks. Each ejection is twice as long as the
	// last one.
	minEjectionTime = time.Second
	maxEjectionTime = 2 * time.Second
	// refusalEjectionTime is how long an executor that refuses a start for lack of capacity or health gets no tasks.
	refusalEjectionTime = 300 * time.Millisecond
	// recoveryFraction is the fraction of its cores that an executor may use after an ejection, enough for about one task.
	recoveryFraction = 0.125
)

// Health is the health of the executor as derived from the outcomes of its runs.
type Health struct {
	// FailedJobs holds the jobs that have failed since the last success.
	FailedJobs map[string]bool
	// HungRuns is the number of hung runs since the last success.
	HungRuns int
	// EjectedUntil is the end of the last ejection, and EjectionTime the length of the last one after failures or hung runs.
	EjectedUntil time.Time
	EjectionTime time.Duration
	// Recovering is set from the start of an ejection after failures or hung runs until a run succeeds.
	Recovering bool
	// LastSuccess is when a run last succeeded.
	LastSuccess time.Time
}

func recordSuccess(hea *Health, now time.Time) {
	*hea = Health{LastSuccess: now}
}

func recordFailure(hea *Health, now time.Time, job string) bool {
	if hea.FailedJobs == nil {
		hea.FailedJobs = map[string]bool{}
	}
	hea.FailedJobs[job] = true
	if len(hea.FailedJobs) < failedJobThreshold && !hea.Recovering {
		return false
	}
	eject(hea, now)
	return true
}

func recordHungRun(hea *Health, now time.Time) bool {
	hea.HungRuns++
	if hea.HungRuns < hungRunThreshold && !hea.Recovering {
		return false
	}
	eject(hea, now)
	return true
}

func eject(hea *Health, now time.Time) {
	hea.EjectionTime = min(max(2*hea.EjectionTime, minEjectionTime), maxEjectionTime)
	hea.EjectedUntil = now.Add(hea.EjectionTime)
	hea.Recovering = true
	hea.FailedJobs = nil
	hea.HungRuns = 0
}
