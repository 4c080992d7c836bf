// Package rgroute holds the operator's configuration in force at a process: routes and limits.
package rgroute

import "time"

type (
	// Route is a queue that clients address by host and path.
	Route struct {
		Name    string
		Host    string
		Prefix  string
		Service string
		// Priority orders the tasks of routes; 0 goes first.
		Priority int
		// Timeout bounds a request; zero means no bound.
		Timeout time.Duration
		// SLO is the time by which a job may exceed SlackFactor times its estimated run time and still be in time.
		SLO time.Duration
		// SlackFactor multiplies the estimated run time of a job in the computation of its soft deadline.
		SlackFactor float64
		// Attempts is how often a task may fail before its job has failed.
		Attempts int
		// ExternallyPlaced is set if another service decides where tasks may run.
		ExternallyPlaced bool
	}

	// Config is one version of the operator's configuration.
	Config struct {
		Version uint64
		Routes  []Route
		// ByHost holds the indexes of the routes of each host.
		ByHost map[string][]int
		// MaxBodyBytes bounds a request; zero means the default.
		MaxBodyBytes int64
		// Raw is the form in which it is passed on to other instances.
		Raw []byte
	}
)

// DefaultAttempts applies where the configuration names none.
const DefaultAttempts = 3
