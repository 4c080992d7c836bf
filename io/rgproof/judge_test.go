package rgproof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

type (
	// attempt is one submission by a caller. Answer is valid if Err is nil.
	attempt struct {
		id     rgmodel.SubmissionID
		body   string
		tasks  int
		entry  int
		began  time.Time
		ended  time.Time
		status int
		answer rgapi.JobAnswer
		err    error
	}

	// start is a task start as the upstream saw it.
	start struct {
		id       rgmodel.SubmissionID
		index    int
		body     string
		upstream string
		at       time.Time
	}

	// payload is what a caller sends in each task and must get back.
	payload struct {
		Body  string `json:"body"`
		Index int    `json:"index"`
	}

	taskID struct {
		id    rgmodel.SubmissionID
		index int
	}

	// claim is what an answer says of one task, or a start if started is set.
	claim struct {
		started bool
		verdict rgmodel.Verdict
	}
)

// onceModel is a register per task that is set at most once. A notRun must take effect at a moment at which the
// register is not set, and a verdict that the task ran at one at which it is.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		set, cla := state.(bool), input.(claim)
		switch {
		case cla.started:
			return !set, true
		case cla.verdict == rgmodel.NotRun:
			return !set, set
		case cla.verdict == rgmodel.MayHaveRun:
			return true, set
		default:
			return set, set
		}
	},
}

// judge returns the violations of invariants 1 to 5 in a history.
func judge(atts []attempt, starts []start) []string {
	var bad []string
	byTask := map[taskID][]start{}
	for _, stt := range starts {
		byTask[taskID{stt.id, stt.index}] = append(byTask[taskID{stt.id, stt.index}], stt)
	}
	for key, stts := range byTask {
		if len(stts) > 1 {
			bad = append(bad, fmt.Sprintf("invariant 1: task %v started %d times: %+v", key, len(stts), stts))
		}
	}
	claims := map[taskID][]porcupine.Operation{}
	byID := map[rgmodel.SubmissionID][]attempt{}
	for _, att := range atts {
		byID[att.id] = append(byID[att.id], att)
		if att.err != nil {
			continue
		}
		bad = append(bad, checkForm(att)...)
		for idx := range att.tasks {
			key := taskID{att.id, idx}
			vd := verdict(att, idx)
			if att.status == http.StatusConflict || vd == rgmodel.MayHaveRun {
				continue
			}
			claims[key] = append(claims[key], porcupine.Operation{
				Input: claim{verdict: vd}, Call: att.began.UnixNano(), Return: att.ended.UnixNano(),
			})
		}
	}
	bad = append(bad, checkLater(byID, byTask)...)
	for key, ops := range claims {
		for _, stt := range byTask[key] {
			at := stt.at.UnixNano()
			ops = append(ops, porcupine.Operation{Input: claim{started: true}, Call: at, Return: at})
		}
		for i := range ops {
			ops[i].ClientId = i
		}
		if !porcupine.CheckOperations(onceModel, ops) {
			bad = append(bad, fmt.Sprintf("invariants 1, 4: task %v: no order of starts and verdicts is possible: starts %+v, answers %s",
				key, byTask[key], describe(byID[key.id], key.index)))
		}
	}
	return bad
}

// checkForm checks that an answer is complete or failed, never partial, and has the results of its own tasks.
func checkForm(att attempt) []string {
	var bad []string
	ans := att.answer
	fail := func(format string, args ...any) {
		bad = append(bad, fmt.Sprintf("invariants 2, 3: %s: ", att.id)+fmt.Sprintf(format, args...))
	}
	if ans.SubmissionID != att.id {
		fail("answer has the id %q", ans.SubmissionID)
	}
	switch ans.Status {
	case "complete":
		if len(ans.Results) != att.tasks || len(ans.Tasks) != 0 || att.status != http.StatusOK {
			fail("complete with %d results and %d failures of %d tasks, status %d", len(ans.Results), len(ans.Tasks), att.tasks, att.status)
			return bad
		}
		for i, raw := range ans.Results {
			var res struct {
				Task int     `json:"task"`
				Echo payload `json:"echo"`
			}
			want := payload{Body: att.body, Index: i}
			if err := json.Unmarshal(raw, &res); err != nil || res.Echo != want || res.Task != i {
				fail("result %d is %s", i, raw)
			}
		}
	case "failed":
		if len(ans.Tasks) != att.tasks || len(ans.Results) != 0 || att.status < http.StatusBadRequest {
			fail("failed with %d results and %d verdicts of %d tasks, status %d", len(ans.Results), len(ans.Tasks), att.tasks, att.status)
			return bad
		}
		for i, tsk := range ans.Tasks {
			if tsk.Index != i {
				fail("verdict %d is of task %d", i, tsk.Index)
			}
		}
	default:
		fail("status %q", ans.Status)
	}
	return bad
}

// checkLater checks that no task starts after an answer that says it was not run, unless another attempt may have
// started it, and that another body never starts anything.
func checkLater(byID map[rgmodel.SubmissionID][]attempt, byTask map[taskID][]start) []string {
	var bad []string
	for key, stts := range byTask {
		for _, stt := range stts {
			possible := false
			for _, att := range byID[key.id] {
				open := att.err != nil || !att.ended.Before(stt.at) || verdict(att, key.index) != rgmodel.NotRun
				possible = possible || (att.body == stt.body && att.status != http.StatusConflict && open && att.began.Before(stt.at))
			}
			if !possible {
				bad = append(bad, fmt.Sprintf("invariant 4: task %v started at %s by no attempt that was open: %s",
					key, stt.at.Format(time.StampMicro), describe(byID[key.id], key.index)))
			}
		}
	}
	return bad
}

func verdict(att attempt, idx int) rgmodel.Verdict {
	switch {
	case att.answer.Status == "complete":
		return rgmodel.RanOK
	case att.err == nil && idx < len(att.answer.Tasks):
		return att.answer.Tasks[idx].Verdict
	default:
		return rgmodel.MayHaveRun
	}
}

func describe(atts []attempt, idx int) string {
	var txt strings.Builder
	for _, att := range atts {
		rsn := rgmodel.Reason("")
		if idx < len(att.answer.Tasks) {
			rsn = att.answer.Tasks[idx].Reason
		}
		fmt.Fprintf(&txt, "\n\tentry%d %s to %s body %s: status %d, %s %s, error %v", att.entry, att.began.Format(time.StampMicro),
			att.ended.Format(time.StampMicro), att.body, att.status, verdict(att, idx), rsn, att.err)
	}
	return txt.String()
}
