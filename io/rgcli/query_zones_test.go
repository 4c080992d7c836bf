package rgcli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestZonesQuery guards against an evacuation that seems complete although an entry does not know it, a sidecar has not confirmed it, or an
// entry does not answer, and against a sidecar that is counted once for each entry.
func TestZonesQuery(t *testing.T) {
	const (
		none = `{"entry":"e0","version":9,"zones":[]}`
		full = `{"entry":"e1","version":9,"zones":[{"zone":{"name":"a","keyVersion":5,"sinceMillis":1000},"sidecars":[` +
			`{"name":"s1","confirmed":true,"running":3,"queued":0},{"name":"s2","confirmed":false,"running":0,"queued":0}]}]}`
		other = `{"entry":"e2","version":12,"zones":[{"zone":{"name":"a","keyVersion":5,"sinceMillis":4000},"sidecars":[` +
			`{"name":"s1","confirmed":true,"running":3,"queued":0},{"name":"s3","confirmed":true,"running":1,"queued":2}]}]}`
	)
	tests := map[string]struct {
		replies  []string
		want     []string
		wantExit int
	}{
		"none": {replies: []string{none}, want: []string{"entry e0, 0 zones evacuated, store version 9"}},
		"two entries with different sidecars": {
			replies: []string{full, other},
			want: []string{
				"zone a: evacuated since 1970-01-01T00:00:01Z, key version 5, confirmed by 2 of 3 sidecars, 4 tasks running, 2 queued",
				"sidecar s1: 3 running, 0 queued", "sidecar s2: not confirmed", "sidecar s3: 1 running, 2 queued",
			},
		},
		"an entry does not know it": {replies: []string{full, none}, want: []string{"1 entries differ"}, wantExit: exitFailure},
		"an entry does not answer":  {replies: []string{"", full}, want: []string{"zone a", "1 entries without"}, wantExit: exitFailure},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			args := []string{"zones"}
			for _, rpl := range tc.replies {
				srv := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
					if rpl == "" || req.URL.Path != "/zones" {
						wtr.WriteHeader(http.StatusNotFound)
						return
					}
					_, _ = io.WriteString(wtr, rpl)
				}))
				defer srv.Close()
				args = append(args, strings.TrimPrefix(srv.URL, "http://"))
			}
			var out, errOut bytes.Buffer
			if exit := Main(args, &out, &errOut); exit != tc.wantExit {
				t.Errorf("exit code %d, want %d", exit, tc.wantExit)
			}
			for _, text := range tc.want {
				if !strings.Contains(out.String()+errOut.String(), text) {
					t.Errorf("output %q %q, want %q in it", out.String(), errOut.String(), text)
				}
			}
		})
	}
}
