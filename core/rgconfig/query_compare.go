package rgconfig

import (
	"fmt"
	"maps"
	"slices"

	"ragwortgap/core/rgmodel"
)

const absent = "(absent)"

// CompareAnswers returns the settings that differ between the configurations generated from two sets of answers, ordered
// by setting, each with the answer that determines it. It fails with Problems when either set has invalid answers.
func CompareAnswers(before, after Answers) ([]Change, error) {
	old, err := Generate(before)
	if err != nil {
		return nil, err
	}
	cur, err := Generate(after)
	if err != nil {
		return nil, err
	}
	return Diff(old, cur), nil
}

// Diff returns the settings in which two configurations differ, ordered by setting.
func Diff(old, cur rgmodel.TeamConfig) []Change {
	bef, aft := Settings(old), Settings(cur)
	all := maps.Clone(bef)
	maps.Copy(all, aft)
	var chs []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		chg := Change{Setting: name, Before: settingValue(bef, name), After: settingValue(aft, name)}
		chg.Question = decidingQuestion(old.Sources[name], cur.Sources[name])
		if chg.Before == chg.After {
			continue
		}
		chg.Reason = changeReason(chg)
		chs = append(chs, chg)
	}
	return chs
}

// Settings returns the settings of a configuration in text form, by path.
func Settings(tc rgmodel.TeamConfig) map[string]string {
	set := map[string]string{
		"team":               tc.Team,
		"weight":             fmt.Sprint(tc.Weight),
		"quota/sustained":    fmt.Sprint(tc.Quota.Sustained),
		"quota/burst":        fmt.Sprint(tc.Quota.Burst),
		"resubmissionWindow": tc.ResubmissionWindow.String(),
	}
	for _, kc := range tc.Kinds {
		set[kindPath(kc.Kind, "weight")] = fmt.Sprint(kc.Weight)
		set[kindPath(kc.Kind, "urgency")] = fmt.Sprint(kc.Urgency)
		set[kindPath(kc.Kind, "idempotent")] = fmt.Sprint(kc.Idempotent)
		set[kindPath(kc.Kind, "usualRunTime")] = kc.UsualRunTime.String()
		set[kindPath(kc.Kind, "longestRunTime")] = kc.LongestRunTime.String()
		set[kindPath(kc.Kind, "callerWait")] = kc.CallerWait.String()
		set[kindPath(kc.Kind, "objective")] = fmt.Sprint(kc.Objective)
	}
	return set
}

func settingValue(set map[string]string, name string) string {
	if val, ok := set[name]; ok {
		return val
	}
	return absent
}

// decidingQuestion returns the question whose answer determines a setting. It names both questions if they differ between
// the configurations: a kind that need no longer survive a flood gets its weight from its urgency.
func decidingQuestion(old, cur string) string {
	switch {
	case old == "" || old == cur:
		return cur
	case cur == "":
		return old
	default:
		return old + " and " + cur
	}
}

func changeReason(chg Change) string {
	switch {
	case chg.Before == absent:
		return "the kind was added"
	case chg.After == absent:
		return "the kind was removed"
	case chg.Question == "":
		return "the team has another name"
	default:
		return fmt.Sprintf("decided by the answer to %s", chg.Question)
	}
}
