package rgfleet

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestUsable guards against tasks that are sent to sidecars which would refuse them or not reply.
func TestUsable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	sc := rgmodel.Sidecar{Name: "sidecar", Incarnation: "1"}
	missed := now.Add(-MissedReportLimit * IdleReportInterval)
	tests := map[string]struct {
		change func(sta *State)
		want   int
	}{
		"connected and sealed": {change: func(*State) {}, want: 1},
		"not sealed":           {change: func(sta *State) { Announce(sta, sc, now) }},
		"disconnected":         {change: func(sta *State) { Disconnect(sta, sc.Key(), now) }},
		"leaving":              {change: func(sta *State) { MarkLeaving(sta, sc.Key()) }},
		"draining":             {change: func(sta *State) { RecordReport(sta, report(rgmodel.LoadReport{Draining: true}), now) }},
		"isolated":             {change: func(sta *State) { RecordReport(sta, report(rgmodel.LoadReport{Isolated: true}), now) }},
		"in contact again": {want: 1, change: func(sta *State) {
			RecordReport(sta, report(rgmodel.LoadReport{Isolated: true}), now)
			RecordReport(sta, report(rgmodel.LoadReport{Sequence: 2}), now)
		}},
		"reordered reports": {change: func(sta *State) {
			RecordReport(sta, report(rgmodel.LoadReport{Sequence: 2, Isolated: true}), now)
			RecordReport(sta, report(rgmodel.LoadReport{}), now)
		}},
		"two reports missed": {want: 1, change: func(sta *State) { RecordReport(sta, report(rgmodel.LoadReport{}), missed) }},
		"three reports missed": {change: func(sta *State) {
			RecordReport(sta, report(rgmodel.LoadReport{}), missed.Add(-time.Millisecond))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var sta State
			Announce(&sta, sc, now)
			MarkSealed(&sta, sc.Key())
			tc.change(&sta)
			if got := len(Usable(&sta, now)); got != tc.want {
				t.Errorf("%d usable, want %d", got, tc.want)
			}
		})
	}
}

func report(rep rgmodel.LoadReport) rgmodel.LoadReport {
	rep.Sidecar, rep.Incarnation, rep.Sequence = "sidecar", "1", max(1, rep.Sequence)
	return rep
}
