package rgcli

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ragwortgap/io/rganswers"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstandin"
)

const examples = "../../examples/"

// TestExamples guards against example files that fail validation, and against generated files that cannot be read back.
func TestExamples(t *testing.T) {
	tests := map[string]struct{ weights map[string]int }{
		"kitapDostu":  {map[string]int{"signUps": 10, "chapterReminders": 2, "readingLists": 1}},
		"zelenaSkola": {map[string]int{"menuConfirmations": 10, "allocations": 2, "stockChecks": 10}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main([]string{"generate", examples + name + ".json"}, &out, &errOut); code != exitOK {
				t.Fatalf("exit code %d: %s", code, errOut.String())
			}
			if !strings.Contains(out.String(), "// from the answer to quota/burst") {
				t.Errorf("no comment that names the answer: %s", out.String())
			}
			cfg, err := rganswers.ReadConfig(writeTempFile(t, out.String()))
			if err != nil {
				t.Fatal(err)
			}
			for kind, wgt := range tc.weights {
				if kc, ok := cfg.Kind(kind); !ok || kc.Weight != wgt {
					t.Errorf("kind %s has weight %d, want %d", kind, kc.Weight, wgt)
				}
			}
		})
	}
}

// TestConfigCommands guards against wrong exit codes and against messages that do not name the cause.
func TestConfigCommands(t *testing.T) {
	raw, err := os.ReadFile(examples + "kitapDostu.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(raw)
	edit := func(old, txt string) string { return writeTempFile(t, strings.Replace(valid, old, txt, 1)) }
	sto := &rgstandin.Store{}
	srv := httptest.NewServer(sto)
	defer srv.Close()
	store := "--store=" + srv.URL
	changed := edit(`"burst": 720`, `"burst": 800`)
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"check valid answers": {[]string{"questionnaire", "--check", writeTempFile(t, valid)}, exitOK, []string{"3 kinds are right"}},
		"check invalid answer": {
			[]string{"questionnaire", "--check", edit(`"2s"`, `"20ms"`)}, exitUsage,
			[]string{"kinds/signUps/callerWait", "20ms", "80ms"},
		},
		"check unknown member":   {[]string{"questionnaire", "--check", edit(`"rate"`, `"rates"`)}, exitUsage, []string{"rates"}},
		"check no JSON":          {[]string{"questionnaire", "--check", writeTempFile(t, "{")}, exitUsage, []string{"file"}},
		"neither file nor check": {[]string{"questionnaire"}, exitUsage, []string{"--check"}},
		"missing file":           {[]string{"generate", "missing.json"}, exitFailure, []string{"missing.json"}},
		"explain": {
			[]string{"explain", writeTempFile(t, valid), changed}, exitOK,
			[]string{"quota/burst: 720 -> 800", "answer to quota/burst"},
		},
		"apply invalid answers": {
			[]string{"apply", store, edit(`"burst": 720`, `"burst": 3`)}, exitUsage,
			[]string{"below one job"},
		},
		"status without an entry": {[]string{"status", "127.0.0.1:1"}, exitFailure, []string{"1 entries without answer"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { checkMain(t, tc.args, tc.code, tc.want) })
	}
	// The order matters: the third change builds on a revision that the second one has already replaced.
	checkMain(t, []string{"apply", store, writeTempFile(t, valid)}, exitOK, []string{"revision 1 accepted"})
	checkMain(t, []string{"apply", store, "--base=1", changed}, exitOK, []string{"revision 2 accepted"})
	checkMain(t, []string{"apply", store, "--base=1", edit(`"burst": 720`, `"burst": 900`)}, exitFailure,
		[]string{"in force: revision 2", `"burst": 800`, "not applied", `"burst": 900`, "another change came first"})
	checkMain(t, []string{"apply", store, changed}, exitOK, []string{"same settings"})
	if puts := sto.Calls()["PUT keys"]; puts != 2 {
		t.Errorf("%d writes, want 2 to %s", puts, rgentry.ConfigKeyPrefix)
	}
}

// TestQuestionnaire guards against a questionnaire that ends at an invalid answer, against one that writes other answers than
// were given, and against a wrong exit code for contradictory or missing answers.
func TestQuestionnaire(t *testing.T) {
	kind := "signUps\nperhaps\nfalse\nhigh\n80ms\n1s\n2s\n0.999\n40\n20\ntrue\nno\n"
	tests := map[string]struct {
		input string
		code  int
		want  string
	}{
		"valid":         {"kitapDostu\n10m\n400\n720\n" + kind, exitOK, `answer "perhaps"`},
		"contradiction": {"kitapDostu\n10m\n400\n3\n" + kind, exitUsage, "written to"},
		"input ends":    {"kitapDostu\n", exitUsage, "resubmit"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "answers.json")
			var out, errOut bytes.Buffer
			cmd := QuestionnaireCommand{File: path}
			err := cmd.run(context.Background(), strings.NewReader(tc.input), &out)
			if code := exitCode(err, &errOut); code != tc.code || !strings.Contains(out.String(), tc.want) {
				t.Errorf("exit code %d, want %d; output %s%s", code, tc.code, out.String(), errOut.String())
			}
			if tc.code != exitOK {
				return
			}
			ans, err := rganswers.ReadAnswers(path)
			if err != nil || ans.Kinds[0].LargestJob != 20 || !ans.Kinds[0].SurvivesFlood {
				t.Errorf("got %+v, %v", ans, err)
			}
		})
	}
}

// checkMain runs a command and checks its exit code and the texts in its output.
func checkMain(t *testing.T, args []string, code int, want []string) {
	t.Helper()
	var out, errOut bytes.Buffer
	got := Main(args, &out, &errOut)
	all := out.String() + errOut.String()
	if got != code {
		t.Errorf("%v: exit code %d, want %d: %s", args, got, code, all)
	}
	for _, txt := range want {
		if !strings.Contains(all, txt) {
			t.Errorf("%v: no %q in: %s", args, txt, all)
		}
	}
}

func writeTempFile(t *testing.T, txt string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(txt), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
