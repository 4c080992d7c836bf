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
	// floodClients send an entry far more than floodBytes, the bound of its memory, and headClients have heads of headBytes.
	floodClients = 64
	floodBytes   = 256 << 20
	headClients  = 1000
	headBytes    = 1 << 20
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
	lines := strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", headBytes/1000)
	tests := map[string]rgflood.Load{
		"length":       {Body: large, Clients: floodClients},
		"large chunks": {Body: large, Clients: floodClients, Framing: rgflood.LargeChunks},
		// The body is smaller, because a small chunk takes six times its size.
		"small chunks": {Body: large[:len(large)/4], Clients: 4 * floodClients, Framing: rgflood.SmallChunks},
		"many tasks":   {Body: many, Clients: floodClients, Whole: true},
		"header line without end": {
			Clients: headClients, Raw: "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("b", headBytes),
		},
		"head over the limit": {Clients: headClients, Raw: "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n"},
		"empty lines":         {Clients: headClients, Raw: strings.Repeat("\r\n", headBytes/2)},
	}
	for name, lod := range tests {
		t.Run(name, func(t *testing.T) {
			sys := newSystem(t, 1, 1, 1)
			wch := rgflood.StartWatch(sys.entries[0].cmd.Process.Pid)
			lod.Address, lod.Host, lod.Path = sys.callerAddresses[0], "a", "/v1/jobs"
			defer rgflood.Send(t.Context(), lod)()
			sys.waitUntil("answer to an ordinary request", readyTimeout, func() bool {
				return sys.submit(0, newID(time.Now()), "ordinary", 4).answer.Status == "complete"
			})
			use, err := wch.Stop()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("peak %d MB, %d of them unread, %d descriptors", use.MemoryBytes>>20, use.UnreadBytes>>20, use.Descriptors)
			if use.MemoryBytes > floodBytes || use.Descriptors > floodDescriptors {
				t.Errorf("want at most %d MB and %d descriptors", floodBytes>>20, floodDescriptors)
			}
		})
	}
}
