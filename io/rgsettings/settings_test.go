package rgsettings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"

	"ragwortgap/io/rgtls"
)

// TestExamples guards against example files that the processes reject.
func TestExamples(t *testing.T) {
	if _, err := ReadEntry("../../examples/entry.json"); err != nil {
		t.Error(err)
	}
	if _, err := ReadSidecar("../../examples/sidecar.json"); err != nil {
		t.Error(err)
	}
	if _, err := rgtls.OpenKeys("../../examples/team-keys.json", nil); err != nil {
		t.Error(err)
	}
}

// TestReadEntryRejects guards against accepting settings files that are malformed or have unknown, duplicate or mistyped
// settings.
func TestReadEntryRejects(t *testing.T) {
	tests := map[string]string{
		"empty":           "",
		"not closed":      `{"name": "entry0"`,
		"unknown setting": `{"nam": "entry0"}`,
		"set twice":       `{"name": "entry0", "name": "entry1"}`,
		"wrong type":      `{"name": 5}`,
		"wrong duration":  `{"leaseTime": "3"}`,
		"unknown in TLS":  `{"peerTLS": {"cert": "x"}}`,
	}
	for name, txt := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.json")
			if err := os.WriteFile(file, []byte(txt), 0o600); err != nil {
				t.Fatal(err)
			}
			if set, err := ReadEntry(file); !errors.Is(err, errors.NotValid) {
				t.Errorf("got %+v and %v, want errors.NotValid", set, err)
			}
		})
	}
}

// TestCheckTLS guards against starting a process without the protection that its settings ask for.
func TestCheckTLS(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	peerFiles := &rgtls.Files{Certificate: file, Key: file, Authorities: file}
	callerFiles := &rgtls.Files{Certificate: file, Key: file}
	tests := map[string]struct {
		peer, caller                     *rgtls.Files
		keys, status                     string
		wantEntryField, wantSidecarField string
	}{
		"nothing set": {},
		"all set":     {peer: peerFiles, caller: callerFiles, keys: file, status: "127.0.0.1:1"},
		"no certificate": {
			peer:           &rgtls.Files{Key: file, Authorities: file},
			wantEntryField: "peerTLS.certificate", wantSidecarField: "peerTLS.certificate",
		},
		"no peer key": {
			peer: &rgtls.Files{Certificate: file, Authorities: file}, wantEntryField: "peerTLS.key", wantSidecarField: "peerTLS.key",
		},
		"no authorities":         {peer: callerFiles, wantEntryField: "peerTLS.authorities", wantSidecarField: "peerTLS.authorities"},
		"missing file":           {caller: &rgtls.Files{Certificate: file + "x", Key: file}, wantEntryField: "callerTLS.certificate"},
		"authorities of callers": {caller: peerFiles, wantEntryField: "callerTLS.authorities"},
		"keys in plain text":     {keys: file, wantEntryField: "teamKeys"},
		"missing keys":           {caller: callerFiles, keys: file + "x", wantEntryField: "teamKeys"},
		"status without a port":  {status: "127.0.0.1", wantSidecarField: "statusAddress"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ent, err := ReadEntry("../../examples/entry.json")
			if err != nil {
				t.Fatal(err)
			}
			sid, err := ReadSidecar("../../examples/sidecar.json")
			if err != nil {
				t.Fatal(err)
			}
			ent.PeerTLS, ent.CallerTLS, ent.TeamKeys = tc.peer, tc.caller, tc.keys
			sid.PeerTLS, sid.StatusAddress = tc.peer, tc.status
			checkField(t, CheckEntry(&ent), tc.wantEntryField)
			checkField(t, CheckSidecar(&sid), tc.wantSidecarField)
		})
	}
}

func checkField(t *testing.T, err error, want string) {
	t.Helper()
	var fld FieldError
	errors.As(err, &fld)
	if (err == nil) != (want == "") || fld.Field != want {
		t.Errorf("got %v, want an error for %q", err, want)
	}
	if want != "" && (fld.Value == nil || fld.Reason == "") {
		t.Errorf("got %+v, want a value and a reason", fld)
	}
}
