package rgfleet

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestUsable guards against tasks that are sent to sidecars that would refuse them or not reply, and against sidecars that stay
// unused after a recovery or a short delay of reports.
func TestUsable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	sc := rgmodel.Sidecar{Name: "sidecar", Incarnation: "1"}
	oldestReport := now.Add(-MissedReportLimit * IdleReportInterval)
	tests := map[string]struct {
		change func(sta *State)
		want   int
	}{
		"connected and sealed": {change: func(*State) {}, want: 1},
		"not sealed":           {change: func(sta *State) { Announce(sta, sc, now) }},
		"disconnected":         {change: func(sta *State) { Disconnect(sta, sc.Key(), now) }},
		"leaving":              {change: func(sta *State) { MarkLeaving(sta, sc.Key()) }},
		"draining":             {change: func(sta *State) { RecordReport(sta, memberReport(rgmodel.LoadReport{Draining: true}), now) }},
		"isolated":             {change: func(sta *State) { RecordReport(sta, memberReport(rgmodel.LoadReport{Isolated: true}), now) }},
		"in contact again": {want: 1, change: func(sta *State) {
			RecordReport(sta, memberReport(rgmodel.LoadReport{Isolated: true}), now)
			RecordReport(sta, memberReport(rgmodel.LoadReport{Sequence: 2}), now)
		}},
		"reordered reports": {change: func(sta *State) {
			RecordReport(sta, memberReport(rgmodel.LoadReport{Sequence: 2, Isolated: true}), now)
			RecordReport(sta, memberReport(rgmodel.LoadReport{}), now)
		}},
		"last report as old as the limit": {want: 1, change: func(sta *State) {
			RecordReport(sta, memberReport(rgmodel.LoadReport{}), oldestReport)
		}},
		"last report older than the limit": {change: func(sta *State) {
			RecordReport(sta, memberReport(rgmodel.LoadReport{}), oldestReport.Add(-time.Millisecond))
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

// memberReport adds the name and incarnation of the sidecar, and sequence 1 by default.
func memberReport(rep rgmodel.LoadReport) rgmodel.LoadReport {
	rep.Sidecar, rep.Incarnation, rep.Sequence = "sidecar", "1", max(1, rep.Sequence)
	return rep
}
