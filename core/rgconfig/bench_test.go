package rgconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"ragwortgap/core/rgmodel"
)

// BenchmarkChange measures the cost of a configuration change in a process at the target scale: 270 teams of three kinds each.
func BenchmarkChange(b *testing.B) {
	ans := validAnswers()
	ans.Kinds = append(ans.Kinds, ans.Kinds[1])
	ans.Kinds[2].Kind, ans.Kinds[2].Rate = "chapterReminders", 10
	cfg, err := Generate(ans)
	if err != nil {
		b.Fatal(err)
	}
	jsonSize := func(tc rgmodel.TeamConfig) float64 {
		raw, err := json.Marshal(tc)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(raw))
	}
	teams := map[string]rgmodel.TeamConfig{}
	for num := range 270 {
		cfg.Team, cfg.Revision = fmt.Sprint("team", num), 1
		teams[cfg.Team] = cfg
	}
	num := uint64(1)
	for b.Loop() {
		num++
		cfg.Revision = num
		Merge(teams, []rgmodel.TeamConfig{cfg})
		VersionOf(teams)
	}
	b.ReportMetric(jsonSize(cfg), "bytesStored")
	b.ReportMetric(jsonSize(StripSources([]rgmodel.TeamConfig{cfg})[0]), "bytesPushed")
}
