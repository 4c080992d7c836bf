package rgdispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgwire"
)

// twiceConnected is an entry with connections to sidecars.
type twiceConnected struct {
	pro *Process
	sta *State
	now time.Time
}

func (twi *twiceConnected) connect(id uint64, name string) {
	twi.sta.Peers[id] = &PeerConn{Conn: rgwire.StartNotificationConn(context.Background(), discardConn{})}
	twi.receive(id, rgwire.SidecarHello{Name: name, Clock: rgmodel.SidecarTimeOf(twi.now)})
	twi.receive(id, rgwire.SidecarUpdate{Executor: &rgmodel.Executor{
		Incarnation: rgmodel.ExecutorIncarnation{ID: "i-1"}, Service: "desk", Capacity: rgmodel.Resources{Cores: 8},
	}})
}

// report sends a report which says that the runs of earlier connections have ended.
func (twi *twiceConnected) report(id uint64, usable bool) {
	twi.receive(id, rgwire.SidecarUpdate{
		Clock: rgmodel.SidecarTimeOf(twi.now), NextWithin: 10 * time.Second, LastTicket: 100,
		Report: &rgmodel.ExecutorReport{Usable: usable, Allocatable: rgmodel.Resources{Cores: 8}, Slowdown: 1, EarlierRunsEnded: true},
	})
}

func (twi *twiceConnected) receive(id uint64, msg rgwire.Message) {
	twi.pro.receive(twi.sta, twi.now, MessageReceived{ID: id, Message: msg})
}

// placed returns the connection over which the task is placed, or 0.
func (twi *twiceConnected) placed() uint64 {
	for con, sc := range twi.sta.Dispatch.Sidecars {
		if len(sc.Placed) > 0 {
			return uint64(con)
		}
	}
	return 0
}

// TestTwiceConnectedSidecar guards against a task that runs twice because a sidecar has two connections to one entry: the entry loses
// the connection over which the task is placed, and the sidecar, which still has it open, says over the other one that the runs of
// closed connections have ended.
func TestTwiceConnectedSidecar(t *testing.T) {
	tests := map[string]struct {
		// names are those of the sidecars that connect one after another, before the job arrives.
		names []string
		// reconnect connects the sidecar of the lost connection again.
		reconnect       bool
		wantPlacedAgain bool
		wantLines       int
	}{
		"another connection of the sidecar is open": {names: []string{"side-1", "side-1"}, wantLines: 1},
		"connected again after the loss":            {names: []string{"side-1"}, reconnect: true, wantPlacedAgain: true},
		"another sidecar":                           {names: []string{"side-1", "side-2"}},
		"connected again beside another connection": {names: []string{"side-1", "side-1"}, reconnect: true, wantLines: 2},
		"connected again, beside another sidecar":   {names: []string{"side-1", "side-2"}, reconnect: true, wantPlacedAgain: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			cor, logs := observer.New(zap.WarnLevel)
			twi := &twiceConnected{pro: &Process{log: zap.New(cor), scope: tally.NoopScope}, now: time.Unix(1000, 0)}
			twi.sta = &State{Peers: map[uint64]*PeerConn{}, Callers: map[rgdispatch.CallerID]Caller{}}
			twi.sta.Dispatch.Limits.MaxRunTimeAfterLoss = 1500 * time.Millisecond
			for i, nam := range tc.names {
				twi.connect(uint64(i+1), nam)
				twi.report(uint64(i+1), i == 0)
			}
			twi.pro.perform(twi.sta, twi.now, rgdispatch.Submit(&twi.sta.Dispatch, twi.now, 1, rgdispatch.Request{
				ID: "job", CallerWait: 10 * time.Second, Route: rgroute.Route{Service: "desk", MaxAttempts: 3},
				Steps: []rgdispatch.Step{{Count: 1, Requires: rgmodel.Resources{Cores: 1}, Estimate: 50 * time.Millisecond}},
			}))
			if got := twi.placed(); got != 1 {
				t.Fatalf("placed over connection %d, want 1", got)
			}
			twi.pro.disconnect(twi.sta, twi.now, 1)
			if tc.reconnect {
				twi.connect(9, tc.names[0])
				twi.report(9, true)
			}
			for i := range tc.names[1:] {
				twi.report(uint64(i+2), true)
			}
			if got := twi.placed() > 0; got != tc.wantPlacedAgain {
				t.Errorf("placed again %v, want %v", got, tc.wantPlacedAgain)
			}
			twi.now = twi.now.Add(1600 * time.Millisecond)
			for id := range twi.sta.Peers {
				twi.report(id, true)
			}
			twi.pro.perform(twi.sta, twi.now, rgdispatch.Tick(&twi.sta.Dispatch, twi.now))
			if twi.placed() == 0 {
				t.Error("not placed again after the longest run time")
			}
			if got := logs.FilterMessage("sidecar connected twice").Len(); got != tc.wantLines {
				t.Errorf("%d lines logged, want %d", got, tc.wantLines)
			}
		})
	}
}
