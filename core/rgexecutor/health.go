package rgexecutor

import "time"

const (
	// failureLimit is how many jobs in a row have to fail for the executor to be at fault. Jobs that can never be done
	// fail everywhere, and few of them come in a row.
	failureLimit = 3
	// hangLimit is how many runs in a row may last far beyond their expected time.
	hangLimit = 2
	// shortestPause and longestPause bound how long an executor at fault gets no work; each doubles the last one.
	shortestPause = time.Second
	longestPause  = 2 * time.Second
	// refusalPause is how long an executor that refuses orders is left alone.
	refusalPause = 300 * time.Millisecond
	// provingShare is the part of the cores that an executor gets after a pause, about one task.
	provingShare = 0.125
	// hangFactor and hangSlack are from when a run counts as hung. Estimates are off by up to 40 % either way.
	hangFactor = 4
	hangSlack  = 300 * time.Millisecond
)

// Health is what the ends of runs say about the executor.
type Health struct {
	// Failed holds the jobs that failed since the last success.
	FailedJobs map[string]bool
	HungRuns   int
	// Until is the end of the current pause, Pause its length.
	PausedUntil time.Time
	PauseLength time.Duration
	// Proving is set after a pause until a run succeeds.
	Recovering bool
}

func succeed(hea *Health) {
	*hea = Health{}
}

func fail(hea *Health, now time.Time, job string) bool {
	if hea.FailedJobs == nil {
		hea.FailedJobs = map[string]bool{}
	}
	hea.FailedJobs[job] = true
	if len(hea.FailedJobs) < failureLimit && !hea.Recovering {
		return false
	}
	pause(hea, now)
	return true
}

func hang(hea *Health, now time.Time) bool {
	hea.HungRuns++
	if hea.HungRuns < hangLimit && !hea.Recovering {
		return false
	}
	pause(hea, now)
	return true
}

func pause(hea *Health, now time.Time) {
	hea.PauseLength = min(max(2*hea.PauseLength, shortestPause), longestPause)
	hea.PausedUntil = now.Add(hea.PauseLength)
	hea.Recovering = true
	hea.FailedJobs = nil
	hea.HungRuns = 0
}
