// Package rgconfig holds the questionnaire, the configuration that is generated from its answers, and the rule by
// which every process merges configurations.
package rgconfig

import (
	"fmt"
	"strings"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// MaxNameBytes bounds the names of teams and kinds.
	MaxNameBytes = 64
	// MaxKinds keeps the value of a team far below the store's limit of 1 MB and its push to each node near 1 KB.
	MaxKinds = 16
	// MinResubmissionWindow is the shortest window: one maximum deadline, so that a job is remembered while it runs.
	MinResubmissionWindow = rgmodel.MaxDeadline
)

// Weights of a kind. A kind that must survive a flood keeps at least five times the share of one that need not, and
// urgency by itself gives no more than double, because floods of the most urgent work occur.
const (
	WeightSurvivesFlood = 10
	WeightNormal        = 2
	WeightLow           = 1
)

// Names of the questions. Those of a kind are preceded by "kinds/<kind>/".
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
		// ResubmissionWindow is how long the team may resubmit a job.
		ResubmissionWindow rgmodel.Duration `json:"resubmissionWindow"`
		// Quota is what the team may start in all.
		Quota rgmodel.Quota `json:"quota"`
		Kinds []KindAnswers `json:"kinds"`
	}

	// KindAnswers are the answers about one kind of work.
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

	// Question is one question; Name is one of the constants above.
	Question struct {
		Name string
		Text string
	}

	// Problem is a wrong or contradictory answer.
	Problem struct {
		Question string
		Answer   string
		Reason   string
	}

	// Problems is the error that wrong answers give.
	Problems []Problem

	// Change is a setting that differs between two configurations.
	Change struct {
		Setting string
		Before  string
		After   string
		// Answer is the question whose answer decides the setting.
		Answer string
		Reason string
	}
)

// TeamQuestions are asked once.
var TeamQuestions = []Question{
	{QuestionTeam, "Name of the team?"},
	{QuestionWindow, "How long may a client resubmit a job it believes lost (30s to 10m)?"},
	{QuestionSustained, "How many tasks a second may the team start in the long run?"},
	{QuestionBurst, "How many tasks may it start at once above that?"},
}

// KindQuestions are asked for each kind of work.
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

// Error returns one line that names the question, the answer and the reason.
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
