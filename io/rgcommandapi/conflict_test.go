package rgcommandapi

import (
	"encoding/json"
	"testing"

	"github.com/google/uuid"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

// TestConflictingResubmission guards against "not run" for an id whose tasks have run, when the body of a resubmission differs:
// a different digest does not prove that the tasks are different ones.
func TestConflictingResubmission(t *testing.T) {
	const head = `{"team":"kitapDostu","kind":"signUps","deadline":"5s",`
	tests := map[string]string{
		"default urgency spelled out": `"urgency":"normal","tasks":[{"seat":1}]`,
		"payload with a space":        `"tasks":[{"seat": 1}]`,
		"another payload":             `"tasks":[{"seat":2}]`,
	}
	sys := startSystem(t)
	for name, members := range tests {
		t.Run(name, func(t *testing.T) {
			id := `,"submissionId":"` + uuid.Must(uuid.NewV7()).String() + `"}`
			if status, raw := sys.call(t, "POST /v1/jobs", head+`"tasks":[{"seat":1}]`+id); status != 200 {
				t.Fatalf("status %d, body %s", status, raw)
			}
			status, raw := sys.call(t, "POST /v1/jobs", head+members+id)
			var ans rgapi.JobAnswer
			if err := json.Unmarshal(raw, &ans); err != nil {
				t.Fatalf("body %s: %v", raw, err)
			}
			if status != 409 || len(ans.Tasks) != 1 || ans.Tasks[0].Verdict != rgmodel.MayHaveRun {
				t.Errorf("status %d, body %s; want 409 and mayHaveRun", status, raw)
			}
		})
	}
}
