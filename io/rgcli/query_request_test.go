package rgcli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplainRequest guards against output with lines of other jobs, in the wrong order, or cut off at an invalid line.
func TestExplainRequest(t *testing.T) {
	tests := map[string]struct {
		logs    []string
		want    string
		wantErr string
	}{
		"two processes sorted by time": {
			logs: []string{
				`{"time":"2026-01-01T00:00:02Z","message":"job not done","job":"a1"}` + "\n",
				`{"time":"2026-01-01T00:00:01Z","message":"run is stopped","job":"a1"}` + "\n",
			},
			want: "run is stopped,job not done",
		},
		"other jobs and lines that are not JSON": {
			logs: []string{"a1 {broken\n" + `{"message":"job not done","job":"b2","other":"a1"}` + "\n" +
				`  4.1 edge-1 {"message":"job not done","job":"a1"}` + "\n"},
			want: "job not done",
		},
		"unknown job": {logs: []string{"\n"}, wantErr: "not found"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qry := ExplainRequestQuery{ID: "a1"}
			for i, txt := range tc.logs {
				path := filepath.Join(t.TempDir(), string(rune('a'+i))+".log")
				if err := os.WriteFile(path, []byte(txt), 0o600); err != nil {
					t.Fatal(err)
				}
				qry.Files = append(qry.Files, path)
			}
			var out strings.Builder
			err := qry.run(&out)
			if tc.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), tc.wantErr) {
					t.Errorf("error %v, want %q", err, tc.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, lin := range strings.Split(out.String(), "\n") {
				for _, msg := range []string{"job not done", "run is stopped"} {
					if strings.HasSuffix(lin, msg) {
						got = append(got, msg)
					}
				}
			}
			if strings.Join(got, ",") != tc.want {
				t.Errorf("messages %v, want %s", got, tc.want)
			}
		})
	}
}
