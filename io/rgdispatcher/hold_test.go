package rgdispatcher

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgsettings"
)

// TestHeldRequest guards against tasks that are placed for a caller that has left, because a cut delivers its request after a silence
// and the end of its connection milliseconds later. The caller may have sent the job to another entry, whose tasks would then run at the
// same time. It also guards against callers that wait on a connection that was in use.
func TestHeldRequest(t *testing.T) {
	const resend = 1300 * time.Millisecond
	closes := (*net.TCPConn).Close
	tests := map[string]struct {
		silence time.Duration
		// end is what the caller does while its request is held, if it is.
		end    func(con *net.TCPConn) error
		reload time.Duration
		held   bool
		placed int
		want   []string
	}{
		"in use":                   {placed: 1},
		"silent":                   {silence: resend, held: true, placed: 1},
		"silent, leaves":           {silence: resend, end: closes, held: true, want: []string{"job"}},
		"in use, leaves later":     {end: closes, placed: 1},
		"silent by the settings":   {silence: resend, reload: 2 * resend, placed: 1},
		"silent by other settings": {silence: resend / 2, reload: resend / 2, end: closes, held: true, want: []string{"job"}},
		"silent, closes its write": {silence: resend, end: (*net.TCPConn).CloseWrite, held: true, want: []string{"job"}},
		"silent, resets": {silence: resend, end: func(con *net.TCPConn) error {
			if err := con.SetLinger(0); err != nil {
				return err
			}
			return con.Close()
		}, held: true, want: []string{"job"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newCallerHarness(t)
			har.pro.applySettings(withResendDelay(har, resend))
			if tc.reload > 0 {
				set := har.pro.settings
				set.ResendDelay.Duration = tc.reload
				har.pro.handle(har.sta, har.now, SettingsReloaded{Settings: set})
			}
			caller, own := connectTCP(t)
			clk := har.now
			con := rgserver.Measure(own, har.now, func() time.Time { return clk })
			clk = clk.Add(tc.silence)
			exchangeByte(t, caller, con)
			var heldSince time.Time
			har.pro.sleep = func(context.Context, time.Duration) bool {
				heldSince = rgclock.Now()
				if tc.end != nil {
					if err := tc.end(caller); err != nil {
						t.Error(err)
					}
					awaitEnd(t, own)
				}
				return true
			}
			ctx, cancel := context.WithCancel(rgserver.WithConnection(t.Context(), con))
			var submission sync.WaitGroup
			submission.Go(func() { har.pro.Submit(ctx, newJobRequest("job")) })
			evt := (<-har.pro.mailbox.Events).(JobSubmitted)
			if held := !heldSince.IsZero(); held != tc.held {
				t.Errorf("held: %v, want %v", held, tc.held)
			} else if held && evt.Request.Received.After(heldSince) {
				t.Error("the deadline counts from the end of the hold, not from the receipt")
			}
			har.pro.handleOrDrop(har.sta, har.now, evt)
			har.checkPlaced(t, tc.placed, tc.want...)
			if got := har.logs.FilterField(zap.Duration("silence", tc.silence)).Len(); got != len(tc.want) {
				t.Errorf("%d lines with the silence, want %d", got, len(tc.want))
			}
			cancel()
			submission.Wait()
		})
	}
}

// TestLeavesWhileHeld guards against a job that stays in the entry although its caller leaves while the request is held.
func TestLeavesWhileHeld(t *testing.T) {
	har := newCallerHarness(t)
	har.pro.applySettings(withResendDelay(har, time.Nanosecond))
	caller, own := connectTCP(t)
	con := rgserver.Measure(own, har.now, func() time.Time { return har.now })
	exchangeByte(t, caller, con)
	// Without a hold, the caller leaves later.
	ctx, cancel := context.WithTimeout(rgserver.WithConnection(t.Context(), con), time.Second)
	defer cancel()
	har.pro.sleep = func(ctx context.Context, _ time.Duration) bool {
		cancel()
		<-ctx.Done()
		return false
	}
	if ans := har.pro.Submit(ctx, newJobRequest("job")); ans.Verdict != rgmodel.NotRun || ans.Reason != rgmodel.ReasonCallerLeft {
		t.Errorf("verdict %v, reason %q, want notRun, callerLeft", ans.Verdict, ans.Reason)
	}
	har.handleAll()
	har.checkPlaced(t, 0, "job")
	if count := har.scope.Snapshot().Counters()["requestsHeld+"]; count == nil || count.Value() != 1 {
		t.Errorf("requests held: %v, want 1", count)
	}
}

func withResendDelay(har *callerHarness, dur time.Duration) *State {
	har.pro.settings = rgsettings.PlatformProcess{ResendDelay: rgmodel.Duration{Duration: dur}}
	return har.sta
}

// exchangeByte sends a byte from the caller, which the entry reads.
func exchangeByte(t *testing.T, caller, own net.Conn) {
	t.Helper()
	if _, err := caller.Write([]byte{'P'}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(own, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}
