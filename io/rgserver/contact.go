package rgserver

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// waitingProbeSeconds is the time in seconds after which the kernel probes the connection of a caller whose request is in progress, and
	// the interval of the next probes. It is the shortest time that the kernel accepts.
	waitingProbeSeconds = 1
	// idleProbeSeconds is the same for all other connections. It is the default of the Go library.
	idleProbeSeconds = 15
)

// Contact returns how long ago the last segment came from the caller of a request, and how many probes and retransmissions it has not
// answered since. It reports false if that is unknown. Keep-alive probes are answered by the kernel of the caller, so a caller that is
// only slow is in contact.
func Contact(ctx context.Context) (silence time.Duration, unanswered int, known bool) {
	cal, _ := ctx.Value(connectionKey{}).(callerConn)
	if cal.socket == nil {
		return 0, 0, false
	}
	// Control only fails if this process has closed the connection, which ends the request.
	_ = cal.socket.Control(func(fd uintptr) {
		inf, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		silence = time.Duration(min(inf.Last_ack_recv, inf.Last_data_recv)) * time.Millisecond
		unanswered, known = int(inf.Probes)+int(inf.Retransmits), true
	})
	return silence, unanswered, known
}

// ProbeCaller makes the kernel send a keep-alive probe to the caller of a request, now if the connection was silent for a second and
// otherwise once it was. The kernel goes on every second until StopProbing. A caller whose kernel has closed the connection, but whose end
// of it was lost, answers with a reset, which ends the request.
//
// TCP_USER_TIMEOUT is not set: it would also end connections with an answer on its way after a cut that is shorter than the time,
// because the kernel does not retransmit often enough towards its end. A job whose answer is on its way has no tasks to cancel.
func ProbeCaller(ctx context.Context) { setProbes(ctx, waitingProbeSeconds) }

// StopProbing ends the frequent probes of ProbeCaller, so that connections without a request cost as little as before.
func StopProbing(ctx context.Context) { setProbes(ctx, idleProbeSeconds) }

func setProbes(ctx context.Context, seconds int) {
	cal, _ := ctx.Value(connectionKey{}).(callerConn)
	if cal.socket == nil {
		return
	}
	// Errors mean that the connection is closed. Setting the idle time again restarts the timer of the kernel.
	_ = cal.socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, seconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, seconds)
	})
}
