package rgconfig

import (
	"strings"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// TestMissingConfigs guards against sidecars that never receive a change, and against every entry sending every change.
func TestMissingConfigs(t *testing.T) {
	began := time.Unix(1000, 0)
	teams := map[string]rgmodel.TeamConfig{}
	var his History
	// Teams a, b and c are known at the start; b changes after 10 s and c after 20 s.
	for _, name := range []string{"a", "b", "c"} {
		Merge(teams, []rgmodel.TeamConfig{{Team: name, Revision: 5}})
	}
	change := func(name string, secs int) {
		before := VersionOf(teams).Revisions
		newer := Merge(teams, []rgmodel.TeamConfig{{Team: name, Revision: 6}})
		RecordChange(&his, newer, before, VersionOf(teams).Revisions, began.Add(time.Duration(secs)*time.Second))
	}
	change("b", 10)
	change("c", 20)
	own := VersionOf(teams)
	tests := map[string]struct {
		reported rgmodel.ConfigVersion
		secs     int
		want     string
	}{
		"has everything":               {own, 30, ""},
		"lacks a recent change":        {rgmodel.ConfigVersion{Revisions: 16, Digest: "x"}, 21, ""},
		"lacks the last change":        {rgmodel.ConfigVersion{Revisions: 16, Digest: "x"}, 22, "c"},
		"lacks both, one is expected":  {rgmodel.ConfigVersion{Revisions: 15, Digest: "x"}, 21, "b,c"},
		"older than the whole history": {rgmodel.ConfigVersion{}, 21, "a,b,c"},
		"has more than the entry":      {rgmodel.ConfigVersion{Revisions: 18, Digest: "x"}, 30, ""},
		"equal sum, other revisions":   {rgmodel.ConfigVersion{Revisions: 17, Digest: "x"}, 30, "a,b,c"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, cfg := range MissingConfigs(&his, teams, own, tc.reported, began.Add(time.Duration(tc.secs)*time.Second)) {
				got = append(got, cfg.Team)
			}
			if txt := strings.Join(got, ","); txt != tc.want {
				t.Errorf("got %q, want %q", txt, tc.want)
			}
		})
	}
	change("a", 100)
	if len(his.Changes) != 1 {
		t.Errorf("%d changes kept after %s, want 1", len(his.Changes), HistoryDuration)
	}
}
