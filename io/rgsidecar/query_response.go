package rgsidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
)

// noResponseOutcome returns the outcome of a request without a response. Only a request that never got a connection is
// certain not to have run.
func noResponseOutcome(ctx context.Context, connected bool, err error) rgmodel.Outcome {
	out := rgmodel.Outcome{Reason: rgmodel.ReasonConnectionLost, Detail: err.Error()}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Reason = rgmodel.ReasonUpstreamTimeout
	case ctx.Err() != nil:
		out.Reason = rgmodel.ReasonCancelled
	case !connected:
		out.Reason = rgmodel.ReasonUpstreamUnreachable
	}
	if !connected {
		out.Verdict = rgmodel.NotRun
	}
	return out
}

// readResponse returns the outcome for a response of the upstream.
func (pro *Process) readResponse(ctx context.Context, rsp *http.Response) rgmodel.Outcome {
	raw, err := io.ReadAll(io.LimitReader(rsp.Body, pro.settings.MaxResponseBytes+1))
	switch {
	case err != nil:
		out := noResponseOutcome(ctx, true, err)
		if out.Reason == rgmodel.ReasonConnectionLost {
			out.Reason = rgmodel.ReasonAnswerTruncated
		}
		return out
	case int64(len(raw)) > pro.settings.MaxResponseBytes:
		return rgmodel.Outcome{Reason: rgmodel.ReasonAnswerTooLarge, Detail: fmt.Sprintf("over %d bytes", pro.settings.MaxResponseBytes)}
	case rsp.StatusCode >= http.StatusBadRequest && rsp.StatusCode < http.StatusInternalServerError:
		return rgmodel.Outcome{Verdict: rgmodel.RanFailed, Reason: rgmodel.ReasonUpstreamRefused, Detail: rsp.Status}
	case rsp.StatusCode < http.StatusOK || rsp.StatusCode >= http.StatusMultipleChoices:
		return rgmodel.Outcome{Verdict: rgmodel.RanFailed, Reason: rgmodel.ReasonUpstreamStatus, Detail: rsp.Status}
	case len(raw) > 0 && !json.Valid(raw):
		return rgmodel.Outcome{Verdict: rgmodel.RanFailed, Reason: rgmodel.ReasonUpstreamStatus, Detail: "answer is not JSON"}
	default:
		return rgmodel.Outcome{Verdict: rgmodel.RanOK, Result: raw}
	}
}
