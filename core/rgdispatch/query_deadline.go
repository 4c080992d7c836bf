package rgdispatch

import "time"

const (
	// defaultTimeLimit applies to jobs for which neither the caller nor the route sets a limit.
	defaultTimeLimit = 10 * time.Second
	// maxTimeLimit is well above what any caller waits. It bounds how long a job whose tasks are lost again and again stays in the memory
	// of its entry.
	maxTimeLimit = 10 * time.Minute
)

// timeLimit returns how long a job may take from its arrival. A caller that says how long it waits knows how long its job runs, so its
// wait takes precedence over the timeout of the route, which would end every long job of a route with short ones.
func timeLimit(req Request) time.Duration {
	switch {
	case req.CallerWait > 0:
		return min(req.CallerWait, maxTimeLimit)
	case req.Route.Timeout > 0:
		return min(req.Route.Timeout, maxTimeLimit)
	default:
		return defaultTimeLimit
	}
}
