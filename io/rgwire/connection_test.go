package rgwire

import (
	"slices"
	"testing"

	"ragwortgap/core/rgmodel"
)

// TestPeerAddresses guards against two spellings of one address, which would count as two entries, against an address that other
// processes reject, and against a seed that ends the process.
func TestPeerAddresses(t *testing.T) {
	tests := map[string]struct {
		seeds []string
		want  []string
	}{
		"IPv4":                     {seeds: []string{"10.0.0.1:8166"}, want: []string{"10.0.0.1:7720"}},
		"IPv6":                     {seeds: []string{"[fd00::1]:8166"}, want: []string{"[fd00::1]:7720"}},
		"IPv6 in another spelling": {seeds: []string{"[FD00:0::1]:8166"}, want: []string{"[fd00::1]:7720"}},
		"IPv4 in IPv6":             {seeds: []string{"[::ffff:10.0.0.1]:8166"}, want: []string{"10.0.0.1:7720"}},
		"odd":                      {seeds: []string{"", "x", "10.0.0.1", "10.0.0.1:70000", "10.0.0.2:1"}, want: []string{"10.0.0.2:7720"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := PeerAddresses(tc.seeds, 7720)
			if !slices.Equal(got, tc.want) {
				t.Errorf("addresses %q, want %q", got, tc.want)
			}
			for _, adr := range got {
				if err := rgmodel.CheckAddress(adr); err != nil {
					t.Error(err)
				}
			}
		})
	}
}
