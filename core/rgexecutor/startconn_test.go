package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// ordersIn returns the start orders and the polls that open a connection among the effects, and the closed connections.
func ordersIn(efs []Effect) (starts []rgmodel.StartOrder, opens []rgmodel.PollOrder, closed []rgmodel.ExecutorConnID) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case CloseConn:
			closed = append(closed, eff.Conn)
		case SendOrder:
			switch ord := eff.Order.(type) {
			case rgmodel.StartOrder:
				starts = append(starts, ord)
			case rgmodel.PollOrder:
				if ord.Conn != 0 {
					opens = append(opens, ord)
				}
			}
		}
	}
	return starts, opens, closed
}

// TestStartConn guards against a start order that is carried out by a next incarnation of another kind: the executor has restarted under
// its id since the sidecar last heard of it, an order names an incarnation by its id only, and a process that is short of time may handle
// an earlier reply late. A start needs a connection over which the known incarnation has replied, however long ago.
func TestStartConn(t *testing.T) {
	known, last := newExecutor(2).Incarnation, newExecutor(1).Incarnation
	tests := map[string]struct {
		conns []StartConn
		idle  time.Duration
		// announced is set if a heartbeat has announced the next incarnation.
		announced bool
		// wantConn is the connection of the start, or zero if a poll has to open one first.
		wantConn  rgmodel.ExecutorConnID
		wantOpens int
	}{
		"no connection":                    {wantOpens: 1},
		"connection":                       {conns: []StartConn{{ID: 1, Incarnation: known}}, wantConn: 1},
		"connection, idle for long":        {conns: []StartConn{{ID: 1, Incarnation: known}}, idle: time.Minute, wantConn: 1},
		"connection to the last one":       {conns: []StartConn{{ID: 1, Incarnation: last}}, wantOpens: 1},
		"connection to the last one, both": {conns: []StartConn{{ID: 1, Incarnation: last}, {ID: 2, Incarnation: known}}, wantConn: 2},
		"order in flight":                  {conns: []StartConn{{ID: 1, Incarnation: known, Busy: true}}, wantOpens: 1},
		"poll in flight":                   {conns: []StartConn{{ID: 1, Busy: true}}},
		"next incarnation is announced":    {conns: []StartConn{{ID: 1, Incarnation: known}}, announced: true, wantOpens: 1},
		"no connection, has just replied":  {idle: time.Millisecond, wantOpens: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(2))
			har.sta.StartConns, har.sta.LastStartConn = tc.conns, 10
			har.now = har.now.Add(tc.idle)
			RecordHeartbeat(&har.sta, testConn, har.now)
			if tc.announced {
				har.announce(newExecutor(3))
			}
			har.takeEffects()
			har.place("job", 1)
			starts, opens, _ := ordersIn(har.takeEffects())
			if len(opens) != tc.wantOpens || len(starts) > 0 != (tc.wantConn != 0) {
				t.Fatalf("%d starts and %d polls, want %d polls", len(starts), len(opens), tc.wantOpens)
			}
			for _, ord := range starts {
				if ord.Conn != tc.wantConn || ord.Incarnation != known {
					t.Errorf("start %+v, want connection %d", ord, tc.wantConn)
				}
			}
			for _, ord := range opens {
				if ord.LeaseEnd != 0 || ord.Wait != 0 {
					t.Errorf("poll %+v renews the lease, or waits, before it is known which incarnation is there", ord)
				}
			}
		})
	}
}

// TestOpenedStartConn guards against a start over a connection that does not belong to the known incarnation, and against a task that waits
// although the incarnation has replied.
func TestOpenedStartConn(t *testing.T) {
	tests := map[string]struct {
		reply      rgmodel.OrderReply
		wantStarts int
		wantClosed bool
		wantPhase  Phase
	}{
		"known incarnation": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 5000, StartedMillis: 2}, wantStarts: 1, wantPhase: PhaseServing,
		},
		"known incarnation, reply overtaken": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 4000, StartedMillis: 2}, wantStarts: 1, wantPhase: PhaseServing,
		},
		"next incarnation": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 5000, StartedMillis: 3}, wantPhase: PhaseFencing,
		},
		"no start time, clock goes on": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 5000}, wantStarts: 1, wantPhase: PhaseServing,
		},
		"no start time, clock has started anew": {
			reply: rgmodel.OrderReply{Replied: true, Clock: 10}, wantClosed: true, wantPhase: PhaseServing,
		},
		"another executor": {
			reply:      rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation},
			wantClosed: true,
		},
		"fenced":   {reply: rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalFenced}, wantClosed: true, wantPhase: PhaseFencing},
		"no reply": {wantClosed: true, wantPhase: PhaseServing},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(2))
			har.sta.StartConns = nil
			har.place("job", 1)
			_, opens, _ := ordersIn(har.takeEffects())
			if len(opens) != 1 {
				t.Fatalf("%d polls, want 1", len(opens))
			}
			starts, _, closed := ordersIn(HandlePollReply(&har.sta, har.now, opens[0], tc.reply))
			if len(starts) != tc.wantStarts || len(closed) > 0 != tc.wantClosed || har.sta.Phase != tc.wantPhase {
				t.Errorf("%d starts, closed %v, phase %d, want %+v", len(starts), closed, har.sta.Phase, tc)
			}
			for _, ord := range starts {
				if ord.Conn != opens[0].Conn {
					t.Errorf("start over connection %d, opened %d", ord.Conn, opens[0].Conn)
				}
			}
		})
	}
}

// TestFailedPollBeforeStart guards against a task that waits for an executor that is gone, and against polls that keep both sides busy
// while they fail at once.
func TestFailedPollBeforeStart(t *testing.T) {
	tests := map[string]struct {
		reply rgmodel.OrderReply
		took  time.Duration
		// wantPoll is set if the executor is polled again at once.
		wantPoll     bool
		wantReturned bool
	}{
		"nothing listens": {reply: rgmodel.OrderReply{ConnectionRefused: true}, took: time.Millisecond, wantReturned: true},
		"fails at once":   {took: time.Millisecond},
		"no reply":        {took: silentPollInterval, wantPoll: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.excludeLateStarts()
			har.sta.Polls, har.sta.StartConns = nil, nil
			har.now = har.now.Add(time.Second)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.placeOne(returnTestSlack, 0)
			starts, opens, _ := ordersIn(har.takeEffects())
			if len(starts) != 0 || len(opens) != 1 {
				t.Fatalf("%d starts and %d polls, want a poll", len(starts), len(opens))
			}
			har.now = har.now.Add(tc.took)
			har.efs = HandlePollReply(&har.sta, har.now, opens[0], tc.reply)
			_, again, closed := ordersIn(har.efs)
			if polled := len(again) > 0; polled != tc.wantPoll || len(closed) != 1 {
				t.Errorf("polled again: %v, want %v; %d connections closed", polled, tc.wantPoll, len(closed))
			}
			if tc.wantReturned {
				checkEnd(t, har, rgmodel.EndReturned, 0)
			}
		})
	}
}

// TestUnsentStart guards against a task that counts as lost although its start order was not sent, because the connection had ended, and
// against one that is started although it must not be any more.
func TestUnsentStart(t *testing.T) {
	tests := map[string]struct {
		// before happens between the start order and its reply.
		before func(har *harness)
		// conns is the number of connections that are left.
		conns        int
		wantStarts   int
		wantOpens    int
		wantReturned bool
	}{
		"other connections":   {conns: 1, wantStarts: 1},
		"no other connection": {wantOpens: 1},
		"executor drains": {
			conns: 1, wantReturned: true, before: func(har *harness) { har.sta.Executor.Draining = true },
		},
		"sidecar drains": {
			conns: 1, wantReturned: true, before: func(har *harness) { har.efs = Drain(&har.sta) },
		},
		"entry has cancelled": {
			conns: 1, wantReturned: true, before: func(har *harness) { Cancel(&har.sta, har.now, testConn, []rgmodel.Ticket{1}) },
		},
		"entry is disconnected": {
			conns: 1, wantReturned: true, before: func(har *harness) { Disconnect(&har.sta, har.now, testConn) },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.sta.StartConns = har.sta.StartConns[:tc.conns+1]
			har.placeOne(time.Second, 0)
			starts, _, _ := ordersIn(har.takeEffects())
			if len(starts) != 1 {
				t.Fatalf("%d starts, want 1", len(starts))
			}
			if tc.before != nil {
				tc.before(har)
			}
			har.efs = HandleStartReply(&har.sta, har.now, starts[0], rgmodel.OrderReply{ConnectionEnded: true})
			again, opens, closed := ordersIn(har.efs)
			if len(again) != tc.wantStarts || len(opens) != tc.wantOpens || len(closed) != 1 || closed[0] != starts[0].Conn {
				t.Errorf("%d starts, %d polls, closed %v, want %+v", len(again), len(opens), closed, tc)
			}
			for _, run := range har.sta.Runs {
				if run.AcceptedTask.UnrefusedStarts != 1 {
					t.Errorf("%d unrefused starts, want 1", run.AcceptedTask.UnrefusedStarts)
				}
			}
			if tc.wantReturned {
				checkEnd(t, har, rgmodel.EndReturned, 0)
			}
			if !tc.wantReturned && har.takeLossReports() {
				t.Error("task is reported as lost")
			}
		})
	}
}

// TestStartConnLimit guards against connections without bound, and against connections that are kept although an order over them got no
// reply or their incarnation has ended.
func TestStartConnLimit(t *testing.T) {
	exe := newExecutor(1)
	exe.Capacity.Cores = 100
	har := newHarnessOf(t, exe)
	har.sta.StartConns = nil
	har.place("job", 50)
	_, opens, _ := ordersIn(har.takeEffects())
	if len(opens) != maxStartConns {
		t.Fatalf("%d connections are opened for 50 tasks, want %d", len(opens), maxStartConns)
	}
	var starts []rgmodel.StartOrder
	for _, ord := range opens {
		ord, _, _ := ordersIn(HandlePollReply(&har.sta, har.now, ord, rgmodel.OrderReply{Replied: true, Clock: 5000, StartedMillis: 1}))
		starts = append(starts, ord...)
	}
	for i := 0; i < len(starts); i++ {
		more, again, _ := ordersIn(HandleStartReply(&har.sta, har.now, starts[i], har.acceptedReply()))
		if len(again) > 0 {
			t.Fatal("connections are opened although others are free")
		}
		starts = append(starts, more...)
	}
	if len(starts) != 50 || len(har.sta.StartConns) != maxStartConns {
		t.Errorf("%d starts over %d connections, want 50 over %d", len(starts), len(har.sta.StartConns), maxStartConns)
	}
	har.replyFromNewIncarnation(true)
	if len(har.sta.StartConns) != 0 {
		t.Errorf("%d connections are left after a restart", len(har.sta.StartConns))
	}
}
