package rgconfig

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"ragwortgap/core/rgmodel"
)

// Check returns a problem for each invalid or contradictory answer, in the order of the questions.
func Check(ans Answers) Problems {
	var prs Problems
	add := func(bad bool, name string, val any, reason string) {
		if bad {
			prs = append(prs, Problem{Question: name, Answer: formatAnswer(val), Reason: reason})
		}
	}
	add(!validName(ans.Team), QuestionTeam, ans.Team, nameReason)
	add(!within(ans.ResubmissionWindow, MinResubmissionWindow, rgmodel.MaxResubmissionWindow), QuestionWindow, ans.ResubmissionWindow,
		fmt.Sprintf("need %s to %s", MinResubmissionWindow, rgmodel.MaxResubmissionWindow))
	add(!isPositive(ans.Quota.Sustained), QuestionSustained, ans.Quota.Sustained, "need more than 0 tasks per second")
	add(!isPositive(ans.Quota.Burst), QuestionBurst, ans.Quota.Burst, "need more than 0 tasks")
	add(len(ans.Kinds) == 0 || len(ans.Kinds) > MaxKinds, QuestionKinds, len(ans.Kinds), fmt.Sprintf("need 1 to %d kinds", MaxKinds))
	seen := map[string]bool{}
	rate := 0.0
	for i, ka := range ans.Kinds {
		add(seen[ka.Kind], kindPath(ka.Kind, QuestionKind), ka.Kind, "another kind has the same name")
		seen[ka.Kind] = true
		rate += ka.Rate
		add(ka.LargestJob <= rgmodel.MaxTasks && isPositive(ans.Quota.Burst) && float64(ka.LargestJob) > ans.Quota.Burst,
			QuestionBurst, ans.Quota.Burst, fmt.Sprintf("below one job: the largest job of %q has %d tasks", ka.Kind, ka.LargestJob))
		prs = append(prs, checkKind(i, ka)...)
	}
	add(isPositive(ans.Quota.Sustained) && rate > ans.Quota.Sustained, QuestionSustained, ans.Quota.Sustained,
		fmt.Sprintf("below the usual rates of the kinds, which are %g tasks per second in all", rate))
	add(len(ans.Kinds) > 1 && allSurviveFlood(ans.Kinds), QuestionKinds+"/*/"+QuestionSurvivesFlood, true,
		"other kinds can be protected from a flood only if at least one kind need not survive it")
	return prs
}

const nameReason = "need a name of 1 to 64 bytes without spaces, slashes and control characters"

func checkKind(num int, ka KindAnswers) Problems {
	var prs Problems
	kind := ka.Kind
	if !validName(kind) {
		kind = strconv.Itoa(num)
	}
	add := func(bad bool, name string, val any, reason string) {
		if bad {
			prs = append(prs, Problem{Question: kindPath(kind, name), Answer: formatAnswer(val), Reason: reason})
		}
	}
	_, known := urgencies[ka.Urgency]
	add(!validName(ka.Kind), QuestionKind, ka.Kind, nameReason)
	add(!known, QuestionUrgency, ka.Urgency, "need low, normal or high")
	add(ka.UsualRunTime.Duration <= 0, QuestionUsualRunTime, ka.UsualRunTime, "need more than 0s")
	add(ka.LongestRunTime.Duration < ka.UsualRunTime.Duration, QuestionLongestRunTime, ka.LongestRunTime,
		"shorter than the usual run time of "+ka.UsualRunTime.String())
	add(ka.LongestRunTime.Duration > rgmodel.MaxDeadline, QuestionLongestRunTime, ka.LongestRunTime,
		"above the maximum deadline of "+rgmodel.MaxDeadline.String())
	add(ka.CallerWait.Duration < ka.UsualRunTime.Duration, QuestionCallerWait, ka.CallerWait,
		"the caller waits less than the usual run time of "+ka.UsualRunTime.String())
	add(ka.CallerWait.Duration > rgmodel.MaxDeadline, QuestionCallerWait, ka.CallerWait,
		"above the maximum deadline of "+rgmodel.MaxDeadline.String())
	add(!(ka.Objective > 0 && ka.Objective < 1), QuestionObjective, ka.Objective, "need a share above 0 and below 1")
	add(!(ka.Rate >= 0) || math.IsInf(ka.Rate, 0), QuestionRate, ka.Rate, "need 0 or more tasks per second")
	add(ka.LargestJob < 1 || ka.LargestJob > rgmodel.MaxTasks, QuestionLargestJob, ka.LargestJob,
		fmt.Sprintf("need 1 to %d tasks", rgmodel.MaxTasks))
	return prs
}

func allSurviveFlood(kas []KindAnswers) bool {
	for _, ka := range kas {
		if !ka.SurvivesFlood {
			return false
		}
	}
	return true
}

func isPositive(val float64) bool {
	return val > 0 && !math.IsInf(val, 0)
}

func validName(name string) bool {
	bad := func(chr rune) bool { return chr <= ' ' || chr == '/' || chr == '\x7f' }
	return name != "" && len(name) <= MaxNameBytes && !strings.ContainsFunc(name, bad)
}

func formatAnswer(val any) string {
	if txt, ok := val.(string); ok {
		return strconv.Quote(txt)
	}
	return fmt.Sprint(val)
}

// CheckConfig returns a problem for each invalid setting of a configuration that was not generated from answers.
func CheckConfig(tc rgmodel.TeamConfig) Problems {
	ans := Answers{Team: tc.Team, ResubmissionWindow: tc.ResubmissionWindow, Quota: tc.Quota}
	var prs Problems
	checkWeight := func(name string, wgt int) {
		if wgt < WeightLow || wgt > WeightSurvivesFlood {
			prs = append(prs, Problem{
				Question: name, Answer: formatAnswer(wgt), Reason: fmt.Sprintf("need %d to %d", WeightLow, WeightSurvivesFlood),
			})
		}
	}
	checkWeight("weight", tc.Weight)
	for _, kc := range tc.Kinds {
		checkWeight(kindPath(kc.Kind, "weight"), kc.Weight)
		ans.Kinds = append(ans.Kinds, KindAnswers{
			Kind: kc.Kind, Idempotent: kc.Idempotent, Urgency: urgencyName(kc.Urgency), UsualRunTime: kc.UsualRunTime,
			LongestRunTime: kc.LongestRunTime, CallerWait: kc.CallerWait, Objective: kc.Objective, LargestJob: 1,
		})
	}
	return append(prs, Check(ans)...)
}

func urgencyName(urg rgmodel.Urgency) string {
	for name, val := range urgencies {
		if val == urg {
			return name
		}
	}
	return strconv.Itoa(int(urg))
}
