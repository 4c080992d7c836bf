package rgconfig

import (
	"strings"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestMissingConfigs guards against a sidecar that never gets a change, because no entry notices that it lacks it, and against
// every entry sending a recent change, which the sidecar usually gets from the entries that are assigned to push it.
func TestMissingConfigs(t *testing.T) {
	began := time.Unix(1000, 0)
	teams := map[string]rgmodel.TeamConfig{}
	var his History
	// Teams a, b and c are known at the start; b changes after 10 s and c after 20 s.
	for _, name := range []string{"a", "b", "c"} {
		Merge(teams, []rgmodel.TeamConfig{{Team: name, Revision: 5}})
	}
	change := func(name string, atSecond int) {
		before := VersionOf(teams).Revisions
		newer := Merge(teams, []rgmodel.TeamConfig{{Team: name, Revision: 6}})
		RecordChange(&his, newer, before, VersionOf(teams).Revisions, began.Add(time.Duration(atSecond)*time.Second))
	}
	change("b", 10)
	change("c", 20)
	ownVersion := VersionOf(teams)
	tests := map[string]struct {
		reported rgmodel.ConfigVersion
		atSecond int
		want     string
	}{
		"has everything": {ownVersion, 30, ""},
		"lacks a change newer than the repair delay":         {rgmodel.ConfigVersion{Revisions: 16, Digest: "x"}, 21, ""},
		"lacks a change as old as the repair delay":          {rgmodel.ConfigVersion{Revisions: 16, Digest: "x"}, 22, "c"},
		"lacks two changes, one newer than the repair delay": {rgmodel.ConfigVersion{Revisions: 15, Digest: "x"}, 21, "b,c"},
		"older than the history":                             {rgmodel.ConfigVersion{}, 21, "a,b,c"},
		"newer than the entry":                               {rgmodel.ConfigVersion{Revisions: 18, Digest: "x"}, 30, ""},
		"equal sum of the revisions, other digest":           {rgmodel.ConfigVersion{Revisions: 17, Digest: "x"}, 30, "a,b,c"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, cfg := range MissingConfigs(&his, teams, ownVersion, tc.reported, began.Add(time.Duration(tc.atSecond)*time.Second)) {
				got = append(got, cfg.Team)
			}
			if teamNames := strings.Join(got, ","); teamNames != tc.want {
				t.Errorf("got %q, want %q", teamNames, tc.want)
			}
		})
	}
	change("a", 100)
	if len(his.Changes) != 1 {
		t.Errorf("%d changes kept after %s, want 1", len(his.Changes), HistoryDuration)
	}
}
