// Package rgapi defines the JSON bodies of the HTTP routes and converts them from and to the types of rgmodel.
package rgapi

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"ragwortgap/core/rgmodel"
)

const (
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes = 8 << 20
	// MaxPayloadBytes is the size limit of the payload of a task.
	MaxPayloadBytes = 64 << 10
	// MaxNameBytes is the length limit of the names of teams and kinds.
	MaxNameBytes = 64
	// MaxDeadline is the longest deadline that a job may set.
	MaxDeadline = rgmodel.MaxDeadline

	nameRule = "need 1 to 64 bytes without spaces, slashes and control characters"
	idRule   = "need a UUIDv7 in lower case"

	// fieldSubmissionID is the name of the field for the id that a caller chooses.
	fieldSubmissionID = "submissionId"

	statusComplete = "complete"
	statusFailed   = "failed"
	statusRunning  = "running"
)

type (
	// JobRequest is the body of a submission.
	JobRequest struct {
		SubmissionID string            `json:"submissionId"`
		Team         string            `json:"team"`
		Kind         string            `json:"kind"`
		Urgency      string            `json:"urgency"`
		Deadline     rgmodel.Duration  `json:"deadline"`
		RunTime      rgmodel.Duration  `json:"runTime"`
		Requires     rgmodel.Resources `json:"requires"`
		Tasks        TaskValues        `json:"tasks"`
	}

	// JobAnswer is the body of the response to a job. Results is set if the status is complete, Tasks if it is failed.
	JobAnswer struct {
		SubmissionID rgmodel.SubmissionID `json:"submissionId"`
		Status       string               `json:"status"`
		Results      []rgmodel.Payload    `json:"results,omitempty"`
		Tasks        []TaskOutcome        `json:"tasks,omitempty"`
	}

	// TaskOutcome is the outcome of one task of a failed job. The task itself may have succeeded.
	TaskOutcome struct {
		Index   int             `json:"index"`
		Verdict rgmodel.Verdict `json:"verdict"`
		Reason  rgmodel.Reason  `json:"reason,omitempty"`
		Detail  string          `json:"detail,omitempty"`
	}

	// Problem is the body of an error response. Verdict says whether tasks of the submission may have run.
	Problem struct {
		Field   string          `json:"field,omitempty"`
		Value   string          `json:"value,omitempty"`
		Reason  string          `json:"reason"`
		Verdict rgmodel.Verdict `json:"verdict"`
	}
)

var urgencies = map[string]rgmodel.Urgency{
	"":       rgmodel.UrgencyNormal,
	"low":    rgmodel.UrgencyLow,
	"normal": rgmodel.UrgencyNormal,
	"high":   rgmodel.UrgencyHigh,
}

// DecodeJob parses and validates a submission. The problem is nil if the job may be submitted.
// The digest identifies a resubmission. It covers the team, the kind, the urgency and the payloads of the tasks only.
func DecodeJob(raw []byte, now time.Time) (rgmodel.Job, *Problem) {
	if len(raw) > MaxBodyBytes {
		return rgmodel.Job{}, tooLargeProblem()
	}
	var req JobRequest
	if err := json.Unmarshal(raw, &req, json.RejectUnknownMembers(true)); err != nil {
		prb := decodeProblem(raw, err)
		prb.Verdict = undecodedVerdict(raw)
		return rgmodel.Job{}, prb
	}
	if prb := checkRequest(req, now); prb != nil {
		prb.Verdict = RefusalVerdict(rgmodel.SubmissionID(req.SubmissionID), now)
		return rgmodel.Job{}, prb
	}
	return toJob(req), nil
}

// RefusalVerdict returns the verdict for a request that is refused without asking the home of its id. Only a request whose id is
// missing or has never been valid at any entry is certain not to have run: an earlier request with the id may have been accepted.
func RefusalVerdict(id rgmodel.SubmissionID, now time.Time) rgmodel.Verdict {
	created, err := id.Created()
	// The clock of another entry may be ahead by up to the limit.
	if err != nil || created.After(now.Add(2*rgmodel.ClockSkewLimit)) {
		return rgmodel.NotRun
	}
	return rgmodel.MayHaveRun
}

// undecodedVerdict returns the verdict for a request that cannot be decoded. It may be a resubmission if it names an id.
func undecodedVerdict(raw []byte) rgmodel.Verdict {
	if bytes.Contains(raw, []byte(fieldSubmissionID)) {
		return rgmodel.MayHaveRun
	}
	return rgmodel.NotRun
}

func toJob(req JobRequest) rgmodel.Job {
	jb := rgmodel.Job{
		ID:       rgmodel.SubmissionID(req.SubmissionID),
		Flow:     rgmodel.Flow{Team: req.Team, Kind: req.Kind},
		Urgency:  urgencies[req.Urgency],
		Deadline: req.Deadline,
		RunTime:  req.RunTime,
		Requires: req.Requires,
		Tasks:    make([]rgmodel.Task, len(req.Tasks)),
	}
	dig := xxhash.New()
	for _, txt := range []string{req.Team, req.Kind, req.Urgency} {
		_, _ = dig.WriteString(txt + "\x00")
	}
	for i, val := range req.Tasks {
		jb.Tasks[i] = rgmodel.Task{Index: i, Payload: rgmodel.Payload(val)}
		_, _ = dig.Write(val)
		_, _ = dig.WriteString("\x00")
	}
	jb.Digest = dig.Sum64()
	return jb
}

func checkRequest(req JobRequest, now time.Time) *Problem {
	switch {
	case !validName(req.Team):
		return newProblem("team", req.Team, nameRule)
	case !validName(req.Kind):
		return newProblem("kind", req.Kind, nameRule)
	case req.Deadline.Duration <= 0 || req.Deadline.Duration > MaxDeadline:
		return newProblem("deadline", req.Deadline.String(), "need more than 0s and at most "+MaxDeadline.String())
	case len(req.Tasks) < 1 || len(req.Tasks) > rgmodel.MaxTasks:
		return newProblem("tasks", req.Tasks.describe(), "need 1 to "+strconv.Itoa(rgmodel.MaxTasks))
	case req.Requires.Cores < 0:
		return newProblem("requires/cores", strconv.FormatFloat(req.Requires.Cores, 'g', -1, 64), "need zero or more")
	case req.Requires.MemoryBytes < 0:
		return newProblem("requires/memoryBytes", strconv.FormatInt(req.Requires.MemoryBytes, 10), "need zero or more")
	case req.Requires.Accelerators < 0:
		return newProblem("requires/accelerators", strconv.Itoa(req.Requires.Accelerators), "need zero or more")
	}
	if _, ok := urgencies[req.Urgency]; !ok {
		return newProblem("urgency", req.Urgency, "need low, normal or high")
	}
	for i, val := range req.Tasks {
		if len(val) > MaxPayloadBytes {
			return newProblem("tasks/"+strconv.Itoa(i), strconv.Itoa(len(val))+" bytes", "limit is "+strconv.Itoa(MaxPayloadBytes)+" bytes")
		}
	}
	if req.SubmissionID == "" {
		return nil
	}
	return checkSubmittedID(rgmodel.SubmissionID(req.SubmissionID), now)
}

// validName reports whether the name of a team or a kind is safe in settings, store keys, headers and logs.
func validName(txt string) bool {
	return txt != "" && len(txt) <= MaxNameBytes && strings.IndexFunc(txt, func(chr rune) bool {
		return chr == '/' || unicode.IsSpace(chr) || !unicode.IsPrint(chr)
	}) < 0
}

// CheckSubmissionID checks the format of a submission id in a path. The problem is nil if the id is well formed.
func CheckSubmissionID(id rgmodel.SubmissionID) *Problem {
	if _, err := id.Created(); err != nil {
		return newProblem("id", string(id), idRule)
	}
	return nil
}

func checkSubmittedID(id rgmodel.SubmissionID, now time.Time) *Problem {
	created, err := id.Created()
	switch {
	case err != nil:
		return newProblem(fieldSubmissionID, string(id), idRule)
	case created.After(now.Add(rgmodel.ClockSkewLimit)):
		return newProblem(fieldSubmissionID, string(id), "its time is more than "+rgmodel.ClockSkewLimit.String()+" ahead")
	case created.Before(now.Add(-rgmodel.MaxResubmissionWindow)):
		win := rgmodel.MaxResubmissionWindow.String()
		return newProblem(fieldSubmissionID, string(id), "its time is older than the resubmission window of "+win)
	default:
		return nil
	}
}

// RunningAnswer returns the body of the response for a job without a final answer.
func RunningAnswer(id rgmodel.SubmissionID) JobAnswer {
	return JobAnswer{SubmissionID: id, Status: statusRunning}
}

// EncodeAnswer returns the HTTP status and the body of the response for a final answer.
func EncodeAnswer(ans rgmodel.Answer) (int, JobAnswer) {
	body := JobAnswer{SubmissionID: ans.ID}
	if ans.Complete() {
		body.Status = statusComplete
		for _, out := range ans.Outcomes {
			body.Results = append(body.Results, out.Result)
		}
		return http.StatusOK, body
	}
	body.Status = statusFailed
	for _, out := range ans.Outcomes {
		body.Tasks = append(body.Tasks, TaskOutcome{Index: out.Index, Verdict: out.Verdict, Reason: out.Reason, Detail: out.Detail})
	}
	return failureStatus(ans), body
}

// failureStatus returns the HTTP status for the first task that did not succeed.
func failureStatus(ans rgmodel.Answer) int {
	for _, out := range ans.Outcomes {
		if out.Verdict == rgmodel.RanOK && out.Reason != rgmodel.ReasonResultDropped {
			continue
		}
		switch out.Reason {
		case rgmodel.ReasonResultDropped:
			return http.StatusGone
		case rgmodel.ReasonDigestMismatch:
			return http.StatusConflict
		case rgmodel.ReasonNeverRunnable, rgmodel.ReasonAboveBurst:
			return http.StatusUnprocessableEntity
		case rgmodel.ReasonQuota:
			return http.StatusTooManyRequests
		case rgmodel.ReasonExpired, rgmodel.ReasonDeadlineExceeded, rgmodel.ReasonUpstreamTimeout:
			return http.StatusGatewayTimeout
		case rgmodel.ReasonExpectedWait, rgmodel.ReasonNoUpstream, rgmodel.ReasonQueueFull, rgmodel.ReasonDraining,
			rgmodel.ReasonNotReady, rgmodel.ReasonRetryBudget:
			return http.StatusServiceUnavailable
		default:
			return http.StatusBadGateway
		}
	}
	return http.StatusBadGateway
}

// WriteJSON sends a body with a status. Write errors are ignored, because a caller that has disconnected needs no response.
func WriteJSON(rsp http.ResponseWriter, status int, body any) {
	rsp.Header().Set("Content-Type", "application/json")
	rsp.WriteHeader(status)
	_ = json.MarshalWrite(rsp, body)
}
