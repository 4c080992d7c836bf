package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestPatience guards against a task that waits here although its entry expected none of it and other executors have room,
// and against one that is sent away although it can start.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		running   int
		patience  time.Duration
		wantStart bool
		wantQueue bool
	}{
		"room":                         {running: 7, patience: time.Millisecond, wantStart: true},
		"no room":                      {running: 8, patience: 10 * time.Millisecond},
		"no room, a wait was expected": {running: 8, patience: 200 * time.Millisecond, wantQueue: true},
		"no room, moved often enough":  {running: 8, wantQueue: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("running", tc.running)
			bnc.starts(bnc.accepted())
			bnc.take()
			bnc.placeOne(500*time.Millisecond, tc.patience)
			returned := false
			for _, eff := range bnc.efs {
				tel, ok := eff.(ReportEnd)
				returned = returned || ok && tel.End.Status == rgmodel.EndReturned && tel.End.Reason == rgmodel.ReasonExpectedWait
			}
			if returned == (tc.wantStart || tc.wantQueue) {
				t.Errorf("returned: %v", returned)
			}
			if got := bnc.starts(bnc.accepted()) > 0; got != tc.wantStart {
				t.Errorf("started: %v, want %v", got, tc.wantStart)
			}
			if got := len(bnc.sta.Queue) > 0; got != tc.wantQueue {
				t.Errorf("queued: %v, want %v", got, tc.wantQueue)
			}
			ntfs := Notify(&bnc.sta, bnc.now, nil)
			if told := len(ntfs) > 0 && ntfs[0].Report != nil; returned && !told {
				t.Error("the entry is not told of the load that made the task wait")
			}
		})
	}
}

// TestQueuePatience guards against a late task that waits for its deadline behind others while there is room elsewhere, and
// against one in time that loses its place.
func TestQueuePatience(t *testing.T) {
	tests := map[string]struct {
		slack, waits time.Duration
		want         bool
	}{
		"late, waits long":     {slack: 50 * time.Millisecond, waits: queuePatience + TickInterval, want: true},
		"late, waits a little": {slack: 50 * time.Millisecond, waits: queuePatience - TickInterval},
		"in time, waits long":  {slack: time.Second, waits: queuePatience + TickInterval},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bnc := newBench(t)
			bnc.place("running", 8)
			bnc.starts(bnc.accepted())
			bnc.take()
			bnc.placeOne(tc.slack, 0)
			bnc.wait(tc.waits)
			if got := len(bnc.sta.Queue) == 0; got != tc.want {
				t.Errorf("returned: %v, want %v", got, tc.want)
			}
		})
	}
}
