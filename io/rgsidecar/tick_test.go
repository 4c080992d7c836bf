package rgsidecar

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
	"ragwortgap/io/rgwire"
)

// TestParkedBatchAfterPause guards against a process that accepts a batch although it lost contact with an entry while it stood still:
// the first tick after the pause must not use the time from before it.
func TestParkedBatchAfterPause(t *testing.T) {
	home := rgmodel.Entry{Name: "home", Incarnation: "home-1"}
	tests := map[string]struct {
		sinceContact time.Duration
		wantParked   int
	}{
		"in contact":   {sinceContact: 0, wantParked: 0},
		"contact lost": {sinceContact: rgmodel.IsolationLimit + time.Millisecond, wantParked: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			pro := &Process{log: zap.NewNop(), scope: tally.NoopScope}
			sta := &State{
				Queue:   rgqueue.State{Ring: rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{home}}},
				Waiters: map[rgmodel.SubmissionID][]Waiter{}, Conns: map[string]EntryConn{},
			}
			now := time.Now()
			rgqueue.RecordContact(&sta.Queue, home, now.Add(-tc.sinceContact))
			sta.LastReport, sta.LastExpiry = now, now
			sta.Parked = []BatchArrived{{
				Batch: rgmodel.Batch{
					ID: "job", Generation: 1, Remaining: rgmodel.Duration{Duration: time.Minute}, Tasks: []rgmodel.Task{{}},
				},
				Arrived: now, Reply: make(chan rgwire.BatchReply, 1),
			}}
			pro.tick(context.Background(), sta)
			if got := len(sta.Parked); got != tc.wantParked {
				t.Errorf("%d batches wait for contact, want %d", got, tc.wantParked)
			}
		})
	}
}
