// Package rgsupervisor runs the goroutines of a process. A panic costs one event or one connection, and not the process: it is
// logged with its stack and counted in the metric "panics".
package rgsupervisor

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/io/rgclock"
)

// restartDelay is the delay before Maintain calls its function again. It bounds the log of a function that always panics.
const restartDelay = time.Second

// Supervisor starts goroutines and waits for them. The zero value logs and counts nothing.
type Supervisor struct {
	Log   *zap.Logger
	Scope tally.Scope

	group conc.WaitGroup
}

// Go runs the work in a goroutine.
func (sup *Supervisor) Go(work func()) {
	sup.group.Go(func() { sup.Try("goroutine", work) })
}

// Maintain runs the work in a goroutine, and again after each panic, until ctx ends.
func (sup *Supervisor) Maintain(ctx context.Context, work func()) {
	sup.group.Go(func() {
		for ctx.Err() == nil && !sup.Try("goroutine", work) {
			rgclock.Sleep(ctx, restartDelay)
		}
	})
}

// Try runs the work and reports whether it returned without a panic. name names the work in the log.
func (sup *Supervisor) Try(name string, work func()) bool {
	rec := panics.Try(work)
	if rec == nil {
		return true
	}
	if sup.Log != nil {
		sup.Log.Error("panic", zap.String("work", name), zap.Error(rec.AsError()))
	}
	if sup.Scope != nil {
		sup.Scope.Counter("panics").Inc(1)
	}
	return false
}

// Wait waits until all goroutines have returned.
func (sup *Supervisor) Wait() { sup.group.Wait() }
