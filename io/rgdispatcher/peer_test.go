package rgdispatcher

import (
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/io/rgwire"
)

// TestUnexpectedMessageNamesPeer guards against a log line about an unexpected message that does not name the peer that sent it.
func TestUnexpectedMessageNamesPeer(t *testing.T) {
	tests := map[string]struct {
		peer PeerConn
		want map[string]any
	}{
		"sidecar": {peer: PeerConn{Sidecar: "side0"}, want: map[string]any{"sidecar": "side0"}},
		"entry":   {peer: PeerConn{Entry: "edge0"}, want: map[string]any{"entry": "edge0"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			cor, logs := observer.New(zap.WarnLevel)
			pro := &Process{log: zap.New(cor)}
			sta := &State{Peers: map[uint64]*PeerConn{1: &tc.peer}}
			pro.receive(sta, time.Unix(1e9, 0), MessageReceived{ID: 1, Message: rgwire.Leave{}})
			lins := logs.FilterMessage("unexpected message").All()
			if len(lins) != 1 {
				t.Fatalf("%d lines, want 1", len(lins))
			}
			if got := lins[0].ContextMap(); !maps.Equal(got, tc.want) {
				t.Errorf("attributes %v, want %v", got, tc.want)
			}
		})
	}
}
