package rgtls

import (
	"os"
	"testing"
	"time"

	"ragwortgap/io/rgstandin"
)

// disk is files in memory.
type disk map[string][]byte

func (dsk disk) read(name string) ([]byte, error) {
	raw, ok := dsk[name]
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

func issue(t *testing.T, aut rgstandin.Authority, name string, lasting time.Duration) (crt, key []byte) {
	t.Helper()
	crt, key, err := aut.Issue(name, lasting)
	if err != nil {
		t.Fatal(err)
	}
	return crt, key
}
