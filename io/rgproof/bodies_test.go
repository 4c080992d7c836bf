package rgproof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgflood"
)

const (
	// floodClients send an entry far more than floodBytes, the bound of its memory.
	floodClients = 64
	floodBytes   = 256 << 20
	// floodDescriptors bounds the descriptors of the entry.
	floodDescriptors = 1600
)

// TestBodyFlood guards against an entry that runs out of memory or hangs because of clients with large and unfinished bodies.
func TestBodyFlood(t *testing.T) {
	unlock, err := rgflood.Lock()
	if err != nil {
		t.Fatal(err)
	}
	defer unlock()
	const format = `{"team":"team","kind":"work","deadline":"5s","tasks":[%s]}`
	large := fmt.Sprintf(format, `"`+strings.Repeat("x", rgapi.MaxBodyBytes-len(format))+`"`)
	many := fmt.Sprintf(format, strings.Repeat("1,", (rgapi.MaxBodyBytes-len(format))/2)+"1")
	tests := map[string]rgflood.Load{
		"length":       {Body: large, Clients: floodClients},
		"large chunks": {Body: large, Clients: floodClients, Framing: rgflood.LargeChunks},
		// The body is smaller, because a small chunk takes six times its size.
		"small chunks": {Body: large[:len(large)/4], Clients: 4 * floodClients, Framing: rgflood.SmallChunks},
		"many tasks":   {Body: many, Clients: floodClients, Whole: true},
	}
	for name, lod := range tests {
		t.Run(name, func(t *testing.T) {
			sys := newSystem(t, 1, 1, 1)
			lod.Address, lod.Host, lod.Path = sys.callerAddresses[0], "a", "/v1/jobs"
			defer rgflood.Send(t.Context(), lod)()
			sys.waitUntil("answer to an ordinary request", readyTimeout, func() bool {
				return sys.submit(0, newID(time.Now()), "ordinary", 4).answer.Status == "complete"
			})
			use, err := rgflood.Measure(sys.entries[0].cmd.Process.Pid)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak %d MB, %d descriptors", use.PeakBytes>>20, use.Descriptors)
			if use.PeakBytes > floodBytes || use.Descriptors > floodDescriptors {
				t.Errorf("want at most %d MB and %d descriptors", floodBytes>>20, floodDescriptors)
			}
		})
	}
}
