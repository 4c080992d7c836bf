package rgcli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const burnReply = `{"entry":"e","flows":[{"flow":{"team":"kitapDostu","kind":"signUps"},"objective":0.99,
"long":{"counts":{"good":98,"refused":1,"mayHaveRun":1}},"steps":[]}]}`

// TestBurn guards against wrong sums, and against sums that omit an entry that does not answer without an error.
func TestBurn(t *testing.T) {
	good := func(rsp http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rsp, burnReply) }
	tests := map[string]struct {
		entries []http.HandlerFunc
		row     string
		wantErr string
	}{
		"one entry":   {entries: []http.HandlerFunc{good}, row: "kitapDostu signUps 99.00% 0.00 2.00 -100.0% 98 0 1 0 1"},
		"two entries": {entries: []http.HandlerFunc{good, good}, row: "kitapDostu signUps 99.00% 0.00 2.00 -100.0% 196 0 2 0 2"},
		"one without route": {
			entries: []http.HandlerFunc{good, http.NotFound}, row: "98 0 1 0 1", wantErr: "1 of 2 entries did not answer",
		},
		"not JSON": {
			entries: []http.HandlerFunc{func(rsp http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rsp, "<html>") }},
			wantErr: "1 of 1 entries did not answer",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qry := BurnQuery{}
			for _, hdl := range tc.entries {
				srv := httptest.NewServer(hdl)
				defer srv.Close()
				qry.Entries = append(qry.Entries, srv.Listener.Addr().String())
			}
			var out bytes.Buffer
			err := qry.run(context.Background(), &out)
			if (err == nil) != (tc.wantErr == "") || (err != nil && !strings.Contains(err.Error(), tc.wantErr)) {
				t.Errorf("got error %v, want %q", err, tc.wantErr)
			}
			if got := strings.Join(strings.Fields(out.String()), " "); !strings.Contains(got, tc.row) {
				t.Errorf("got %q, want %q in it", got, tc.row)
			}
		})
	}
}
