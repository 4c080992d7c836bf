package rgentry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgwire"
)

// entryPeers holds one connection to each other entry. Traffic goroutines share it, so it holds no control state.
type entryPeers struct {
	mutex sync.Mutex
	peers map[string]*rgwire.Peer
}

// request sends a message to another entry and waits for the reply.
func (ep *entryPeers) request(ctx context.Context, pro *Process, ent rgmodel.Entry, msg rgwire.Message, reply any) error {
	per, err := ep.connect(ctx, pro, ent.Address)
	if err != nil {
		return err
	}
	return per.CallIdempotent(ctx, msg, reply)
}

// connect returns the open connection to an address, or dials if there is none.
func (ep *entryPeers) connect(ctx context.Context, pro *Process, adr string) (*rgwire.Peer, error) {
	ep.mutex.Lock()
	cached := ep.peers[adr]
	ep.mutex.Unlock()
	if cached != nil {
		select {
		case <-cached.Done:
		default:
			return cached, nil
		}
	}
	con, err := rgwire.Dial(ctx, adr, pro.identity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	per := rgwire.ServeRequests(context.WithoutCancel(ctx), con, pro.serve)
	ep.mutex.Lock()
	defer ep.mutex.Unlock()
	if ep.peers == nil {
		ep.peers = map[string]*rgwire.Peer{}
	}
	if old := ep.peers[adr]; old != nil && old != cached {
		per.Close()
		return old, nil
	}
	ep.peers[adr] = per
	return per, nil
}

func (ep *entryPeers) close() {
	ep.mutex.Lock()
	defer ep.mutex.Unlock()
	for _, per := range ep.peers {
		per.Close()
	}
}

// sendUsage sends the other entries what this one has admitted, at most once in UsageInterval. An empty message means
// that this entry is alive and has admitted nothing.
func (pro *Process) sendUsage(workCtx context.Context, sta *State, now time.Time) {
	if now.Sub(sta.LastUsageSent) < rgadmission.UsageInterval {
		return
	}
	sta.LastUsageSent = now
	ents := sta.Home.Ring.Ring.Entries
	msg := rgwire.QuotaUsage{
		Incarnation: pro.self.Incarnation,
		Teams:       rgadmission.UsageToSend(&sta.Home.Admission, sta.Home.Teams, len(ents), now),
	}
	for _, ent := range ents {
		if ent.Incarnation == pro.self.Incarnation {
			continue
		}
		pro.traffic.Go(func() {
			ctx, stop := context.WithTimeout(workCtx, rgadmission.UsageInterval)
			defer stop()
			per, err := pro.entries.connect(ctx, pro, ent.Address)
			if err != nil || per.Notify(ctx, msg) != nil {
				// The numbers are totals, so the next message about a team replaces a lost one.
				pro.scope.Counter("usageErrors").Inc(1)
			}
		})
	}
}
