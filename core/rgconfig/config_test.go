package rgconfig

import (
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

func dur(val time.Duration) rgmodel.Duration {
	return rgmodel.Duration{Duration: val}
}

func validAnswers() Answers {
	return Answers{
		Team:               "kitapDostu",
		ResubmissionWindow: dur(10 * time.Minute),
		Quota:              rgmodel.Quota{Sustained: 100, Burst: 200},
		Kinds: []KindAnswers{
			{Kind: "signUps", Urgency: "high", UsualRunTime: dur(80 * time.Millisecond), LongestRunTime: dur(time.Second),
				CallerWait: dur(2 * time.Second), Objective: 0.999, Rate: 20, LargestJob: 10, SurvivesFlood: true},
			{Kind: "readingLists", Idempotent: true, Urgency: "low", UsualRunTime: dur(120 * time.Millisecond),
				LongestRunTime: dur(2 * time.Second), CallerWait: dur(20 * time.Second), Objective: 0.9, Rate: 50, LargestJob: 200},
		},
	}
}

type invalidAnswer struct {
	change   func(ans *Answers)
	question string
	answer   string
	reason   string
}

var invalidAnswers = map[string]invalidAnswer{
	"team with slash": {
		func(ans *Answers) { ans.Team = "a/b" },
		"team", `"a/b"`, "without spaces, slashes",
	},
	"window above ten minutes": {
		func(ans *Answers) { ans.ResubmissionWindow = dur(11 * time.Minute) },
		"resubmissionWindow", "11m0s", "10m0s",
	},
	"window below a deadline": {
		func(ans *Answers) { ans.ResubmissionWindow = dur(time.Second) },
		"resubmissionWindow", "1s", "30s",
	},
	"no sustained quota": {
		func(ans *Answers) { ans.Quota.Sustained = 0 },
		"quota/sustained", "0", "more than 0",
	},
	"quota below usual rates": {
		func(ans *Answers) { ans.Quota.Sustained = 60 },
		"quota/sustained", "60", "70 tasks per second",
	},
	"burst below one job": {
		func(ans *Answers) { ans.Quota.Burst = 150 },
		"quota/burst", "150", "below one job",
	},
	"no kinds": {
		func(ans *Answers) { ans.Kinds = nil },
		"kinds", "0", "1 to 16",
	},
	"duplicate kind": {
		func(ans *Answers) { ans.Kinds[1].Kind = "signUps" },
		"kinds/signUps/kind", `"signUps"`, "same name",
	},
	"kind without name": {
		func(ans *Answers) { ans.Kinds[1].Kind = "" },
		"kinds/1/kind", `""`, "need a name",
	},
	"unknown urgency": {
		func(ans *Answers) { ans.Kinds[0].Urgency = "now" },
		"kinds/signUps/urgency", `"now"`, "low, normal or high",
	},
	"no run time": {
		func(ans *Answers) { ans.Kinds[0].UsualRunTime = dur(0) },
		"kinds/signUps/usualRunTime", "0s", "more than 0s",
	},
	"longest below usual": {
		func(ans *Answers) { ans.Kinds[0].LongestRunTime = dur(1) },
		"kinds/signUps/longestRunTime", "1ns", "usual run time of 80ms",
	},
	"longest above maximum": {
		func(ans *Answers) { ans.Kinds[0].LongestRunTime = dur(time.Minute) },
		"kinds/signUps/longestRunTime", "1m0s", "30s",
	},
	"caller wait too short": {
		func(ans *Answers) { ans.Kinds[0].CallerWait = dur(50 * time.Millisecond) },
		"kinds/signUps/callerWait", "50ms", "usual run time of 80ms",
	},
	"caller wait too long": {
		func(ans *Answers) { ans.Kinds[0].CallerWait = dur(31 * time.Second) },
		"kinds/signUps/callerWait", "31s", "maximum deadline of 30s",
	},
	"objective of all jobs": {
		func(ans *Answers) { ans.Kinds[0].Objective = 1 },
		"kinds/signUps/objective", "1", "below 1",
	},
	"negative rate": {
		func(ans *Answers) { ans.Kinds[0].Rate = -1 },
		"kinds/signUps/rate", "-1", "0 or more",
	},
	"job above the limit": {
		func(ans *Answers) { ans.Kinds[0].LargestJob = 361 },
		"kinds/signUps/largestJob", "361", "1 to 360",
	},
	"every kind survives flood": {
		func(ans *Answers) { ans.Kinds[1].SurvivesFlood = true },
		"kinds/*/survivesFlood", "true", "at least one kind",
	},
}

// TestCheck guards against invalid answers from which a configuration is generated, and against problems that name the wrong
// question.
func TestCheck(t *testing.T) {
	if prs := Check(validAnswers()); len(prs) != 0 {
		t.Fatalf("valid answers are rejected: %v", prs)
	}
	for name, tc := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			ans := validAnswers()
			tc.change(&ans)
			prs := Check(ans)
			if len(prs) != 1 || prs[0].Question != tc.question || prs[0].Answer != tc.answer ||
				!strings.Contains(prs[0].Reason, tc.reason) {
				t.Errorf("got %+v, want one problem: %s, %s, %q", prs, tc.question, tc.answer, tc.reason)
			}
			if _, err := Generate(ans); err == nil {
				t.Error("a configuration is generated from invalid answers")
			}
		})
	}
}

// TestGenerate guards against settings without a source, and against a kind that must survive a flood but gets the weight
// of the others.
func TestGenerate(t *testing.T) {
	cfg, err := Generate(validAnswers())
	if err != nil {
		t.Fatal(err)
	}
	for name := range Settings(cfg) {
		if name != "team" && cfg.Sources[name] == "" {
			t.Errorf("setting %s has no source", name)
		}
	}
	if high, low := cfg.Kinds[0].Weight, cfg.Kinds[1].Weight; high != WeightSurvivesFlood || low != WeightLow {
		t.Errorf("weights %d and %d, want %d and %d", high, low, WeightSurvivesFlood, WeightLow)
	}
}

// TestCompareAnswers guards against missing changes, and against changes attributed to the wrong answer.
func TestCompareAnswers(t *testing.T) {
	tests := map[string]struct {
		change func(ans *Answers)
		want   []Change
	}{
		"nothing": {func(*Answers) {}, nil},
		"burst": {func(ans *Answers) { ans.Quota.Burst = 300 }, []Change{
			{Setting: "quota/burst", Before: "200", After: "300", Question: "quota/burst"},
		}},
		"flood": {func(ans *Answers) { ans.Kinds[0].SurvivesFlood = false }, []Change{
			{
				Setting: "kinds/signUps/weight", Before: "10", After: "2",
				Question: "kinds/signUps/survivesFlood and kinds/signUps/urgency",
			},
		}},
		"urgency": {func(ans *Answers) { ans.Kinds[1].Urgency = "normal" }, []Change{
			{Setting: "kinds/readingLists/urgency", Before: "-1", After: "0", Question: "kinds/readingLists/urgency"},
			{Setting: "kinds/readingLists/weight", Before: "1", After: "2", Question: "kinds/readingLists/urgency"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ans := validAnswers()
			tc.change(&ans)
			chs, err := CompareAnswers(validAnswers(), ans)
			if err != nil {
				t.Fatal(err)
			}
			for i := range chs {
				if chs[i].Reason == "" {
					t.Errorf("no reason for the change of %s", chs[i].Setting)
				}
				chs[i].Reason = ""
			}
			if !reflect.DeepEqual(chs, tc.want) {
				t.Errorf("got %+v, want %+v", chs, tc.want)
			}
		})
	}
}

// TestMerge guards against a configuration that reverts when messages are delayed, duplicated or read from an older state
// of the store.
func TestMerge(t *testing.T) {
	configOf := func(team string, num uint64) rgmodel.TeamConfig { return rgmodel.TeamConfig{Team: team, Revision: num} }
	tests := map[string]struct {
		read      []rgmodel.TeamConfig
		want      map[string]uint64
		wantNewer int
	}{
		"in order":      {[]rgmodel.TeamConfig{configOf("a", 1), configOf("a", 2)}, map[string]uint64{"a": 2}, 2},
		"older last":    {[]rgmodel.TeamConfig{configOf("a", 3), configOf("a", 2), configOf("a", 1)}, map[string]uint64{"a": 3}, 1},
		"same twice":    {[]rgmodel.TeamConfig{configOf("a", 3), configOf("a", 3)}, map[string]uint64{"a": 3}, 1},
		"two teams":     {[]rgmodel.TeamConfig{configOf("a", 3), configOf("b", 1), configOf("a", 1)}, map[string]uint64{"a": 3, "b": 1}, 2},
		"zero revision": {[]rgmodel.TeamConfig{configOf("a", 0)}, map[string]uint64{}, 0},
	}
	revisions := func(teams map[string]rgmodel.TeamConfig) map[string]uint64 {
		got := map[string]uint64{}
		for name, cfg := range teams {
			got[name] = cfg.Revision
		}
		return got
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			teams := map[string]rgmodel.TeamConfig{}
			if newer := Merge(teams, tc.read); len(newer) != tc.wantNewer {
				t.Errorf("%d configurations returned as newer, want %d", len(newer), tc.wantNewer)
			}
			wantVersion := VersionOf(teams)
			rnd := rand.New(rand.NewPCG(1, 1))
			for range 50 {
				shuffled := slices.Clone(tc.read)
				rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
				shuffledTeams := map[string]rgmodel.TeamConfig{}
				for _, cfg := range shuffled {
					Merge(shuffledTeams, []rgmodel.TeamConfig{cfg})
				}
				if got := revisions(shuffledTeams); !maps.Equal(got, tc.want) || VersionOf(shuffledTeams) != wantVersion {
					t.Fatalf("order %v gives %v, want %v and the version of the original order", shuffled, got, tc.want)
				}
			}
		})
	}
}
