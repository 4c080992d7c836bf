package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestDrainConn guards against a connection that is closed while its entry may still place tasks over it or has tasks here,
// which would be lost, and against one that is never closed.
func TestDrainConn(t *testing.T) {
	tests := map[string]struct {
		run  func(har *harness)
		want bool
	}{
		"not drained":      {run: func(har *harness) { har.advance(2 * connDrainTime) }},
		"entry not told":   {run: func(har *harness) { DrainConn(&har.sta, testConn); har.now = har.now.Add(2 * connDrainTime) }},
		"entry just told":  {run: func(har *harness) { har.drainAndReport(); har.now = har.now.Add(connDrainTime / 2) }},
		"told and no task": {run: func(har *harness) { har.drainAndReport(); har.now = har.now.Add(connDrainTime) }, want: true},
		"task placed meanwhile": {
			run: func(har *harness) {
				har.drainAndReport()
				RecordHeartbeat(&har.sta, testConn, har.now)
				har.place("job", 1)
				har.now = har.now.Add(connDrainTime)
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			tc.run(har)
			if got := len(DrainedConns(&har.sta, har.now)) > 0; got != tc.want {
				t.Errorf("connection may be closed: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestDrainConnReport guards against an entry that is not told at once to place no more tasks over a connection, and against
// other entries that are told the same.
func TestDrainConnReport(t *testing.T) {
	har := newHarness(t)
	const other EntryConnID = 99
	Connect(&har.sta, har.now, other)
	DueUpdates(&har.sta, har.now, nil)
	DrainConn(&har.sta, testConn)
	reports := map[EntryConnID]*rgmodel.ExecutorReport{}
	for _, upd := range DueUpdates(&har.sta, har.now.Add(time.Millisecond), nil) {
		reports[upd.Conn] = upd.Report
	}
	if rep := reports[testConn]; rep == nil || rep.Usable {
		t.Errorf("report %+v over the drained connection, want one that is not usable", rep)
	}
	if rep := reports[other]; rep != nil && !rep.Usable {
		t.Error("another entry is told that the executor is not usable")
	}
}

func (har *harness) drainAndReport() {
	DrainConn(&har.sta, testConn)
	DueUpdates(&har.sta, har.now, nil)
}
