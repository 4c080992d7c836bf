package rgentry_test

import (
	"encoding/json"
	"maps"
	"strings"
	"testing"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgstore"
)

// TestMalformedRecords guards against a record of another writer that takes the store out of use, that becomes part of the ring, or
// that keeps the entries from the next configuration or ring.
func TestMalformedRecords(t *testing.T) {
	// The values are as deep as the store accepts them. A listing contains them a few levels deeper.
	const depth = 9_998
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	const portTooLarge = `{"name":"odd","incarnation":"x","address":"10.0.0.9:70000"}`
	const otherName = `{"name":"entry00","incarnation":"x","address":"10.0.0.9:7720"}`
	const revisionTooLarge = `{"team":"odd","revision":36893488147419103232}`
	tests := map[string]struct{ key, value string }{
		"entry with a port out of range":        {key: rgentry.EntryKeyPrefix + "odd", value: portTooLarge},
		"entry without an address":              {key: rgentry.EntryKeyPrefix + "odd", value: `{"name":"odd","incarnation":"x"}`},
		"entry without an incarnation":          {key: rgentry.EntryKeyPrefix + "odd", value: `{"name":"odd","address":"10.0.0.9:7720"}`},
		"entry of another name":                 {key: rgentry.EntryKeyPrefix + "odd", value: otherName},
		"entry of wrong type":                   {key: rgentry.EntryKeyPrefix + "odd", value: `{"name":7}`},
		"entry null":                            {key: rgentry.EntryKeyPrefix + "odd", value: `null`},
		"entry deeply nested":                   {key: rgentry.EntryKeyPrefix + "odd", value: nested},
		"configuration deeply nested":           {key: rgentry.ConfigKeyPrefix + "odd", value: nested},
		"configuration with a number too large": {key: rgentry.ConfigKeyPrefix + "odd", value: revisionTooLarge},
		"ring with the largest generation":      {key: rgentry.RingKey, value: `{"generation":18446744073709551615,"entries":[]}`},
		"ring of wrong type":                    {key: rgentry.RingKey, value: `{"generation":"7"}`},
		"unknown key":                           {key: rgentry.KeyPrefix + "odd", value: nested},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sys := startSystem(t, 2, 1)
			ver := uint64(0)
			if itm, err := sys.operator.Get(sys.ctx, tc.key); err == nil {
				ver = itm.Version
			}
			wri := rgstore.Write{Value: json.RawMessage(tc.value), Expected: ver}
			if res, ok := sys.operator.Put(sys.ctx, tc.key, wri).(rgstore.Written); !ok {
				t.Fatalf("got %+v, want written", res)
			}
			sys.waitInForce(team, sys.applyChange(team, "a", 1))
			// A new entry joins, so that the ring has to change.
			sys.startEntry()
			sys.waitUntil("ring of the three entries", sys.ringIsSound)
		})
	}
}

// ringIsSound reports whether the ring of all entries consists of them.
func (sys *system) ringIsSound() bool {
	want := map[rgmodel.Entry]bool{}
	for _, ent := range sys.entries {
		want[ent.Self()] = true
	}
	for _, ent := range sys.entries {
		got := map[rgmodel.Entry]bool{}
		for _, cur := range ent.View().Ring.Entries {
			got[cur] = true
		}
		if !maps.Equal(got, want) {
			return false
		}
	}
	return true
}
