package rgconfig

import "ragwortgap/core/rgmodel"

// Generate returns the configuration for the answers, without revision and change id. Its Sources map each setting to the
// question whose answer determines it. It fails with Problems when answers are invalid.
func Generate(ans Answers) (rgmodel.TeamConfig, error) {
	if prs := Check(ans); len(prs) > 0 {
		return rgmodel.TeamConfig{}, prs
	}
	tc := rgmodel.TeamConfig{
		Team: ans.Team,
		// All teams have the same weight; a team cannot ask for a larger share than others.
		Weight:             1,
		Quota:              ans.Quota,
		ResubmissionWindow: ans.ResubmissionWindow,
		Sources: map[string]string{
			"weight":             QuestionTeam,
			"quota/sustained":    QuestionSustained,
			"quota/burst":        QuestionBurst,
			"resubmissionWindow": QuestionWindow,
		},
	}
	for _, ka := range ans.Kinds {
		kc := rgmodel.KindConfig{
			Kind:           ka.Kind,
			Weight:         kindWeight(ka),
			Urgency:        urgencies[ka.Urgency],
			Idempotent:     ka.Idempotent,
			UsualRunTime:   ka.UsualRunTime,
			LongestRunTime: ka.LongestRunTime,
			CallerWait:     ka.CallerWait,
			Objective:      ka.Objective,
		}
		tc.Kinds = append(tc.Kinds, kc)
		for setting, qus := range kindSources(ka) {
			tc.Sources[kindPath(ka.Kind, setting)] = kindPath(ka.Kind, qus)
		}
	}
	return tc, nil
}

func kindWeight(ka KindAnswers) int {
	switch {
	case ka.SurvivesFlood:
		return WeightSurvivesFlood
	case urgencies[ka.Urgency] == rgmodel.UrgencyLow:
		return WeightLow
	default:
		return WeightNormal
	}
}

// kindSources maps each setting of a kind to the question whose answer determines it.
func kindSources(ka KindAnswers) map[string]string {
	src := map[string]string{
		"weight":         QuestionSurvivesFlood,
		"urgency":        QuestionUrgency,
		"idempotent":     QuestionIdempotent,
		"usualRunTime":   QuestionUsualRunTime,
		"longestRunTime": QuestionLongestRunTime,
		"callerWait":     QuestionCallerWait,
		"objective":      QuestionObjective,
	}
	if !ka.SurvivesFlood {
		src["weight"] = QuestionUrgency
	}
	return src
}
