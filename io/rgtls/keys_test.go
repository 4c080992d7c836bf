package rgtls

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// quotedDigest returns the digest of a key as a JSON string of the keys file.
func quotedDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return `"sha256:` + hex.EncodeToString(sum[:]) + `"`
}

// TestCheck guards against access to a team's jobs without a key, with another team's key or with a revoked key, and against
// errors that contain a key.
func TestCheck(t *testing.T) {
	mem := memFiles{"keys": []byte("{// digests\n" + `"kitapDostu": [` + quotedDigest("old") + "," + quotedDigest("new") + `],
		"zelenaSkola": [` + quotedDigest("other") + "]}")}
	keys, err := OpenKeys("keys", mem.read)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		header, team string
		wantErr      error
	}{
		"first key":          {"Bearer old", "kitapDostu", nil},
		"second key":         {"Bearer new", "kitapDostu", nil},
		"no header":          {"", "kitapDostu", errors.Unauthorized},
		"no key":             {"Bearer ", "kitapDostu", errors.Unauthorized},
		"another scheme":     {"Basic old", "kitapDostu", errors.Unauthorized},
		"another team's key": {"Bearer other", "kitapDostu", errors.Forbidden},
		"unknown team":       {"Bearer old", "nobody", errors.Forbidden},
		"digest as a key":    {"Bearer " + strings.Trim(quotedDigest("old"), `"`), "kitapDostu", errors.Forbidden},
		"part of a key":      {"Bearer ol", "kitapDostu", errors.Forbidden},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := keys.Check(tc.header, tc.team)
			if (err == nil) != (tc.wantErr == nil) || (tc.wantErr != nil && !errors.Is(err, tc.wantErr)) {
				t.Fatalf("got %v, want %v", err, tc.wantErr)
			}
			if _, key, ok := strings.Cut(tc.header, " "); err != nil && ok && key != "" && strings.Contains(err.Error(), key) {
				t.Errorf("error %q contains the key", err)
			}
		})
	}
	mem["keys"] = []byte(`{"kitapDostu": [` + quotedDigest("new") + `]}`)
	if changed, err := keys.Reload(); !changed || err != nil {
		t.Fatalf("reload: %v, %v", changed, err)
	}
	if keys.Check("Bearer old", "kitapDostu") == nil || keys.Check("Bearer new", "kitapDostu") != nil {
		t.Error("the revoked key is accepted, or the remaining one is not")
	}
}

// TestOpenKeysRejects guards against loading files without usable digests, and against errors that contain a key that was
// entered in place of a digest.
func TestOpenKeysRejects(t *testing.T) {
	tests := map[string]string{
		"not JSON":        `{`,
		"duplicate team":  `{"a": [], "a": []}`,
		"key as a digest": `{"a": ["plain secret"]}`,
		"short digest":    `{"a": ["sha256:00ff"]}`,
		"no prefix":       `{"a": ["` + strings.Repeat("00", 32) + `"]}`,
	}
	for name, txt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := OpenKeys("keys", memFiles{"keys": []byte(txt)}.read)
			if !errors.Is(err, errors.NotValid) || strings.Contains(err.Error(), "plain secret") {
				t.Errorf("got %v, want errors.NotValid without the text", err)
			}
		})
	}
}
