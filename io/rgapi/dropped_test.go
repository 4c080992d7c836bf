package rgapi_test

import (
	"net/http"
	"testing"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

// TestEncodeAnswerDroppedResult guards against a response with part of the results, or one that reports tasks as not run,
// when a sidecar no longer has the result of a task.
func TestEncodeAnswerDroppedResult(t *testing.T) {
	kept := rgmodel.Outcome{Verdict: rgmodel.RanOK, Result: rgmodel.Payload(`1`)}
	tests := map[string]struct {
		second      rgmodel.Outcome
		wantStatus  int
		wantResults int
		wantTasks   int
	}{
		"all results kept": {
			second: rgmodel.Outcome{Index: 1, Verdict: rgmodel.RanOK}, wantStatus: http.StatusOK, wantResults: 2,
		},
		"one result dropped": {
			second:     rgmodel.Outcome{Index: 1, Verdict: rgmodel.RanOK, Reason: rgmodel.ReasonResultDropped},
			wantStatus: http.StatusGone, wantTasks: 2,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			status, body := rgapi.EncodeAnswer(rgmodel.Answer{Outcomes: []rgmodel.Outcome{kept, tc.second}})
			if status != tc.wantStatus || len(body.Results) != tc.wantResults || len(body.Tasks) != tc.wantTasks {
				t.Errorf("status %d with %d results and %d tasks, want %d, %d and %d",
					status, len(body.Results), len(body.Tasks), tc.wantStatus, tc.wantResults, tc.wantTasks)
			}
		})
	}
}
