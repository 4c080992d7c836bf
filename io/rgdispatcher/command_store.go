package rgdispatcher

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

const (
	// EntryPrefix is where entries announce themselves in the store.
	EntryPrefix = "ragwortgap/entries/"
	// leaseTime is how long an announcement outlives its entry.
	leaseTime = 5 * time.Second
	// renewInterval leaves time for two more attempts before the lease ends.
	renewInterval = 1500 * time.Millisecond
	// watchTime bounds a watch, because a connection may go silent without an error.
	watchTime = 800 * time.Millisecond
	// storePause is the pause after a failed call to the store.
	storePause = 150 * time.Millisecond
	// listInterval is how often the list of entries is read, and how often entries tell it each other.
	listInterval = 2 * time.Second
)

// followConfig reads the configuration, and again after each change and each failure of the watch.
func (pro *Process) followConfig(work context.Context) {
	after, healthy := uint64(0), true
	for work.Err() == nil {
		if after == 0 {
			itm, err := pro.source.Store.Get(work, pro.source.ConfigKey)
			if err == nil {
				after = pro.take(work, itm)
			}
			healthy = pro.noteStore(err, healthy)
			if err != nil {
				rgclock.Pause(work, storePause)
			}
			continue
		}
		lis, err := pro.source.Store.Watch(work, pro.source.ConfigKey, after, watchTime)
		healthy = pro.noteStore(err, healthy)
		if err != nil {
			// What has changed meanwhile is found by reading; a watch that goes on may have missed it.
			after = 0
			continue
		}
		for _, itm := range lis.Items {
			if itm.Key == pro.source.ConfigKey && !itm.Deleted {
				pro.take(work, itm)
			}
		}
		after = max(after, lis.Version)
	}
}

// take offers a configuration to the control goroutine and returns the version of the store that it is from.
func (pro *Process) take(work context.Context, itm rgstore.Item) uint64 {
	cfg, err := pro.source.Decode(itm.Value)
	if err != nil {
		pro.log.Warn("configuration is unreadable", zap.Uint64("storeVersion", itm.Version), zap.Error(err))
	} else {
		pro.mailbox.Send(work, Configured{Config: cfg, Source: "store"})
	}
	return itm.Version
}

// noteStore logs when the store is lost and when it is back.
func (pro *Process) noteStore(err error, healthy bool) bool {
	if err != nil && healthy && !errors.Is(err, errors.NotFound) {
		pro.log.Warn("store lost", zap.Error(err))
		return false
	}
	if err == nil && !healthy {
		pro.log.Info("store is back")
		return true
	}
	return healthy
}

// keepLease announces the entry in the store as long as it runs.
func (pro *Process) keepLease(work context.Context) {
	lea := ""
	for work.Err() == nil {
		var err error
		if lea == "" {
			lea, err = pro.announce(work)
			if err == nil {
				pro.log.Info("announced in the store", zap.String("lease", lea))
			}
		} else if err = pro.source.Store.Renew(work, lea); errors.Is(err, errors.NotFound) {
			pro.log.Warn("announcement has lapsed", zap.String("lease", lea))
			lea = ""
			continue
		}
		if err != nil {
			// followConfig logs that the store is lost.
			rgclock.Pause(work, 4*storePause)
			continue
		}
		rgclock.Pause(work, renewInterval)
	}
	if lea == "" {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(work), storePause)
	defer stop()
	if err := pro.source.Store.Revoke(ctx, lea); err != nil {
		pro.log.Info("lease is left to lapse", zap.Error(err))
	}
}

func (pro *Process) announce(work context.Context) (string, error) {
	lea, err := pro.source.Store.Grant(work, leaseTime)
	if err != nil {
		return "", err
	}
	val, err := json.Marshal(pro.self)
	if err != nil {
		return "", errors.Trace(err)
	}
	// The key names the lease, so that a lost answer or an old announcement is never in the way.
	key := EntryPrefix + pro.self.Name + "/" + lea.ID
	switch res := pro.source.Store.Put(work, key, rgstore.Write{Value: val, Lease: lea.ID}).(type) {
	case rgstore.Written:
		return lea.ID, nil
	case rgstore.Conflicted:
		return lea.ID, nil
	case rgstore.OutcomeUnknown:
		return "", res.Err
	default:
		return "", errors.NotSupportedf("write result %T", res)
	}
}

// followEntries reads which entries have announced themselves.
func (pro *Process) followEntries(work context.Context) {
	for work.Err() == nil {
		// followConfig logs that the store is lost; until it is back, the other entries tell what they know.
		if ents, err := ListEntries(work, pro.source.Store); err == nil {
			pro.mailbox.Send(work, Listed{Entries: ents})
		}
		rgclock.Pause(work, listInterval)
	}
}

// ListEntries returns the entries that have announced themselves. What cannot be read is from another writer and is left out.
func ListEntries(ctx context.Context, str Store) ([]rgmodel.Entry, error) {
	lis, err := str.List(ctx, EntryPrefix)
	if err != nil {
		return nil, err
	}
	ents := make([]rgmodel.Entry, 0, len(lis.Items))
	for _, itm := range lis.Items {
		var ent rgmodel.Entry
		if err := json.Unmarshal(itm.Value, &ent); err == nil && ent.Address != "" {
			ents = append(ents, ent)
		}
	}
	return ents, nil
}
