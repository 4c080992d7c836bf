package rgconfig

import (
	"strconv"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// SetTeamAnswer enters the answer to one of TeamQuestions. It fails with errors.NotValid when the text cannot be read.
func SetTeamAnswer(ans *Answers, name, txt string) error {
	switch name {
	case QuestionTeam:
		ans.Team = txt
		return nil
	case QuestionWindow:
		return ans.ResubmissionWindow.UnmarshalText([]byte(txt))
	case QuestionSustained:
		return readNumber(txt, &ans.Quota.Sustained)
	case QuestionBurst:
		return readNumber(txt, &ans.Quota.Burst)
	default:
		return errors.NotValidf("question %q", name)
	}
}

// SetKindAnswer enters the answer to one of KindQuestions. It fails with errors.NotValid when the text cannot be read.
func SetKindAnswer(ans *KindAnswers, name, txt string) error {
	switch name {
	case QuestionKind:
		ans.Kind = txt
	case QuestionUrgency:
		ans.Urgency = txt
	case QuestionIdempotent:
		return readBool(txt, &ans.Idempotent)
	case QuestionSurvivesFlood:
		return readBool(txt, &ans.SurvivesFlood)
	case QuestionUsualRunTime:
		return ans.UsualRunTime.UnmarshalText([]byte(txt))
	case QuestionLongestRunTime:
		return ans.LongestRunTime.UnmarshalText([]byte(txt))
	case QuestionCallerWait:
		return ans.CallerWait.UnmarshalText([]byte(txt))
	case QuestionObjective:
		return readNumber(txt, &ans.Objective)
	case QuestionRate:
		return readNumber(txt, &ans.Rate)
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

// AssignRevision makes a generated configuration the successor of the current one.
func AssignRevision(tc *rgmodel.TeamConfig, cur rgmodel.TeamConfig, changeID string) {
	tc.Revision, tc.ChangeID = cur.Revision+1, changeID
}

func readNumber(txt string, val *float64) error {
	num, err := strconv.ParseFloat(txt, 64)
	if err != nil {
		return errors.NotValidf("number %q", txt)
	}
	*val = num
	return nil
}

func readBool(txt string, val *bool) error {
	tru, err := strconv.ParseBool(txt)
	if err != nil {
		return errors.NotValidf("answer %q (need true or false)", txt)
	}
	*val = tru
	return nil
}
