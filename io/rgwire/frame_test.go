package rgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"ragwortgap/core/rgintake"
)

// TestReadFrame guards against notifications that are cut at the sizes of the buffers, and against a peer that makes the process reserve
// any amount of memory.
func TestReadFrame(t *testing.T) {
	tests := map[string]struct {
		size    int
		wantErr bool
	}{
		"empty":                  {size: 0},
		"largest small one":      {size: rgintake.SmallBytes},
		"smallest large one":     {size: rgintake.SmallBytes + 1},
		"not a multiple":         {size: 3*framePart + 7},
		"limit":                  {size: MaxMessageBytes},
		"above the limit":        {size: MaxMessageBytes + 1, wantErr: true},
		"far above the limit":    {size: 1 << 40, wantErr: true},
		"larger than an integer": {size: -1, wantErr: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			want := bytes.Repeat([]byte("x"), max(0, min(tc.size, MaxMessageBytes+1)))
			raw := append(binary.AppendUvarint(nil, uint64(tc.size)), want...)
			own, peer := net.Pipe()
			defer func() { _, _ = own.Close(), peer.Close() }()
			var bud frameBudget
			got, done, err := bud.readFrame(own, bufio.NewReader(bytes.NewReader(raw)))
			if (err != nil) != tc.wantErr {
				t.Fatalf("error %v", err)
			}
			if err != nil {
				return
			}
			done()
			if !bytes.Equal(got, want) || len(bud.state.Bodies) != 0 || len(bud.conns) != 0 || bud.state.Held != 0 {
				t.Errorf("%d bytes, want %d; left: %+v", len(got), len(want), bud.state)
			}
		})
	}
}

// TestUnfinishedFrames guards against peers that hold all memory for notifications that they do not finish.
func TestUnfinishedFrames(t *testing.T) {
	bud := frameBudget{state: rgintake.State{Limits: rgintake.Limits{Bytes: rgintake.MinBytes}}}
	raw := append(binary.AppendUvarint(nil, MaxMessageBytes), make([]byte, MaxMessageBytes-1)...)
	refused := 0
	for range 64 {
		own, peer := net.Pipe()
		defer func() { _, _ = own.Close(), peer.Close() }()
		read := make(chan error, 1)
		go func() {
			_, _, err := bud.readFrame(own, bufio.NewReader(own))
			read <- err
		}()
		wrote := make(chan struct{})
		go func() {
			defer close(wrote)
			// The reader may give up.
			_, _ = peer.Write(raw)
		}()
		select {
		case <-read:
			refused++
		case <-wrote:
		}
	}
	bud.mutex.Lock()
	defer bud.mutex.Unlock()
	if refused == 0 || bud.state.Held > rgintake.MinBytes {
		t.Errorf("%d refused, %d bytes held", refused, bud.state.Held)
	}
}
