package rgtls

import (
	"os"
	"testing"
	"time"

	"ragwortgap/io/rgstandin"
)

// memFiles holds file contents by path.
type memFiles map[string][]byte

func (mem memFiles) read(name string) ([]byte, error) {
	raw, ok := mem[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return raw, nil
}

func newAuthority(t *testing.T, name string) rgstandin.Authority {
	t.Helper()
	aut, err := rgstandin.NewAuthority(name)
	if err != nil {
		t.Fatal(err)
	}
	return aut
}

func issue(t *testing.T, aut rgstandin.Authority, name string, validity time.Duration) (crt, key []byte) {
	t.Helper()
	crt, key, err := aut.Issue(name, validity)
	if err != nil {
		t.Fatal(err)
	}
	return crt, key
}
