package rgentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
)

// maintainLease keeps the entry's leased key in the store until ctx ends, and then revokes the lease.
func (pro *Process) maintainLease(ctx, workCtx context.Context) {
	ttl := pro.settings.LeaseTime.Duration
	lease := ""
	for ctx.Err() == nil {
		if lease == "" {
			lease = pro.acquireLease(ctx)
		} else if err := pro.store.Renew(ctx, lease); errors.Is(err, errors.NotFound) {
			pro.log.Warn("lease expired")
			lease = ""
			continue
		} else if err != nil {
			pro.scope.Counter("storeErrors").Inc(1)
		}
		pro.renewRingLease(ctx)
		rgclock.Sleep(ctx, ttl/3)
	}
	if lease != "" {
		revokeCtx, stop := context.WithTimeout(workCtx, callTimeout)
		defer stop()
		if err := pro.store.Revoke(revokeCtx, lease); err != nil {
			pro.log.Warn("failed to revoke lease", zap.Error(err))
		}
	}
}

// renewRingLease reads the ring from the store, so that for RingLeaseTime this entry is certain to be the home of its ids.
func (pro *Process) renewRingLease(ctx context.Context) {
	sent := time.Now()
	itm, err := pro.store.Get(ctx, RingKey)
	if err != nil {
		return
	}
	rng, err := decodeRing(itm.Value)
	if err != nil {
		// The watch of the store logs it.
		return
	}
	pro.mailbox.Send(ctx, RingLeaseRenewed{Ring: rng, Sent: sent})
}

// acquireLease writes the entry's key under a new lease and returns the lease, or an empty string if that failed.
func (pro *Process) acquireLease(ctx context.Context) string {
	raw, err := json.Marshal(pro.self)
	if err != nil {
		pro.log.Error("failed to encode entry", zap.Error(err))
		return ""
	}
	lea, err := pro.store.Grant(ctx, pro.settings.LeaseTime.Duration)
	if err != nil {
		pro.scope.Counter("storeErrors").Inc(1)
		return ""
	}
	key := EntryKeyPrefix + pro.self.Name
	wri := rgstore.Write{Value: raw, Lease: lea.ID}
	res := pro.store.Put(ctx, key, wri)
	if con, ok := res.(rgstore.Conflicted); ok {
		// The key of an earlier incarnation may still exist, for up to the lease time after its end.
		wri.Expected = con.Current.Version
		res = pro.store.Put(ctx, key, wri)
	}
	if _, ok := res.(rgstore.Written); !ok {
		pro.scope.Counter("storeErrors").Inc(1)
		return ""
	}
	return lea.ID
}
