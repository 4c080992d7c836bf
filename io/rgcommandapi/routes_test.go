package rgcommandapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgstandin"
)

const (
	anyPort      = "127.0.0.1:0"
	readyTimeout = 20 * time.Second
)

// system is an entry with one sidecar and its upstream.
type system struct {
	url     string
	starts  *rgstandin.StartLog
	metrics tally.TestScope
}

func startSystem(t *testing.T) system {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	sys := system{starts: &rgstandin.StartLog{}, metrics: tally.NewTestScope("", nil)}
	store := httptest.NewServer(&rgstandin.Store{})
	upstream := httptest.NewServer(&rgstandin.Upstream{Log: sys.starts})
	entSet := rgsettings.Entry{Name: "entry0", AvailabilityZone: "zone0", CallerAddress: anyPort, PeerAddress: anyPort, Store: store.URL}
	if err := rgsettings.CheckEntry(&entSet); err != nil {
		t.Fatal(err)
	}
	ent, err := rgentry.Start(ctx, entSet, zap.NewNop(), sys.metrics)
	if err != nil {
		t.Fatal(err)
	}
	sidSet := rgsettings.Sidecar{
		Name: "sidecar0", AvailabilityZone: "zone0", Entries: []string{ent.Self().Address}, Upstream: upstream.URL,
		Slots: 4, Connections: 8,
	}
	if err := rgsettings.CheckSidecar(&sidSet); err != nil {
		t.Fatal(err)
	}
	sid, err := rgsidecar.Start(ctx, sidSet, zap.NewNop(), sys.metrics)
	if err != nil {
		t.Fatal(err)
	}
	rtr := httprouter.New()
	Routes{Entry: ent}.Register(rtr)
	srv := httptest.NewServer(rtr)
	sys.url = srv.URL
	t.Cleanup(func() {
		stop()
		<-ent.Done
		<-sid.Done
		srv.Close()
		upstream.Close()
		store.CloseClientConnections()
		store.Close()
	})
	awaitSidecar(t, ent)
	return sys
}

func awaitSidecar(t *testing.T, ent *rgentry.Process) {
	t.Helper()
	timeout := time.After(readyTimeout)
	tic := time.NewTicker(10 * time.Millisecond)
	defer tic.Stop()
	for ent.View().UsableSidecars == 0 {
		select {
		case <-tic.C:
		case <-timeout:
			t.Fatal("the sidecar is not usable")
		}
	}
}

func (sys system) call(t *testing.T, target, body string) (int, []byte) {
	t.Helper()
	method, path, _ := strings.Cut(target, " ")
	req, err := http.NewRequestWithContext(t.Context(), method, sys.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return rsp.StatusCode, raw
}

// TestRoutes guards against malformed requests that start a task, and against responses whose status or body differs from
// docs/api.md. The rules for each field are tested in rgapi.
func TestRoutes(t *testing.T) {
	const submit, notRun, mayHaveRun = "POST /v1/jobs", rgmodel.NotRun, rgmodel.MayHaveRun
	const head = `{"team":"kitapDostu","kind":"signUps","deadline":"5s",`
	const withID = head + `"tasks":[1],"submissionId":"`
	const aheadID, oldID = "ffffffff-ffff-7000-8000-000000000001", "00000000-0000-7000-8000-000000000001"
	id := uuid.Must(uuid.NewV7()).String()
	tests := map[string]struct {
		target, body string
		status       int
		field, value string
		started      int
		verdict      rgmodel.Verdict
	}{
		"malformed":                {submit, `{"team"`, 400, "team", "", 0, notRun},
		"oversized":                {submit, strings.Repeat(" ", rgapi.MaxBodyBytes+1), 400, "body", "8388609 bytes", 0, mayHaveRun},
		"duplicate field":          {submit, head + `"kind":"other","tasks":[1]}`, 400, "kind", `"other"`, 0, notRun},
		"unknown field":            {submit, head + `"prio":1,"tasks":[1]}`, 400, "prio", "1", 0, notRun},
		"wrong urgency":            {submit, head + `"urgency":"now","tasks":[1]}`, 400, "urgency", "now", 0, notRun},
		"long deadline":            {submit, `{"team":"a","kind":"b","deadline":"31s","tasks":[1]}`, 400, "deadline", "31s", 0, notRun},
		"0 tasks":                  {submit, head + `"tasks":[]}`, 400, "tasks", "0 tasks", 0, notRun},
		"361 tasks":                {submit, head + `"tasks":[1` + strings.Repeat(",1", 360) + `]}`, 400, "tasks", "361 tasks", 0, notRun},
		"not a UUIDv7":             {submit, head + `"submissionId":"x","tasks":[1]}`, 400, "submissionId", "x", 0, notRun},
		"id ahead of the clock":    {submit, withID + aheadID + `"}`, 400, "submissionId", aheadID, 0, notRun},
		"id too old":               {submit, withID + oldID + `"}`, 400, "submissionId", oldID, 0, rgmodel.MayHaveRun},
		"never runnable":           {submit, head + `"requires":{"cores":1},"tasks":[1]}`, 422, "", "", 0, notRun},
		"valid job":                {submit, head + `"submissionId":"` + id + `","tasks":[1,2,3]}`, 200, "", "", 3, notRun},
		"cancel of an unknown job": {"DELETE /v1/jobs/" + uuid.Must(uuid.NewV7()).String(), "", 404, "id", "", 0, rgmodel.MayHaveRun},
		"cancel of a malformed id": {"DELETE /v1/jobs/x", "", 400, "id", "x", 0, notRun},
	}
	sys := startSystem(t)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			before := len(sys.starts.All())
			status, raw := sys.call(t, tc.target, tc.body)
			if status != tc.status {
				t.Errorf("status %d, want %d; body %s", status, tc.status, raw)
			}
			if got := len(sys.starts.All()) - before; got != tc.started {
				t.Errorf("%d tasks started, want %d", got, tc.started)
			}
			if tc.field == "" {
				return
			}
			var prb rgapi.Problem
			if err := json.Unmarshal(raw, &prb); err != nil {
				t.Fatalf("body %s: %v", raw, err)
			}
			if prb.Field != tc.field || !strings.HasPrefix(prb.Value, tc.value) || prb.Reason == "" || prb.Verdict != tc.verdict {
				t.Errorf("got %+v, want field %q, value %q, a reason and %v", prb, tc.field, tc.value, tc.verdict)
			}
		})
	}
	var malformed int64
	for _, cnt := range sys.metrics.Snapshot().Counters() {
		if cnt.Name() == "requestsMalformed" {
			malformed += cnt.Value()
		}
	}
	if malformed != 12 {
		t.Errorf("%d malformed requests counted, want 12", malformed)
	}
}
