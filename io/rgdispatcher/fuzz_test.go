package rgdispatcher

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgroute"
	"ragwortgap/io/rgmailbox"
	"ragwortgap/io/rgwire"
)

// nested is deeper than the limit of encoding/json.
var nested = strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

// FuzzPeerMessage guards against a message of a sidecar or of another entry that makes an entry panic, or that makes a later
// message or job panic.
func FuzzPeerMessage(f *testing.F) {
	for _, msg := range [][2]string{
		{"enlist", `{"name":"side-1","clock":-9223372036854775808}`},
		{"progress", `{"clock":1,"next":-1,"received":18446744073709551615,"load":{"usable":true,"waits":[-1],"stretch":-1e308},` +
			`"ends":[{"ticket":1,"how":9}]}`},
		{"progress", `{"executor":{"service":"desk","capacity":{"cores":-1},"labels":[""]},` +
			`"load":{"cleared":true,"room":{"cores":1e308}}}`},
		{"meet", `{"entry":{"name":"","address":""}}`},
		{"gossip", `{"from":{"address":"x"},"version":18446744073709551615,"config":"AA=="}`},
		{"gossip", `{"entries":[{"address":""},{"address":"a:1","name":"e"}],"left":["a:1",""],"full":true}`},
		{"gossip", `{"entries":[{"name":"e","address":"10.0.0.1:70000"},{"name":"e","address":"0.0.0.0:1"},{"name":"e","address":7}]}`},
		{"gossip", `{"version":36893488147419103232}`}, {"gossip", `{"version":-1}`}, {"gossip", `{"entries":` + nested + `}`},
		{"meet", nested}, {"progress", `{"load":{"stretch":1e999}}`}, {"progress", `{"next":9223372036854775807,"load":{"usable":true}}`},
		{"ask", `{}`}, {"pulse", `{}`},
		{"place", `{"tasks":null}`}, {"recall", `{}`}, {"unknown", `{}`}, {"progress", `null`}, {"enlist", `[]`},
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
		pro := &Process{log: zap.NewNop(), scope: tally.NoopScope, mailbox: rgmailbox.New[Event]()}
		conn := rgwire.StartNotificationConn(ctx, own)
		defer conn.Close()
		sta := &State{StopDial: map[string]context.CancelFunc{}, Callers: map[rgdispatch.CallerID]Caller{}}
		sta.Peers = map[uint64]*PeerConn{1: {Conn: conn}, 2: {Conn: conn}}
		now := time.Unix(1000, 0)
		hello, _ := rgwire.Decode("enlist", []byte(`{"name":"side-2","clock":1}`))
		pro.receive(sta, now, MessageReceived{ID: 2, Message: hello})
		for range 2 {
			pro.receive(sta, now, MessageReceived{ID: 1, Message: msg})
			pro.receive(sta, now, MessageReceived{ID: 2, Message: msg})
			pro.perform(sta, now, rgdispatch.Submit(&sta.Dispatch, now, 1, rgdispatch.Request{
				ID: "job", CallerWait: time.Second, Route: rgroute.Route{Service: "desk"}, Steps: []rgdispatch.Step{{Count: 3}},
			}))
			now = now.Add(rgdispatch.TickInterval)
			pro.perform(sta, now, rgdispatch.Tick(&sta.Dispatch, now))
		}
		pro.disconnect(sta, now, 1)
		pro.disconnect(sta, now, 2)
	})
}
