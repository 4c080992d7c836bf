package rgconfig

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// RecordChange adds a change to the history and deletes old ones.
func RecordChange(his *History, newer []rgmodel.TeamConfig, before, after uint64, now time.Time) {
	rec := AppliedChange{At: now, Before: before, After: after}
	for _, tc := range newer {
		rec.Teams = append(rec.Teams, tc.Team)
	}
	old := 0
	for old < len(his.Changes) && now.Sub(his.Changes[old].At) > HistoryDuration {
		old++
	}
	his.Changes = append(his.Changes[old:], rec)
}
