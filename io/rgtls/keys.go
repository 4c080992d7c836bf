package rgtls

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"
	"sync/atomic"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

const (
	digestPrefix = "sha256:"
	bearerPrefix = "Bearer "
)

type (
	// TeamKeys checks the keys of teams against a file of digests. The file is JSON with comments: an object that maps team
	// names to lists such as ["sha256:<64 hexadecimal digits>"]. A team may have several valid keys during key
	// rotation. A nil TeamKeys accepts every request.
	TeamKeys struct {
		File    string
		Read    ReadFile
		current atomic.Pointer[keyFile]
	}

	keyFile struct {
		raw     []byte
		digests map[string][][sha256.Size]byte
	}
)

// OpenKeys reads the file. If the file is malformed, it fails with errors.NotValid, and the message names the file, and the
// team if a digest is malformed. A nil read means os.ReadFile.
func OpenKeys(file string, read ReadFile) (*TeamKeys, error) {
	if read == nil {
		read = os.ReadFile
	}
	tk := &TeamKeys{File: file, Read: read}
	_, err := tk.Reload()
	return tk, err
}

// Reload reads the file and reports whether it has changed. After an error, the previous contents stay in use.
func (tk *TeamKeys) Reload() (bool, error) {
	raw, err := tk.Read(tk.File)
	if err != nil {
		return false, errors.NewNotValid(err, "read "+tk.File)
	}
	if old := tk.current.Load(); old != nil && bytes.Equal(old.raw, raw) {
		return false, nil
	}
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return false, errors.NewNotValid(err, "team keys "+tk.File)
	}
	var txts map[string][]string
	if err := json.Unmarshal(std, &txts); err != nil {
		return false, errors.NewNotValid(err, "team keys "+tk.File)
	}
	kf := &keyFile{raw: raw, digests: map[string][][sha256.Size]byte{}}
	for team, list := range txts {
		for i, txt := range list {
			dig, err := hex.DecodeString(strings.TrimPrefix(txt, digestPrefix))
			if err != nil || len(dig) != sha256.Size || !strings.HasPrefix(txt, digestPrefix) {
				// The text is omitted, because it may be a plain key that was entered by mistake.
				return false, errors.NotValidf("team keys %s: team %q, digest %d (need sha256: and 64 hexadecimal digits)",
					tk.File, team, i)
			}
			kf.digests[team] = append(kf.digests[team], [sha256.Size]byte(dig))
		}
	}
	tk.current.Store(kf)
	return true, nil
}

// Check returns nil if the value of the Authorization header contains a key of the team. It fails with errors.Unauthorized
// if there is no key, and with errors.Forbidden if the key is not the team's. Errors never contain the key. Digests are
// compared in constant time, so the response time reveals nothing about them.
func (tk *TeamKeys) Check(header, team string) error {
	if tk == nil {
		return nil
	}
	key, found := strings.CutPrefix(header, bearerPrefix)
	if !found || key == "" {
		return errors.Unauthorizedf("need the header Authorization: Bearer <team key>")
	}
	dig := sha256.Sum256([]byte(key))
	valid := 0
	for _, known := range tk.current.Load().digests[team] {
		valid |= subtle.ConstantTimeCompare(dig[:], known[:])
	}
	if valid == 0 {
		return errors.Forbiddenf("the key is not a key of team %q", team)
	}
	return nil
}
