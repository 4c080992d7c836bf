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

// entryPeers keeps one connection to each other entry. It holds no decision state.
type entryPeers struct {
	mutex sync.Mutex
	peers map[string]*rgwire.Peer
}

// ask calls another entry over a kept connection.
func (ep *entryPeers) ask(ctx context.Context, pro *Process, ent rgmodel.Entry, msg rgwire.Message, reply any) error {
	per, err := ep.open(ctx, pro, ent.Address)
	if err != nil {
		return err
	}
	return per.Ask(ctx, msg, reply)
}

func (ep *entryPeers) open(ctx context.Context, pro *Process, adr string) (*rgwire.Peer, error) {
	ep.mutex.Lock()
	stale := ep.peers[adr]
	ep.mutex.Unlock()
	if stale != nil {
		select {
		case <-stale.Done:
		default:
			return stale, nil
		}
	}
	con, err := rgwire.Dial(ctx, adr, pro.identity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	per := rgwire.Serve(context.WithoutCancel(ctx), con, pro.serve)
	ep.mutex.Lock()
	defer ep.mutex.Unlock()
	if ep.peers == nil {
		ep.peers = map[string]*rgwire.Peer{}
	}
	if old := ep.peers[adr]; old != nil && old != stale {
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

// tellUsage tells the other entries what this one has admitted, at most once in UsageInterval. An empty message says
// that this entry is there and has admitted nothing.
func (pro *Process) tellUsage(work context.Context, sta *State, now time.Time) {
	if now.Sub(sta.LastUsageSent) < rgadmission.UsageInterval {
		return
	}
	sta.LastUsageSent = now
	ents := sta.Home.Ring.Ring.Entries
	msg := rgwire.Usage{
		Incarnation: pro.self.Incarnation,
		Teams:       rgadmission.UsageToSend(&sta.Home.Admission, sta.Home.Teams, len(ents), now),
	}
	for _, ent := range ents {
		if ent.Incarnation == pro.self.Incarnation {
			continue
		}
		pro.traffic.Go(func() {
			ctx, stop := context.WithTimeout(work, rgadmission.UsageInterval)
			defer stop()
			per, err := pro.entries.open(ctx, pro, ent.Address)
			if err != nil || per.Notify(ctx, msg) != nil {
				// The numbers are totals, so that the next one about a team makes up for this one.
				pro.scope.Counter("usageErrors").Inc(1)
			}
		})
	}
}
