package rgintake

import (
	"net/netip"
	"testing"
	"time"
)

// TestAdmitConnection guards against connections that use up the memory or the descriptors, and against a connection with a request that is
// closed for another one.
func TestAdmitConnection(t *testing.T) {
	idle, busy := Connection{Peer: attacker, Since: start.Add(-time.Minute)}, Connection{Peer: attacker, Active: true}
	other := Connection{Peer: netip.MustParseAddr("10.0.0.3"), Since: start.Add(-2 * time.Minute)}
	fresh := Connection{Peer: attacker, Since: start.Add(-minIdle / 2)}
	tests := map[string]struct {
		open map[string]Connection
		peer netip.Addr
		want Admission[string]
	}{
		"none open":       {peer: caller},
		"below the limit": {open: map[string]Connection{"1": busy, "2": busy}, peer: attacker},
		"all busy": {
			open: map[string]Connection{"1": busy, "2": busy, "3": busy, "4": busy}, peer: caller, want: Admission[string]{Refused: true},
		},
		"share of the peer used up": {
			open: map[string]Connection{"1": busy, "2": busy, "3": busy, "4": other}, peer: attacker,
			want: Admission[string]{Refused: true},
		},
		"share of another peer used up": {open: map[string]Connection{"1": busy, "2": busy, "3": busy}, peer: caller},
		"oldest idle one": {
			open: map[string]Connection{"1": busy, "2": idle, "3": busy, "4": other}, peer: caller,
			want: Admission[string]{Close: true, Victim: "4"},
		},
		"idle one of the same peer": {
			open: map[string]Connection{"1": busy, "2": idle, "3": busy, "4": other}, peer: attacker,
			want: Admission[string]{Close: true, Victim: "2"},
		},
		"idle for too short a time": {
			open: map[string]Connection{"1": busy, "2": fresh, "3": busy}, peer: attacker, want: Admission[string]{Refused: true},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			cns := Connections[string]{Limits: Limits{Connections: 4}}
			for key, con := range tc.open {
				SetConnection(&cns, key, con)
			}
			if got := AdmitConnection(&cns, start, tc.peer); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
			for key := range tc.open {
				RemoveConnection(&cns, key)
				RemoveConnection(&cns, key)
			}
			if len(cns.Open) != 0 || len(cns.OfPeer) != 0 {
				t.Errorf("left: %v and %v", cns.Open, cns.OfPeer)
			}
		})
	}
}

// TestLimits guards against default limits that do not fit the smallest machines, or keep a single legal request out.
func TestLimits(t *testing.T) {
	const megabyte = 1 << 20
	tests := map[string]struct {
		memory, descriptors int64
		wantBudget          int64
		wantConnections     int
	}{
		"no limits":         {wantBudget: DefaultBytes, wantConnections: defaultConnections},
		"entry of 144 MB":   {memory: 144 * megabyte, descriptors: 4100, wantBudget: 18 * megabyte, wantConnections: 1152},
		"sidecar of 152 MB": {memory: 152 * megabyte, descriptors: 4096, wantBudget: 19 * megabyte, wantConnections: 1216},
		"entry of 536 MB":   {memory: 536 * megabyte, descriptors: 4100, wantBudget: 67 * megabyte, wantConnections: 3075},
		"tiny":              {memory: 1, wantBudget: MinBytes, wantConnections: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			budget, num := Budget(tc.memory), MaxConnections(tc.memory, tc.descriptors)
			if budget != tc.wantBudget || num != tc.wantConnections {
				t.Errorf("budget %d and %d connections, want %d and %d", budget, num, tc.wantBudget, tc.wantConnections)
			}
			if got := (Limits{Bytes: budget}).MaxBody(); got < 4*megabyte {
				t.Errorf("largest body %d, want at least a heartbeat of 4 MB", got)
			}
		})
	}
}
