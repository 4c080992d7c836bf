// Package rgroute holds the operator's configuration: routes and the maximum body size.
package rgroute

import "time"

type (
	// Route maps a host and a path prefix to a service, and sets the priority, time limits and attempts of its jobs.
	Route struct {
		Name    string
		Host    string
		Prefix  string
		Service string
		// Priority orders the tasks of different routes; 0 is the highest priority.
		Priority int
		// Timeout is the time until the deadline of a job whose caller does not say how long it waits; zero means the default.
		Timeout time.Duration
		// LatencyAllowance is the time by which a job may exceed SlackFactor times its estimated run time and still be on time.
		LatencyAllowance time.Duration
		// SlackFactor multiplies the estimated run time of a job in the computation of its soft deadline.
		SlackFactor float64
		// MaxAttempts is the number of failed attempts of a task after which its job fails.
		MaxAttempts int
		// ExternallyPlaced is set if another service decides where tasks may run.
		ExternallyPlaced bool
	}

	// Config is one version of the operator's configuration.
	Config struct {
		Version uint64
		Routes  []Route
		// ByHost holds the indexes of the routes of each host.
		ByHost map[string][]int
		// MaxBodyBytes is the largest size of a request body; zero means the default.
		MaxBodyBytes int64
		// Raw is the encoded configuration, which is passed on to other entries.
		Raw []byte
	}
)

// DefaultMaxAttempts applies to routes that set no number of attempts.
const DefaultMaxAttempts = 3
