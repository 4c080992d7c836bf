package rgorders

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgexecutor"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgwire"
)

// nested is deeper than the limit of encoding/json.
var nested = strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

// FuzzEntryMessage guards against a message of an entry that makes a sidecar panic, at once or at the next tick.
func FuzzEntryMessage(f *testing.F) {
	for _, msg := range [][2]string{
		{"pulse", `{"issued":9223372036854775807,"every":-1,"entries":[{"address":"a:1"},{}],"left":["b:1"],"full":true}`},
		{"place", `{"issued":1000000,"deadline":1002000,"service":"desk","needs":{"cores":1},` +
			`"tasks":[{"ticket":1,"name":{"job":"j"},"estimate":-1}]}`},
		{"place", `{"issued":1000000,"deadline":-9223372036854775808,"service":"desk","slack":-9223372036854775808,` +
			`"needs":{"cores":-1e308},"tasks":[{},{}]}`},
		{"pulse", `{"entries":[{"name":"e","address":"10.0.0.1:70000"},{"name":"e","address":""},{"name":"","address":"a:1"}]}`},
		{"pulse", `{"issued":36893488147419103232}`}, {"pulse", `{"every":9223372036854775807}`}, {"pulse", `{"entries":` + nested + `}`},
		{"place", nested}, {"place", `{"needs":{"cores":1e999}}`},
		{"place", `{"deadline":9223372036854775807,"slack":9223372036854775807}`},
		{"place", `{"tasks":null}`}, {"recall", `{"issued":-1,"tickets":[0,1,18446744073709551615]}`},
		{"gossip", `{}`}, {"enlist", `{}`}, {"pulse", `null`},
	} {
		f.Add(msg[0], []byte(msg[1]))
	}
	f.Fuzz(func(_ *testing.T, method string, raw []byte) {
		msg, err := rgwire.Decode(method, raw)
		if err != nil {
			return
		}
		peer, own := net.Pipe()
		defer func() { _ = peer.Close() }()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		conn := rgwire.StartNotificationConn(ctx, own)
		defer conn.Close()
		pro := &Process{log: zap.NewNop(), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
		pro.executor = silentExecutor{}
		sta := &State{Conns: map[rgexecutor.EntryConnID]*EntryConn{}, StopDial: map[string]context.CancelFunc{}, Dropped: map[string]bool{}}
		now := time.Unix(1000, 0)
		pro.addConnection(sta, now, EntryConnected{Address: "e:1", ID: 1, Conn: conn})
		rgexecutor.UpdateExecutor(&sta.ExecutorState, now, rgmodel.Executor{
			Incarnation: rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: 7}, Service: "desk",
			Capacity: rgmodel.Resources{Cores: 8, MemoryBytes: 1 << 30}, Clock: 5000, Sequence: 1,
		})
		sta.ExecutorState.Phase, sta.ExecutorState.HadControl = rgexecutor.PhaseServing, true
		for range 2 {
			pro.receive(ctx, sta, now, MessageReceived{Conn: 1, Message: msg})
			pro.sendUpdates(sta, now)
			now = now.Add(rgexecutor.TickInterval)
			pro.perform(ctx, sta, rgexecutor.Tick(&sta.ExecutorState, now))
		}
		pro.removeConnection(ctx, sta, now, EntryDisconnected{Address: "e:1", ID: 1})
		stop()
		pro.traffic.Wait()
	})
}

// silentExecutor is an executor that replies to no order.
type silentExecutor struct{}

// Send returns no reply.
func (silentExecutor) Send(context.Context, rgmodel.Order) rgmodel.OrderReply {
	return rgmodel.OrderReply{}
}

// CloseConn does nothing.
func (silentExecutor) CloseConn(rgmodel.ExecutorConnID) {}
