// Package rgconfig holds the questionnaire, generates configurations from its answers, and holds the rule by which every
// process merges configurations.
package rgconfig

import (
	"fmt"
	"strings"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// MaxNameBytes is the maximum length of the name of a team or kind.
	MaxNameBytes = 64
	// MaxKinds keeps the value of a team far below the store's limit of 1 MB, and a configuration push to each sidecar near
	// 1 KB.
	MaxKinds = 16
	// MinResubmissionWindow is the shortest resubmission window. It equals the maximum deadline, so that a job can be
	// resubmitted for as long as it may run.
	MinResubmissionWindow = rgmodel.MaxDeadline
)

// Weights of a kind. A kind that must survive a flood has at least five times the weight of one that need not. Urgency
// alone at most doubles the weight, because urgent work can itself cause the overload.
const (
	WeightSurvivesFlood = 10
	WeightNormal        = 2
	WeightLow           = 1
)

// Names of the questions. The questions about a kind have the prefix "kinds/<kind>/".
const (
	QuestionTeam           = "team"
	QuestionWindow         = "resubmissionWindow"
	QuestionSustained      = "quota/sustained"
	QuestionBurst          = "quota/burst"
	QuestionKinds          = "kinds"
	QuestionKind           = "kind"
	QuestionIdempotent     = "idempotent"
	QuestionUrgency        = "urgency"
	QuestionUsualRunTime   = "usualRunTime"
	QuestionLongestRunTime = "longestRunTime"
	QuestionCallerWait     = "callerWait"
	QuestionObjective      = "objective"
	QuestionRate           = "rate"
	QuestionLargestJob     = "largestJob"
	QuestionSurvivesFlood  = "survivesFlood"
)

type (
	// Answers are a team's answers to the questionnaire.
	Answers struct {
		Team string `json:"team"`
		// ResubmissionWindow is how long after its creation an id may be resubmitted.
		ResubmissionWindow rgmodel.Duration `json:"resubmissionWindow"`
		// Quota limits the tasks of all kinds together.
		Quota rgmodel.Quota `json:"quota"`
		Kinds []KindAnswers `json:"kinds"`
	}

	// KindAnswers are a team's answers about one kind of work.
	KindAnswers struct {
		Kind       string `json:"kind"`
		Idempotent bool   `json:"idempotent"`
		// Urgency is low, normal or high.
		Urgency        string           `json:"urgency"`
		UsualRunTime   rgmodel.Duration `json:"usualRunTime"`
		LongestRunTime rgmodel.Duration `json:"longestRunTime"`
		CallerWait     rgmodel.Duration `json:"callerWait"`
		// Objective is the fraction of jobs that must be answered within CallerWait.
		Objective float64 `json:"objective"`
		// Rate is the usual number of tasks per second.
		Rate float64 `json:"rate"`
		// LargestJob is the largest number of tasks in a job.
		LargestJob    int  `json:"largestJob"`
		SurvivesFlood bool `json:"survivesFlood"`
	}

	// Question is a question of the questionnaire; Name is one of the Question constants.
	Question struct {
		Name string
		Text string
	}

	// Problem describes an invalid or contradictory answer.
	Problem struct {
		Question string
		Answer   string
		Reason   string
	}

	// Problems is the error for invalid answers.
	Problems []Problem

	// Change is a setting that differs between two configurations.
	Change struct {
		Setting string
		Before  string
		After   string
		// Question is the name of the question whose answer determines the setting.
		Question string
		Reason   string
	}
)

// TeamQuestions are asked once per team.
var TeamQuestions = []Question{
	{QuestionTeam, "Name of the team?"},
	{QuestionWindow, "How long may a client resubmit a job it believes lost (30s to 10m)?"},
	{QuestionSustained, "How many tasks a second may the team start in the long run?"},
	{QuestionBurst, "How many tasks may it start at once above that?"},
}

// KindQuestions are asked once per kind of work.
var KindQuestions = []Question{
	{QuestionKind, "Name of the kind of work?"},
	{QuestionIdempotent, "May a task of it run twice without harm (true, false)?"},
	{QuestionUrgency, "How urgent is it (low, normal, high)?"},
	{QuestionUsualRunTime, "How long does a task usually run (such as 120ms)?"},
	{QuestionLongestRunTime, "How long does a task run at the longest?"},
	{QuestionCallerWait, "How long does a caller wait for the answer of a job (at most 30s)?"},
	{QuestionObjective, "What share of jobs must be answered in that time (such as 0.99)?"},
	{QuestionRate, "How many tasks of it start a second, usually?"},
	{QuestionLargestJob, "How many tasks has the largest job?"},
	{QuestionSurvivesFlood, "Must it keep running while other work floods in (true, false)?"},
}

var urgencies = map[string]rgmodel.Urgency{
	"low":    rgmodel.UrgencyLow,
	"normal": rgmodel.UrgencyNormal,
	"high":   rgmodel.UrgencyHigh,
}

// Error returns a line with the question, the answer and the reason.
func (prb Problem) Error() string {
	return fmt.Sprintf("question %q: answer %s: %s", prb.Question, prb.Answer, prb.Reason)
}

// Error returns one line for each problem.
func (prs Problems) Error() string {
	lns := make([]string, len(prs))
	for i, prb := range prs {
		lns[i] = prb.Error()
	}
	return strings.Join(lns, "\n")
}

func kindPath(kind, name string) string {
	return QuestionKinds + "/" + kind + "/" + name
}

func within(dur rgmodel.Duration, low, high time.Duration) bool {
	return dur.Duration >= low && dur.Duration <= high
}
