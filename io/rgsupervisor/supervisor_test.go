package rgsupervisor

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestSupervisor guards against a panic that ends the process, that is not logged or counted, or that ends work that has to go
// on, such as the watch of the configuration.
func TestSupervisor(t *testing.T) {
	tests := map[string]struct {
		run       func(sup *Supervisor)
		wantLines int
	}{
		"no panic":       {run: func(sup *Supervisor) { sup.Go(func() {}) }},
		"panic":          {run: func(sup *Supervisor) { sup.Go(func() { panic("x") }) }, wantLines: 1},
		"panic in event": {run: func(sup *Supervisor) { sup.Try("event", func() { panic("x") }) }, wantLines: 1},
		"maintained work goes on after a panic": {
			run: func(sup *Supervisor) {
				calls := 0
				sup.Maintain(context.Background(), func() {
					if calls++; calls == 1 {
						panic("x")
					}
				})
				sup.Wait()
				if calls != 2 {
					panic("not called again")
				}
			},
			wantLines: 1,
		},
		"maintained work ends with its context": {
			run: func(sup *Supervisor) {
				ctx, stop := context.WithCancel(context.Background())
				sup.Maintain(ctx, func() { stop(); panic("x") })
			},
			wantLines: 1,
		},
		"zero value": {
			run: func(*Supervisor) {
				var sup Supervisor
				sup.Go(func() { panic("x") })
				sup.Wait()
			},
		},
	}
	for name, tc := range tests {
		// In a bubble, the delay before maintained work is called again takes no time.
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSupervisor(t, tc.run, tc.wantLines) })
		})
	}
}

func checkSupervisor(t *testing.T, run func(sup *Supervisor), wantLines int) {
	t.Helper()
	cor, logs := observer.New(zap.ErrorLevel)
	sco := tally.NewTestScope("", nil)
	sup := &Supervisor{Log: zap.New(cor), Scope: sco}
	run(sup)
	sup.Wait()
	if got := logs.FilterMessage("panic").Len(); got != wantLines {
		t.Errorf("%d lines logged, want %d", got, wantLines)
	}
	counted := int64(0)
	for _, cnt := range sco.Snapshot().Counters() {
		counted += cnt.Value()
	}
	if counted != int64(wantLines) {
		t.Errorf("%d panics counted, want %d", counted, wantLines)
	}
}
