package rgconfig

import (
	"strconv"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// SetTeamAnswer parses and stores the answer to one of TeamQuestions. It fails with errors.NotValid when the text cannot
// be parsed.
func SetTeamAnswer(ans *Answers, name, txt string) error {
	switch name {
	case QuestionTeam:
		ans.Team = txt
		return nil
	case QuestionWindow:
		return ans.ResubmissionWindow.UnmarshalText([]byte(txt))
	case QuestionSustained:
		return parseNumber(txt, &ans.Quota.Sustained)
	case QuestionBurst:
		return parseNumber(txt, &ans.Quota.Burst)
	default:
		return errors.NotValidf("question %q", name)
	}
}

// SetKindAnswer parses and stores the answer to one of KindQuestions. It fails with errors.NotValid when the text cannot
// be parsed.
func SetKindAnswer(ans *KindAnswers, name, txt string) error {
	switch name {
	case QuestionKind:
		ans.Kind = txt
	case QuestionUrgency:
		ans.Urgency = txt
	case QuestionIdempotent:
		return parseBool(txt, &ans.Idempotent)
	case QuestionSurvivesFlood:
		return parseBool(txt, &ans.SurvivesFlood)
	case QuestionUsualRunTime:
		return ans.UsualRunTime.UnmarshalText([]byte(txt))
	case QuestionLongestRunTime:
		return ans.LongestRunTime.UnmarshalText([]byte(txt))
	case QuestionCallerWait:
		return ans.CallerWait.UnmarshalText([]byte(txt))
	case QuestionObjective:
		return parseNumber(txt, &ans.Objective)
	case QuestionRate:
		return parseNumber(txt, &ans.Rate)
	case QuestionLargestJob:
		val, err := strconv.Atoi(txt)
		if err != nil {
			return errors.NotValidf("number of tasks %q", txt)
		}
		ans.LargestJob = val
	default:
		return errors.NotValidf("question %q", name)
	}
	return nil
}

// AssignRevision gives a generated configuration the change id and the revision that follows the current one.
func AssignRevision(tc *rgmodel.TeamConfig, cur rgmodel.TeamConfig, changeID string) {
	tc.Revision, tc.ChangeID = cur.Revision+1, changeID
}

func parseNumber(txt string, val *float64) error {
	num, err := strconv.ParseFloat(txt, 64)
	if err != nil {
		return errors.NotValidf("number %q", txt)
	}
	*val = num
	return nil
}

func parseBool(txt string, val *bool) error {
	tru, err := strconv.ParseBool(txt)
	if err != nil {
		return errors.NotValidf("answer %q (need true or false)", txt)
	}
	*val = tru
	return nil
}
