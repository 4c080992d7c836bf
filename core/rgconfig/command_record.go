package rgconfig

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// RecordChange adds a change to the history and deletes changes older than HistoryDuration.
func RecordChange(his *History, newer []rgmodel.TeamConfig, before, after uint64, now time.Time) {
	chg := AppliedChange{At: now, Before: before, After: after}
	for _, tc := range newer {
		chg.Teams = append(chg.Teams, tc.Team)
	}
	old := 0
	for old < len(his.Changes) && now.Sub(his.Changes[old].At) > HistoryDuration {
		old++
	}
	his.Changes = append(his.Changes[old:], chg)
}
