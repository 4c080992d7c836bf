package rgdispatcher

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgwire"
)

// callerHarness is an entry whose control goroutine is run by the test. One sidecar with 8 free cores is connected.
type callerHarness struct {
	pro   *Process
	sta   *State
	now   time.Time
	scope tally.TestScope
	logs  *observer.ObservedLogs
}

const testSidecar rgdispatch.SidecarConnID = 1

func newCallerHarness(t *testing.T) *callerHarness {
	t.Helper()
	cor, logs := observer.New(zap.InfoLevel)
	sco := tally.NewTestScope("", nil)
	har := &callerHarness{
		pro: &Process{log: zap.New(cor), scope: sco, mailbox: rgmailbox.New[Event]()}, now: rgclock.Now(), scope: sco, logs: logs,
		sta: &State{Callers: map[rgdispatch.CallerID]Caller{}},
	}
	_, own := connectTCP(t)
	conn := rgwire.StartNotificationConn(t.Context(), own)
	t.Cleanup(conn.Close)
	har.sta.Peers = map[uint64]*PeerConn{uint64(testSidecar): {Conn: conn, Sidecar: "side"}}
	dsp := &har.sta.Dispatch
	rgdispatch.Connect(dsp, har.now, testSidecar, "side", rgmodel.SidecarTimeOf(har.now))
	rgdispatch.UpdateExecutor(dsp, testSidecar, rgmodel.Executor{Service: "desk", Capacity: rgmodel.Resources{Cores: 8}})
	rgdispatch.UpdateReport(dsp, har.now, testSidecar, rgmodel.ExecutorReport{Usable: true, Allocatable: rgmodel.Resources{Cores: 8}}, 0)
	return har
}

func newJobRequest(id string) rgdispatch.Request {
	return rgdispatch.Request{
		ID: id, CallerWait: time.Second, Route: rgroute.Route{Service: "desk"},
		Steps: []rgdispatch.Step{{Count: 1, Requires: rgmodel.Resources{Cores: 1}}},
	}
}

// handleAll handles the events that are queued, as the control goroutine does.
func (har *callerHarness) handleAll() {
	for len(har.pro.mailbox.Events) > 0 {
		har.pro.handleOrDrop(har.sta, har.now, <-har.pro.mailbox.Events)
	}
}

// checkPlaced compares the number of tasks that were placed, and the jobs that are logged and counted as those of left callers.
func (har *callerHarness) checkPlaced(t *testing.T, placed int, left ...string) {
	t.Helper()
	if got := int(har.sta.Dispatch.Sidecars[testSidecar].LastTicket); got != placed {
		t.Errorf("%d tasks were placed, want %d", got, placed)
	}
	lins := har.logs.FilterMessage("job of a caller that has left").All()
	if len(lins) != len(left) {
		t.Fatalf("%d jobs of left callers logged, want %d", len(lins), len(left))
	}
	for i, lin := range lins {
		if _, logged := lin.ContextMap()["silence"]; !logged || lin.ContextMap()["job"] != left[i] {
			t.Errorf("attributes %v, want job %q and a silence", lin.ContextMap(), left[i])
		}
	}
	count := int64(0)
	if cnt, ok := har.scope.Snapshot().Counters()["jobsOfLeftCallers+"]; ok {
		count = cnt.Value()
	}
	if count != int64(len(left)) {
		t.Errorf("%d jobs of left callers counted, want %d", count, len(left))
	}
}

// TestCallerLeavesBeforePlacement guards against tasks that are placed for a caller that has left while its job waited for the
// control goroutine. The caller may have sent the job to another entry, whose tasks would then run at the same time.
func TestCallerLeavesBeforePlacement(t *testing.T) {
	tests := map[string]struct {
		// leave lets the caller leave. It gets the caller's end of the connection, and the function that ends its request.
		leave  func(con *net.TCPConn, cancel func()) error
		placed int
		want   []string
	}{
		"stays":       {leave: func(*net.TCPConn, func()) error { return nil }, placed: 1},
		"is detected": {leave: func(_ *net.TCPConn, cancel func()) error { cancel(); return nil }, want: []string{"job"}},
		"closes":      {leave: func(con *net.TCPConn, _ func()) error { return con.Close() }, want: []string{"job"}},
		"resets": {leave: func(con *net.TCPConn, _ func()) error {
			if err := con.SetLinger(0); err != nil {
				return err
			}
			return con.Close()
		}, want: []string{"job"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newCallerHarness(t)
			caller, own := connectTCP(t)
			ctx, cancel := context.WithCancel(rgserver.WithConnection(t.Context(), own))
			defer cancel()
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				har.pro.Submit(ctx, newJobRequest("job"))
			}()
			submitted := <-har.pro.mailbox.Events
			if err := tc.leave(caller, cancel); err != nil {
				t.Fatal(err)
			}
			if ctx.Err() == nil && tc.placed == 0 {
				awaitEnd(t, own)
			}
			har.pro.handleOrDrop(har.sta, har.now, submitted)
			har.checkPlaced(t, tc.placed, tc.want...)
			cancel()
			<-answered
			har.handleAll()
			if len(har.sta.Dispatch.Jobs) > 0 || len(har.sta.Callers) > 0 {
				t.Errorf("%d jobs and %d callers are left, want none", len(har.sta.Dispatch.Jobs), len(har.sta.Callers))
			}
		})
	}
}

// TestCallerLeavesBeforeSubmission guards against a job that is handed to the control goroutine although its request has ended, and
// against one that leaves no trace in the log because the control goroutine never saw it.
func TestCallerLeavesBeforeSubmission(t *testing.T) {
	har := newCallerHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	// A queue with room and an ended context are ready at the same time, so one attempt may succeed by chance.
	const attempts = 20
	var left []string
	for range attempts {
		left = append(left, "job")
		if ans := har.pro.Submit(ctx, newJobRequest("job")); ans.Verdict != rgmodel.NotRun || ans.Reason != rgmodel.ReasonCallerLeft {
			t.Errorf("verdict %v, reason %q, want notRun, callerLeft", ans.Verdict, ans.Reason)
		}
	}
	if got := len(har.pro.mailbox.Events); got > 0 {
		t.Errorf("%d events are queued, want none", got)
	}
	har.handleAll()
	har.checkPlaced(t, 0, left...)
}

// TestWaitingSubmission guards against a job that is placed although it was received before the entry was suspended, because the
// refusal of such jobs is over when the control goroutine takes it.
func TestWaitingSubmission(t *testing.T) {
	har := newCallerHarness(t)
	har.pro.detectSuspension(har.sta, har.now)
	answered := make(chan rgdispatch.SendAnswer, 1)
	go func() { answered <- har.pro.Submit(t.Context(), newJobRequest("job")) }()
	submitted := <-har.pro.mailbox.Events
	const suspension, backlog = time.Second, 100 * time.Millisecond
	har.now = rgclock.Now().Add(suspension)
	har.pro.detectSuspension(har.sta, har.now)
	for range 5 {
		har.now = har.now.Add(backlog)
		har.pro.detectSuspension(har.sta, har.now)
	}
	rgdispatch.RecordHeartbeat(&har.sta.Dispatch, har.now, testSidecar, rgmodel.SidecarTimeOf(har.now), time.Second)
	har.pro.handleOrDrop(har.sta, har.now, submitted)
	har.checkPlaced(t, 0)
	select {
	case ans := <-answered:
		if ans.Verdict != rgmodel.NotRun || ans.Reason != rgmodel.ReasonNotReady {
			t.Errorf("verdict %v, reason %q, want notRun, notReady", ans.Verdict, ans.Reason)
		}
	case <-time.After(time.Second):
		t.Error("the job was not answered")
	}
}

// connectTCP returns both ends of a connection over loopback.
func connectTCP(t *testing.T) (caller, own *net.TCPConn) {
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

// awaitEnd waits until the socket has received the end of its connection.
func awaitEnd(t *testing.T, con *net.TCPConn) {
	t.Helper()
	raw, err := con.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if num, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 5000); num != 1 || err != nil {
			t.Errorf("%d sockets with an end, error %v", num, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCallerLeavesBeforeNextPlacement guards against a task that is placed again, or a next step that is begun, for a caller whose
// end of the connection has arrived but has not been handled. An entry that was suspended reads first that its sidecars have lost its
// tasks, and would place them beside those of the entry that the caller has turned to.
func TestCallerLeavesBeforeNextPlacement(t *testing.T) {
	end := func(sts rgmodel.EndStatus) func(har *callerHarness) {
		return func(har *callerHarness) {
			har.pro.receive(har.sta, har.now, MessageReceived{ID: uint64(testSidecar), Message: rgwire.SidecarUpdate{
				Clock: rgmodel.SidecarTimeOf(har.now), NextWithin: time.Second,
				Ends: []rgmodel.TaskEnd{{Ticket: 1, Status: sts}},
			}})
		}
	}
	twoSteps := newJobRequest("job")
	twoSteps.Steps = append(twoSteps.Steps, rgdispatch.Step{Count: 1, DependsOn: []int{0}, Requires: rgmodel.Resources{Cores: 1}})
	tests := map[string]struct {
		request rgdispatch.Request
		// unusable makes the job wait for a sidecar.
		unusable bool
		stays    bool
		// run lets something happen after which a task can be placed.
		run    func(har *callerHarness)
		placed int
	}{
		"task lost":              {run: end(rgmodel.EndLost), placed: 1},
		"task returned":          {run: end(rgmodel.EndReturned), placed: 1},
		"task failed":            {run: end(rgmodel.EndFailed), placed: 1},
		"step done":              {request: twoSteps, run: end(rgmodel.EndSucceeded), placed: 1},
		"task lost, stays":       {stays: true, run: end(rgmodel.EndLost), placed: 2},
		"step done, stays":       {request: twoSteps, stays: true, run: end(rgmodel.EndSucceeded), placed: 2},
		"waits for a sidecar":    {unusable: true, run: (*callerHarness).makeUsable, placed: 0},
		"waits, stays":           {unusable: true, stays: true, run: (*callerHarness).makeUsable, placed: 1},
		"entry was suspended":    {run: (*callerHarness).suspend, placed: 1},
		"was suspended, stays":   {stays: true, run: (*callerHarness).suspend, placed: 1},
		"waiting task at a tick": {unusable: true, run: (*callerHarness).placeAtTick, placed: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newCallerHarness(t)
			har.sta.Dispatch.StartedAt = har.now
			rgdispatch.DetectSuspension(&har.sta.Dispatch, har.now)
			har.sta.Dispatch.Sidecars[testSidecar].Report.Usable = !tc.unusable
			if tc.request.ID == "" {
				tc.request = newJobRequest("job")
			}
			tc.request.Silence = time.Second
			caller, own := connectTCP(t)
			ctx := rgserver.WithConnection(t.Context(), own)
			rpl := make(chan rgdispatch.SendAnswer, 1)
			har.pro.handleOrDrop(har.sta, har.now, JobSubmitted{ID: 1, Caller: Caller{Context: ctx, Reply: rpl}, Request: tc.request})
			if !tc.stays {
				if err := caller.Close(); err != nil {
					t.Fatal(err)
				}
				awaitEnd(t, own)
			}
			tc.run(har)
			if got := int(har.sta.Dispatch.Sidecars[testSidecar].LastTicket); got != tc.placed {
				t.Errorf("%d tasks were placed, want %d", got, tc.placed)
			}
			if got := har.sta.Dispatch.Jobs["job"] != nil; got != tc.stays {
				t.Errorf("job is in progress: %v, want %v", got, tc.stays)
			}
			if got := len(rpl) == 1; got == tc.stays {
				t.Errorf("answered: %v, want %v", got, !tc.stays)
			}
			left := har.logs.FilterMessage("caller of a job in progress has left").FilterField(zap.Duration("silence", time.Second))
			if got := left.Len() == 1; got == tc.stays {
				t.Errorf("logged as left with the silence: %v, want %v", got, !tc.stays)
			}
		})
	}
}

// makeUsable lets the executor of the sidecar become usable.
func (har *callerHarness) makeUsable() {
	rep := har.sta.Dispatch.Sidecars[testSidecar].Report
	rep.Usable = true
	har.pro.receive(har.sta, har.now, MessageReceived{ID: uint64(testSidecar), Message: rgwire.SidecarUpdate{
		Clock: rgmodel.SidecarTimeOf(har.now), NextWithin: time.Second, Report: &rep,
	}})
}

// placeAtTick lets a tick place waiting tasks, and not the report by which the executor becomes usable.
func (har *callerHarness) placeAtTick() {
	har.sta.Dispatch.Sidecars[testSidecar].Report.Usable = true
	har.pro.checkJobs(har.sta, har.now)
}

// suspend lets the entry resume after it was suspended.
func (har *callerHarness) suspend() {
	har.now = har.now.Add(time.Second)
	har.pro.detectSuspension(har.sta, har.now)
}
