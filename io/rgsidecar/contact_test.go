package rgsidecar

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rghome"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgstandin"
	"ragwortgap/io/rgwire"
)

// entryStandIn answers a sidecar like an entry that has adopted the ring.
type entryStandIn struct {
	entry rgmodel.Entry
	ring  rgmodel.Ring
	// answer holds back the reply to an announcement until it is closed.
	answer chan struct{}
	// announced gets the connection over which the sidecar has announced itself.
	announced chan *rgwire.Peer
}

// listen returns a listener for an entry of the given name, and the entry.
func listen(t *testing.T, name string) (net.Listener, rgmodel.Entry) {
	t.Helper()
	lis, err := rgwire.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis, rgmodel.Entry{Name: name, Incarnation: name + "-1", Address: lis.Addr().String()}
}

func (esi entryStandIn) accept(ctx context.Context, lis net.Listener) {
	for {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		rgwire.ServeRequests(ctx, con, esi.serve)
	}
}

func (esi entryStandIn) serve(ctx context.Context, per *rgwire.Peer, msg rgwire.Message) (any, error) {
	switch msg.(type) {
	case rgwire.SnapshotRequest:
		return rgwire.SnapshotReply{Snapshot: rghome.Snapshot{Ring: esi.ring}}, nil
	case rgwire.Announce:
		esi.announced <- per
		select {
		case <-esi.answer:
		case <-ctx.Done():
		}
		return rgwire.AnnounceReply{Entry: esi.entry, Ring: esi.ring}, nil
	case rgwire.Report:
		return rgwire.ReportReply{}, nil
	default:
		return nil, errors.NotSupportedf("message %T", msg)
	}
}

// TestContactBringsRing guards against starting a batch of an old home because contact with another entry is recorded before
// the ring in that entry's reply is adopted: the new home in that ring does not wait for the sidecar and may run the task too.
func TestContactBringsRing(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	upstreamLog := &rgstandin.StartLog{}
	upstream := httptest.NewServer(&rgstandin.Upstream{Log: upstreamLog})
	oldListener, oldHome := listen(t, "oldHome")
	newListener, newHome := listen(t, "newHome")
	oldEntry := entryStandIn{
		entry: oldHome, ring: rgmodel.Ring{Generation: 1, Entries: []rgmodel.Entry{newHome, oldHome}},
		answer: make(chan struct{}), announced: make(chan *rgwire.Peer, 1),
	}
	close(oldEntry.answer)
	newEntry := entryStandIn{
		entry: newHome, ring: rgmodel.Ring{Generation: 2, Entries: []rgmodel.Entry{newHome}},
		answer: make(chan struct{}), announced: make(chan *rgwire.Peer, 1),
	}
	go oldEntry.accept(ctx, oldListener)
	go newEntry.accept(ctx, newListener)
	metrics := tally.NewTestScope("", nil)
	sid, err := Start(ctx, rgsettings.Sidecar{
		Name: "sidecar0", Entries: []string{oldHome.Address}, Upstream: upstream.URL, Slots: 1, Connections: 1, MaxResponseBytes: 1 << 10,
	}, zap.NewNop(), metrics)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-sid.Done
		upstream.Close()
	})

	per := <-oldEntry.announced
	replied := make(chan rgwire.BatchReply, 1)
	go func() {
		bat := rgmodel.Batch{
			ID: rgmodel.SubmissionID(uuid.Must(uuid.NewV7()).String()), Generation: 1, Remaining: rgmodel.Duration{Duration: testTimeout},
			Tasks: []rgmodel.Task{{Payload: rgmodel.Payload("1")}},
		}
		var rep rgwire.BatchReply
		if err := per.CallIdempotent(ctx, rgwire.StartBatch{Batch: bat}, &rep); err != nil {
			t.Errorf("batch: %v", err)
		}
		replied <- rep
	}()
	waitUntil(t, func() bool {
		cnt, ok := metrics.Snapshot().Counters()["batches+"]
		return ok && cnt.Value() == 1
	})
	close(newEntry.answer)
	if rep := <-replied; rep.Refused != rgmodel.ReasonStaleGeneration {
		t.Errorf("reply %+v, want a refusal for the stale generation", rep)
	}
	if got := len(upstreamLog.All()); got != 0 {
		t.Errorf("%d tasks started, want none", got)
	}
}
