package rgorders

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgstore"
)

// savedStore replies to each read with the same item or error.
type savedStore struct {
	Store
	item rgstore.Item
	err  error
}

func (sto savedStore) Get(context.Context, string) (rgstore.Item, error) { return sto.item, sto.err }

// TestRestoreExecutor guards against a saved executor of another writer that a sidecar takes for its own, that ends the sidecar, or
// that keeps it busy.
func TestRestoreExecutor(t *testing.T) {
	const sound = `{"lifetime":{"id":"i-1","born":7},"service":"desk","capacity":{"cores":8,"memoryBytes":1024},"labels":["a"],` +
		`"sequence":3}`
	tests := map[string]struct {
		value string
		err   error
		want  bool
	}{
		"sound":                {value: sound, want: true},
		"no value":             {},
		"null":                 {value: `null`},
		"not JSON":             {value: "\xff"},
		"deeply nested":        {value: strings.Repeat(`{"labels":[`, 100_000)},
		"wrong type":           {value: strings.Replace(sound, `"desk"`, `7`, 1)},
		"labels of wrong type": {value: strings.Replace(sound, `["a"]`, `{"a":1}`, 1)},
		"number out of range":  {value: strings.Replace(sound, `"cores":8`, `"cores":1e999`, 1)},
		"no service":           {value: strings.Replace(sound, `"desk"`, `""`, 1)},
		"no id":                {value: strings.Replace(sound, `"i-1"`, `""`, 1)},
		"id with a line break": {value: strings.Replace(sound, `i-1`, `i\r\n1`, 1)},
		"negative cores":       {value: strings.Replace(sound, `"cores":8`, `"cores":-8`, 1)},
		"too many cores":       {value: strings.Replace(sound, `"cores":8`, `"cores":1e300`, 1)},
		"negative memory":      {value: strings.Replace(sound, `1024`, `-1024`, 1)},
		"negative start time":  {value: strings.Replace(sound, `"born":7`, `"born":-7`, 1)},
		"sequence too large":   {value: strings.Replace(sound, `"sequence":3`, `"sequence":18446744073709551615`, 1)},
		"malformed item":       {err: errors.NotValidf("item of the store")},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cor, logs := observer.New(zap.WarnLevel)
				pro := &Process{log: zap.New(cor), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
				pro.store = savedStore{item: rgstore.Item{Value: []byte(tc.value), Version: 9}, err: tc.err}
				began := time.Now()
				pro.restoreExecutor(t.Context())
				if got := len(pro.mailbox.Events) == 1; got != tc.want {
					t.Errorf("restored %v, want %v", got, tc.want)
				}
				if got := logs.FilterMessage("saved executor is invalid").Len(); (got == 1) == tc.want {
					t.Errorf("%d lines logged", got)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("an invalid record was read again for %v", took)
				}
			})
		})
	}
}
