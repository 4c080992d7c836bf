package rgproof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

type (
	// attempt is one submission by a caller, of a job with the given number of tasks. The answer is valid if err is nil.
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

	// taskStart is the start of a task, recorded by the upstream.
	taskStart struct {
		id       rgmodel.SubmissionID
		index    int
		body     string
		upstream string
		at       time.Time
	}

	// payload is sent in each task and must be echoed in its result.
	payload struct {
		Body  string `json:"body"`
		Index int    `json:"index"`
	}

	taskID struct {
		id    rgmodel.SubmissionID
		index int
	}

	// taskOperation is the input of an operation on one task: a start, or else the verdict of an answer.
	taskOperation struct {
		started bool
		verdict rgmodel.Verdict
	}
)

// startOnceModel models a task as a register that is set at most once, by the start. The verdict notRun must be
// linearized while the register is not set, and a verdict that the task has run while it is set.
var startOnceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		set, op := state.(bool), input.(taskOperation)
		switch {
		case op.started:
			return !set, true
		case op.verdict == rgmodel.NotRun:
			return !set, set
		case op.verdict == rgmodel.MayHaveRun:
			return true, set
		default:
			return set, set
		}
	},
}

// findViolations returns the violations of invariants 1 to 5 in a history.
func findViolations(atts []attempt, starts []taskStart) []string {
	var found []string
	byTask := map[taskID][]taskStart{}
	for _, stt := range starts {
		byTask[taskID{stt.id, stt.index}] = append(byTask[taskID{stt.id, stt.index}], stt)
	}
	for key, stts := range byTask {
		if len(stts) > 1 {
			found = append(found, fmt.Sprintf("invariant 1: task %v started %d times: %+v", key, len(stts), stts))
		}
	}
	verdictOps := map[taskID][]porcupine.Operation{}
	byID := map[rgmodel.SubmissionID][]attempt{}
	for _, att := range atts {
		byID[att.id] = append(byID[att.id], att)
		if att.err != nil {
			continue
		}
		found = append(found, checkAnswer(att)...)
		for idx := range att.tasks {
			key := taskID{att.id, idx}
			vd := verdict(att, idx)
			if att.status == http.StatusConflict || vd == rgmodel.MayHaveRun {
				continue
			}
			verdictOps[key] = append(verdictOps[key], porcupine.Operation{
				Input: taskOperation{verdict: vd}, Call: att.began.UnixNano(), Return: att.ended.UnixNano(),
			})
		}
	}
	found = append(found, checkStarts(byID, byTask)...)
	for key, ops := range verdictOps {
		for _, stt := range byTask[key] {
			at := stt.at.UnixNano()
			ops = append(ops, porcupine.Operation{Input: taskOperation{started: true}, Call: at, Return: at})
		}
		for i := range ops {
			ops[i].ClientId = i
		}
		if !porcupine.CheckOperations(startOnceModel, ops) {
			found = append(found, fmt.Sprintf(
				"invariants 1, 4: task %v: no linearization of starts and verdicts exists: starts %+v, answers %s",
				key, byTask[key], formatAttempts(byID[key.id], key.index)))
		}
	}
	return found
}

// checkAnswer checks that an answer is complete or failed, never partial, and has the results of its own tasks.
func checkAnswer(att attempt) []string {
	var found []string
	ans := att.answer
	fail := func(format string, args ...any) {
		found = append(found, fmt.Sprintf("invariants 2, 3: %s: ", att.id)+fmt.Sprintf(format, args...))
	}
	if ans.SubmissionID != att.id {
		fail("answer has id %q", ans.SubmissionID)
	}
	switch ans.Status {
	case "complete":
		if len(ans.Results) != att.tasks || len(ans.Tasks) != 0 || att.status != http.StatusOK {
			fail("complete with %d results and %d failures of %d tasks, status %d", len(ans.Results), len(ans.Tasks), att.tasks, att.status)
			return found
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
			return found
		}
		for i, tsk := range ans.Tasks {
			if tsk.Index != i {
				fail("verdict %d is of task %d", i, tsk.Index)
			}
		}
	default:
		fail("status %q", ans.Status)
	}
	return found
}

// checkStarts checks that each start belongs to an earlier attempt with the same body that did not conflict, and that was
// pending or had an answer other than notRun when the task started.
func checkStarts(byID map[rgmodel.SubmissionID][]attempt, byTask map[taskID][]taskStart) []string {
	var found []string
	for key, stts := range byTask {
		for _, stt := range stts {
			possible := false
			for _, att := range byID[key.id] {
				possiblyActive := att.err != nil || !att.ended.Before(stt.at) || verdict(att, key.index) != rgmodel.NotRun
				possible = possible || (att.body == stt.body && att.status != http.StatusConflict &&
					possiblyActive && att.began.Before(stt.at))
			}
			if !possible {
				found = append(found, fmt.Sprintf("invariant 4: task %v started at %s, but no attempt was active: %s",
					key, stt.at.Format(time.StampMicro), formatAttempts(byID[key.id], key.index)))
			}
		}
	}
	return found
}

// verdict returns the verdict of an answer on the task, or MayHaveRun if the answer has none.
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

// formatAttempts describes the attempts, one per line, with the verdict and the reason for the task.
func formatAttempts(atts []attempt, idx int) string {
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

// checkHistory fails the test if the history violates invariants 1 to 5, and logs the numbers of attempts and starts.
func (sys *system) checkHistory() {
	sys.t.Helper()
	sys.mutex.Lock()
	found := findViolations(sys.attempts, sys.starts)
	byStatus := map[string]int{}
	for _, att := range sys.attempts {
		byStatus[strconv.Itoa(att.status)]++
	}
	sys.t.Logf("%d attempts by status %v, %d starts", len(sys.attempts), byStatus, len(sys.starts))
	sys.mutex.Unlock()
	for _, txt := range found[:min(len(found), 5)] {
		sys.t.Error(txt)
	}
	if len(found) > 0 {
		sys.t.Errorf("%d violations\n%s", len(found), sys.logs())
	}
}

func (sys *system) countAttempts() int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	return len(sys.attempts)
}

// startCount returns the number of task starts of a submission.
func (sys *system) startCount(id rgmodel.SubmissionID) int {
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sum := 0
	for _, stt := range sys.starts {
		if stt.id == id {
			sum++
		}
	}
	return sum
}
