package rgqueryapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgmetrics"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
)

const (
	anyPort = "127.0.0.1:0"
	// unreachableAddress refuses connections.
	unreachableAddress = "127.0.0.1:1"
)

// startRoutes runs an entry without a store and a sidecar without an entry, and returns a router with the routes of both.
func startRoutes(t *testing.T) http.Handler {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	met := rgmetrics.New()
	entSet := rgsettings.Entry{Name: "entry0", PeerAddress: anyPort, Store: "http://" + unreachableAddress}
	ent, err := rgentry.Start(ctx, entSet, zap.NewNop(), met.Scope)
	if err != nil {
		t.Fatal(err)
	}
	sidSet := rgsettings.Sidecar{
		Name: "sidecar0", Entries: []string{unreachableAddress}, Upstream: "http://" + unreachableAddress, Slots: 1, Connections: 1,
	}
	sid, err := rgsidecar.Start(ctx, sidSet, zap.NewNop(), rgmetrics.New().Scope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-ent.Done
		<-sid.Done
		_ = met.Closer.Close()
	})
	rtr := httprouter.New()
	Routes{Entry: ent, Metrics: met.Handler}.Register(rtr)
	SidecarRoutes{Sidecar: sid}.Register(rtr)
	return rtr
}

// TestRoutes guards against routes whose status or content type differs from docs/api.md, and against reporting an entry
// outside the ring, or a sidecar without an entry, as usable to load balancers and operators.
func TestRoutes(t *testing.T) {
	tests := map[string]struct {
		path, contentType, text string
		status                  int
	}{
		"status outside the ring": {"/v1/status", "application/json", `"generation":0`, 503},
		"health without an entry": {"/health", "application/json", `"entries":0`, 503},
		"burn":                    {"/v1/burn", "application/json", `{"entry":"entry0","flows":[]}`, 200},
		"burn page":               {"/burn", "text/html", "<svg", 200},
		"metrics":                 {"/metrics", "text/plain", "go_goroutines", 200},
		"malformed id":            {"/v1/jobs/x", "application/json", `"field":"id","value":"x"`, 400},
		"unknown id":              {"/v1/jobs/" + uuid.Must(uuid.NewV7()).String(), "application/json", "no such job", 404},
	}
	hdl := startRoutes(t)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			hdl.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, tc.path, nil))
			if rec.Code != tc.status || !strings.HasPrefix(rec.Header().Get("Content-Type"), tc.contentType) {
				t.Errorf("status %d, type %q; want %d, %q", rec.Code, rec.Header().Get("Content-Type"), tc.status, tc.contentType)
			}
			if !strings.Contains(rec.Body.String(), tc.text) {
				t.Errorf("body lacks %q: %.300s", tc.text, rec.Body.String())
			}
		})
	}
}
