package rgcommandapi

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgtls"
)

// TestTeamKeys guards against running jobs without a key of their team, against responses that contain a key, and against "not
// run" for an id under which a job may have run, for instance with a key that has been replaced since.
func TestTeamKeys(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	file := []byte(`{"kitapDostu":["sha256:` + hex.EncodeToString(sum[:]) + `"]}`)
	keys, err := rgtls.OpenKeys("keys", func(string) ([]byte, error) { return file, nil })
	if err != nil {
		t.Fatal(err)
	}
	set := rgsettings.Entry{Name: "entry0", PeerAddress: anyPort, Store: "http://127.0.0.1:1"}
	ent, err := rgentry.Start(t.Context(), set, zap.NewNop(), tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { <-ent.Done })
	rtr := httprouter.New()
	Routes{Entry: ent, Keys: keys}.Register(rtr)
	withID := `,"submissionId":"` + uuid.Must(uuid.NewV7()).String() + `"`
	tests := map[string]struct {
		team, header, members string
		status                int
		verdict               string
	}{
		"no key":                {"kitapDostu", "", "", 401, "notRun"},
		"wrong key":             {"kitapDostu", "Bearer wrong", "", 403, "notRun"},
		"another team's key":    {"zelenaSkola", "Bearer secret", "", 403, "notRun"},
		"no key, with an id":    {"kitapDostu", "", withID, 401, "mayHaveRun"},
		"wrong key, with an id": {"kitapDostu", "Bearer wrong", withID, 403, "mayHaveRun"},
		// The entry has no store and no sidecar, so it refuses a job with a valid key.
		"the team's key": {"kitapDostu", "Bearer secret", "", 503, "mayHaveRun"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			body := `{"team":"` + tc.team + `","kind":"k","deadline":"10ms","tasks":[1]` + tc.members + `}`
			req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/jobs", strings.NewReader(body))
			req.Header.Set("Authorization", tc.header)
			rec := httptest.NewRecorder()
			rtr.ServeHTTP(rec, req)
			if rec.Code != tc.status {
				t.Errorf("status %d, want %d; body %s", rec.Code, tc.status, rec.Body)
			}
			if want := `"verdict":"` + tc.verdict + `"`; !strings.Contains(rec.Body.String(), want) {
				t.Errorf("body %s, want %s", rec.Body, want)
			}
			if _, key, ok := strings.Cut(tc.header, " "); ok && strings.Contains(rec.Body.String(), key) {
				t.Errorf("body %s contains the key", rec.Body)
			}
		})
	}
}
