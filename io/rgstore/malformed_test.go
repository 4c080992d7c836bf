package rgstore

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestMalformedLog guards against an item that is logged at each read of the store, that is not logged after it has changed, or
// whose key or reason fills the log.
func TestMalformedLog(t *testing.T) {
	item := func(key string, ver uint64) MalformedItem {
		return MalformedItem{Key: key, Version: ver, Err: errors.New("x")}
	}
	long := strings.Repeat("k", 1<<20)
	tests := map[string]struct {
		listings [][]MalformedItem
		want     int
	}{
		"none":                  {listings: [][]MalformedItem{nil, nil}},
		"same at each read":     {listings: [][]MalformedItem{{item("a", 1)}, {item("a", 1)}, {item("a", 1)}}, want: 1},
		"changed":               {listings: [][]MalformedItem{{item("a", 1)}, {item("a", 2)}}, want: 2},
		"two keys":              {listings: [][]MalformedItem{{item("a", 1), item("b", 1)}, {item("b", 1), item("a", 1)}}, want: 2},
		"many without keys":     {listings: [][]MalformedItem{{item("", 0), item("", 0)}, {item("", 0)}}, want: 1},
		"gone and there again":  {listings: [][]MalformedItem{{item("a", 1)}, nil, {item("a", 1)}}, want: 2},
		"long key, long reason": {listings: [][]MalformedItem{{{Key: long, Err: errors.New(long)}}}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			cor, logs := observer.New(zap.WarnLevel)
			sco := tally.NewTestScope("", nil)
			mlg := MalformedLog{Log: zap.New(cor), Scope: sco}
			for _, itms := range tc.listings {
				mlg.Record(itms)
			}
			counted := int64(0)
			for _, cnt := range sco.Snapshot().Counters() {
				counted += cnt.Value()
			}
			if logs.Len() != tc.want || counted != int64(tc.want) {
				t.Errorf("%d lines, %d counted, want %d", logs.Len(), counted, tc.want)
			}
			for _, lin := range logs.All() {
				for _, val := range lin.ContextMap() {
					if txt, ok := val.(string); ok && len(txt) > maxLoggedBytes {
						t.Errorf("%d bytes logged", len(txt))
					}
				}
			}
		})
	}
}

// TestMalformedLogZero guards against a zero value that panics.
func TestMalformedLogZero(*testing.T) {
	var mlg MalformedLog
	mlg.Record([]MalformedItem{{Key: "a", Err: errors.New("x")}})
}
