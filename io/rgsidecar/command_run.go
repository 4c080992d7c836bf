package rgsidecar

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

const (
	// headerSubmission and headerIndex identify the task to the upstream, which may echo them in its response.
	headerSubmission = "Submission-ID"
	headerIndex      = "Task-Index"
	headerTeam       = "Team"
	headerRemaining  = "Remaining-Time"
)

// runTask forwards one task to the upstream and sends the outcome to the control goroutine.
func (pro *Process) runTask(ctx, workCtx context.Context, stt rgqueue.StartedTask) {
	began := time.Now()
	out := pro.forwardTask(ctx, stt)
	out.Index = stt.Task.Index
	pro.mailbox.Send(workCtx, TaskFinished{Task: stt, Outcome: out, Took: time.Since(began)})
}

// forwardTask sends the request exactly once. It never retries, whatever happens to the connection.
func (pro *Process) forwardTask(ctx context.Context, stt rgqueue.StartedTask) rgmodel.Outcome {
	var connected, reused atomic.Bool
	trc := &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(inf.Reused)
	}}
	target := pro.settings.Upstream + "/tasks/" + url.PathEscape(stt.Flow.Kind)
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trc), http.MethodPost, target, bytes.NewReader(stt.Task.Payload))
	if err != nil {
		return rgmodel.Outcome{Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonUpstreamUnreachable, Detail: err.Error()}
	}
	// Without GetBody, net/http cannot resend the request on another connection.
	req.GetBody = nil
	req.Close = !pro.echoesTask.Load()
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerSubmission, string(stt.ID))
	req.Header.Set(headerIndex, strconv.Itoa(stt.Task.Index))
	req.Header.Set(headerTeam, stt.Flow.Team)
	req.Header.Set(headerRemaining, time.Until(stt.Deadline).String())
	rsp, err := pro.upstream.Do(req)
	if err != nil {
		return noResponseOutcome(ctx, connected.Load(), err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if pro.isMismatch(rsp.Header, stt, reused.Load()) {
		// The body is left unread, so that net/http closes the connection.
		return rgmodel.Outcome{Reason: rgmodel.ReasonAnswerMismatch, Detail: "answer does not name the task"}
	}
	return pro.readResponse(ctx, rsp)
}

// isMismatch reports whether the response may belong to another task: it names another one, or it names none and arrived on
// a reused connection.
func (pro *Process) isMismatch(hdr http.Header, stt rgqueue.StartedTask, reused bool) bool {
	id, idx := hdr.Get(headerSubmission), hdr.Get(headerIndex)
	named := id != "" && idx != ""
	pro.echoesTask.Store(named)
	if named || !reused {
		return (id != "" && id != string(stt.ID)) || (idx != "" && idx != strconv.Itoa(stt.Task.Index))
	}
	return true
}
