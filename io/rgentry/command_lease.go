package rgentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
)

// keepLease holds the entry's leased key until ctx ends, and then gives it back.
func (pro *Process) keepLease(ctx, work context.Context) {
	ttl := pro.settings.LeaseTime.Duration
	lease := ""
	for ctx.Err() == nil {
		if lease == "" {
			lease = pro.takeLease(ctx)
		} else if err := pro.store.Renew(ctx, lease); errors.Is(err, errors.NotFound) {
			pro.log.Warn("lease expired")
			lease = ""
			continue
		} else if err != nil {
			pro.scope.Counter("storeErrors").Inc(1)
		}
		pro.checkRing(ctx)
		rgclock.Pause(ctx, ttl/3)
	}
	if lease != "" {
		giveBack, stop := context.WithTimeout(work, callTimeout)
		defer stop()
		if err := pro.store.Revoke(giveBack, lease); err != nil {
			pro.log.Warn("lease not released", zap.Error(err))
		}
	}
}

// checkRing reads the ring from the store, so that this entry can be certain for a while to be the home of its ids.
func (pro *Process) checkRing(ctx context.Context) {
	sent := time.Now()
	itm, err := pro.store.Get(ctx, KeyRing)
	if err != nil {
		return
	}
	var rng rgmodel.Ring
	if err := json.Unmarshal(itm.Value, &rng); err != nil {
		pro.log.Error("ring not readable", zap.Error(err))
		return
	}
	pro.tell(ctx, RingLeaseRenewed{Ring: rng, Sent: sent})
}

// takeLease writes the entry's key under a new lease and returns the lease, or nothing if the store did not answer.
func (pro *Process) takeLease(ctx context.Context) string {
	raw, err := json.Marshal(pro.self)
	if err != nil {
		pro.log.Error("encode entry", zap.Error(err))
		return ""
	}
	lea, err := pro.store.Grant(ctx, pro.settings.LeaseTime.Duration)
	if err != nil {
		pro.scope.Counter("storeErrors").Inc(1)
		return ""
	}
	key := KeyEntries + pro.self.Name
	wri := rgstore.Write{Value: raw, Lease: lea.ID}
	res := pro.store.Put(ctx, key, wri)
	if con, ok := res.(rgstore.Conflicted); ok {
		// The key of an earlier incarnation may outlive it by the lease time.
		wri.Expected = con.Current.Version
		res = pro.store.Put(ctx, key, wri)
	}
	if _, ok := res.(rgstore.Written); !ok {
		pro.scope.Counter("storeErrors").Inc(1)
		return ""
	}
	return lea.ID
}
