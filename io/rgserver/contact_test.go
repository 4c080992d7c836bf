package rgserver

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ragwortgap/io/rgstandin"
)

// contactTimeout bounds the waits of these tests. The kernel probes after a second.
const contactTimeout = 20 * time.Second

// cutSocket cuts a connection at one of its sockets, or ends the cut.
func cutSocket(t *testing.T, con *net.TCPConn, cut bool) {
	t.Helper()
	if err := rgstandin.CutSocket(con, cut); err != nil {
		t.Fatal(err)
	}
}

// connect returns both ends of a connection over loopback.
func connect(t *testing.T) (caller, own *net.TCPConn) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	dialed, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// probeUntil probes the caller every few milliseconds until the condition is met.
func probeUntil(ctx context.Context, t *testing.T, what string, met func(silence time.Duration, unanswered int) bool) {
	t.Helper()
	tick, timeout := time.NewTicker(10*time.Millisecond), time.After(contactTimeout)
	defer tick.Stop()
	for {
		silence, unanswered, known := Contact(ctx)
		if !known {
			t.Fatal("the contact is not known")
		}
		if met(silence, unanswered) {
			return
		}
		select {
		case <-tick.C:
			if silence >= time.Second {
				ProbeCaller(ctx)
			}
		case <-timeout:
			t.Fatalf("%s: not within %v; silent for %v, %d unanswered", what, contactTimeout, silence, unanswered)
		}
	}
}

// TestContact guards against a dead connection that the kernel does not show within the resend delay, because it probes once a second at
// most by itself, and against a slow caller that looks like a dead one.
func TestContact(t *testing.T) {
	const several = 3
	dead := func(silence time.Duration, unanswered int) bool {
		return silence >= time.Second && unanswered >= several
	}
	tests := map[string]struct {
		// lose ends the contact, or does nothing. restore ends the cut.
		lose    func(t *testing.T, caller, own *net.TCPConn)
		restore func(t *testing.T, caller, own *net.TCPConn)
		left    bool
	}{
		"cut that ends": {
			lose:    func(t *testing.T, caller, _ *net.TCPConn) { cutSocket(t, caller, true) },
			restore: func(t *testing.T, caller, _ *net.TCPConn) { cutSocket(t, caller, false) },
		},
		"end of the connection is lost in a cut": {
			lose: func(t *testing.T, caller, own *net.TCPConn) {
				cutSocket(t, own, true)
				// A reset is not sent again.
				if err := caller.SetLinger(0); err != nil {
					t.Fatal(err)
				}
				if err := caller.Close(); err != nil {
					t.Fatal(err)
				}
			},
			restore: func(t *testing.T, _, own *net.TCPConn) { cutSocket(t, own, false) },
			left:    true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, own := connect(t)
			ctx := WithConnection(t.Context(), own)
			defer StopProbing(ctx)
			tc.lose(t, caller, own)
			if CallerLeft(ctx) {
				t.Fatal("the end of the connection was not lost")
			}
			probeUntil(ctx, t, "loss of contact", dead)
			tc.restore(t, caller, own)
			if tc.left {
				probeUntil(ctx, t, "reset", func(time.Duration, int) bool { return CallerLeft(ctx) })
				return
			}
			probeUntil(ctx, t, "contact", func(silence time.Duration, unanswered int) bool {
				return silence < time.Second && unanswered == 0
			})
			if CallerLeft(ctx) {
				t.Error("the connection of a live caller has ended")
			}
		})
	}
}

// TestStopProbing guards against connections without a request that are probed every second.
func TestStopProbing(t *testing.T) {
	_, own := connect(t)
	ctx := WithConnection(t.Context(), own)
	ProbeCaller(ctx)
	checkProbeSeconds(t, own, waitingProbeSeconds)
	StopProbing(ctx)
	checkProbeSeconds(t, own, idleProbeSeconds)
}

func checkProbeSeconds(t *testing.T, con *net.TCPConn, want int) {
	t.Helper()
	raw, err := con.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		for _, opt := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
			if got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt); got != want || err != nil {
				t.Errorf("option %d is %d (%v), want %d", opt, got, err, want)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
