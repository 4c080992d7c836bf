package rgdispatch

import "time"

// defaultTimeLimit applies to jobs for which neither the caller nor the route sets a limit.
const defaultTimeLimit = 10 * time.Second

// timeLimit returns how long a job may take from its arrival. A caller that says how long it waits knows how long its job runs, so its
// wait takes precedence over the timeout of the route, which would end every long job of a route with short ones.
func timeLimit(req Request) time.Duration {
	switch {
	case req.CallerWait > 0:
		return req.CallerWait
	case req.Route.Timeout > 0:
		return req.Route.Timeout
	default:
		return defaultTimeLimit
	}
}
