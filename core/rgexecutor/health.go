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
	Failed map[string]bool
	Hung   int
	// Until is the end of the current pause, Pause its length.
	Until time.Time
	Pause time.Duration
	// Proving is set after a pause until a run succeeds.
	Proving bool
}

func succeed(hea *Health) {
	*hea = Health{}
}

func fail(hea *Health, now time.Time, job string) bool {
	if hea.Failed == nil {
		hea.Failed = map[string]bool{}
	}
	hea.Failed[job] = true
	if len(hea.Failed) < failureLimit && !hea.Proving {
		return false
	}
	pause(hea, now)
	return true
}

func hang(hea *Health, now time.Time) bool {
	hea.Hung++
	if hea.Hung < hangLimit && !hea.Proving {
		return false
	}
	pause(hea, now)
	return true
}

func pause(hea *Health, now time.Time) {
	hea.Pause = min(max(2*hea.Pause, shortestPause), longestPause)
	hea.Until = now.Add(hea.Pause)
	hea.Proving = true
	hea.Failed = nil
	hea.Hung = 0
}
