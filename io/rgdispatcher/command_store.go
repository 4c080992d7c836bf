package rgdispatcher

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
)

const (
	// EntryKeyPrefix is the prefix of the keys under which entries register in the store.
	EntryKeyPrefix = "ragwortgap/entries/"
	// registrationTTL is how long a registration remains after its lease was granted or last renewed.
	registrationTTL = 5 * time.Second
	// leaseRenewInterval leaves time for two more attempts before the lease expires.
	leaseRenewInterval = 1500 * time.Millisecond
	// watchTimeout bounds a watch, because a connection may become silent without an error.
	watchTimeout = 800 * time.Millisecond
	// storeRetryDelay is the delay after a failed read of the configuration. After a failed registration or renewal, the delay
	// is four times as long. It is also the timeout of the call that revokes the lease.
	storeRetryDelay = 150 * time.Millisecond
	// listInterval is how often the list of entries is read from the store.
	listInterval = 2 * time.Second
)

// EntryList is the list of entries in the store, and the items in it that describe no entry. Incomplete is set if the store has more
// items than were read.
type EntryList struct {
	Entries    []rgmodel.Entry
	Malformed  []rgstore.MalformedItem
	Incomplete bool
}

// offerConfig passes a configuration to the control goroutine. One that cannot be decoded is logged once.
func (pro *Process) offerConfig(workCtx context.Context, itm rgstore.Item) {
	cfg, err := pro.source.Decode(itm.Value)
	if err != nil {
		pro.malformedConfigs.Record([]rgstore.MalformedItem{{Key: itm.Key, Version: itm.Version, Err: err}})
		return
	}
	pro.mailbox.Send(workCtx, ConfigReceived{Config: cfg, Origin: "store"})
}

// logStoreState logs when the store becomes unavailable and when it is available again, and returns whether it is available.
// The error for a key that does not exist leaves the state as it is.
func (pro *Process) logStoreState(err error, healthy bool) bool {
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

// maintainLease registers the entry in the store, renews its lease while the process runs, and revokes the lease at the end.
func (pro *Process) maintainLease(workCtx context.Context) {
	lea := ""
	for workCtx.Err() == nil {
		var err error
		if lea == "" {
			lea, err = pro.register(workCtx)
			if err == nil {
				pro.log.Info("registered in the store", zap.String("lease", lea))
			}
		} else if err = pro.source.Store.Renew(workCtx, lea); errors.Is(err, errors.NotFound) {
			pro.log.Warn("registration has expired", zap.String("lease", lea))
			lea = ""
			continue
		}
		if err != nil {
			// watchOperatorKeys logs that the store is unavailable.
			rgclock.Sleep(workCtx, 4*storeRetryDelay)
			continue
		}
		rgclock.Sleep(workCtx, leaseRenewInterval)
	}
	if lea == "" {
		return
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(workCtx), storeRetryDelay)
	defer stop()
	if err := pro.source.Store.Revoke(ctx, lea); err != nil {
		pro.log.Info("failed to revoke lease, it is left to expire", zap.Error(err))
	}
}

func (pro *Process) register(workCtx context.Context) (string, error) {
	lea, err := pro.source.Store.Grant(workCtx, registrationTTL)
	if err != nil {
		return "", err
	}
	val, err := json.Marshal(pro.self)
	if err != nil {
		return "", errors.Trace(err)
	}
	// The key contains the lease, so it cannot conflict with an earlier registration, not even with one whose reply was lost.
	key := EntryKeyPrefix + pro.self.Name + "/" + lea.ID
	switch res := pro.source.Store.Put(workCtx, key, rgstore.Write{Value: val, Lease: lea.ID}).(type) {
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

// pollEntries reads the registered entries at regular intervals.
func (pro *Process) pollEntries(workCtx context.Context) {
	for workCtx.Err() == nil {
		// watchOperatorKeys logs that the store is unavailable. Until it is back, gossip provides the list of entries.
		if lis, err := ListEntries(workCtx, pro.source.Store); err == nil {
			pro.malformedEntries.Record(lis.Malformed)
			pro.mailbox.Send(workCtx, EntriesListed{Entries: lis.Entries, Incomplete: lis.Incomplete})
		}
		rgclock.Sleep(workCtx, listInterval)
	}
}

// ListEntries returns the registered entries. Values that describe no entry are from another writer; they are returned apart, with
// the reason.
func ListEntries(ctx context.Context, sto Store) (EntryList, error) {
	lis, err := sto.List(ctx, EntryKeyPrefix)
	if err != nil {
		return EntryList{}, err
	}
	res := EntryList{Malformed: lis.Malformed, Incomplete: lis.Incomplete}
	// The record of an entry that was restarted or replaced stays until its lease expires, so the newest one of an address holds. In
	// this order, entries that have registered first become known first.
	slices.SortStableFunc(lis.Items, func(one, two rgstore.Item) int { return cmp.Compare(one.Version, two.Version) })
	newest := map[string]int{}
	for _, itm := range lis.Items {
		ent, err := decodeEntry(itm)
		if err != nil {
			res.Malformed = append(res.Malformed, rgstore.MalformedItem{Key: itm.Key, Version: itm.Version, Err: err})
			continue
		}
		if at, found := newest[ent.Address]; found {
			res.Entries[at] = ent
			continue
		}
		newest[ent.Address] = len(res.Entries)
		res.Entries = append(res.Entries, ent)
	}
	return res, nil
}

// decodeEntry decodes a registration. Its key contains the name of the entry and a lease.
func decodeEntry(itm rgstore.Item) (rgmodel.Entry, error) {
	var ent rgmodel.Entry
	if err := json.Unmarshal(itm.Value, &ent); err != nil {
		return rgmodel.Entry{}, errors.NewNotValid(err, "entry")
	}
	if err := rgmodel.CheckEntry(ent); err != nil {
		return rgmodel.Entry{}, err
	}
	if !strings.HasPrefix(itm.Key, EntryKeyPrefix+ent.Name+"/") {
		return rgmodel.Entry{}, errors.NotValidf("entry with the name %q at another key", ent.Name)
	}
	return ent, nil
}
