package rgdispatcher

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
)

// operatorWatch is what the watch of the operator's keys has read.
type operatorWatch struct {
	// after is the store version after which the next watch does not miss a change. Zero means that the keys are read first.
	after uint64
	// evacuation is the set of evacuated zones by the store, which may be older than the one in force. listedAt is the store version at
	// which it was last listed, or zero if the store does not tell.
	evacuation rgevacuation.Set
	listedAt   uint64
	// malformed holds the keys with EvacuationPrefix that are malformed now.
	malformed map[string]rgstore.MalformedItem
}

// watchOperatorKeys reads the configuration and the evacuated zones at the start, after each change and after each failure of the watch. A
// call that has made no progress is repeated after a delay, because a malformed item or a faulty store may reply at once each time.
func (pro *Process) watchOperatorKeys(workCtx context.Context) {
	wat, healthy, failedWatches := operatorWatch{}, true, 0
	for workCtx.Err() == nil {
		began, before := rgclock.Now(), wat.after
		var err error
		if before == 0 {
			err = pro.readOperatorKeys(workCtx, &wat)
		} else {
			err = pro.awaitOperatorKeys(workCtx, &wat)
		}
		healthy = pro.logStoreState(err, healthy)
		switch {
		case err != nil && before > 0:
			// A resumed watch may have missed changes, so the keys are read again, the first time at once.
			wat.after = 0
			if failedWatches++; failedWatches == 1 {
				continue
			}
		case err == nil && before > 0:
			failedWatches = 0
		}
		if err != nil || wat.after <= before && rgclock.Now().Sub(began) < storeRetryDelay {
			rgclock.Sleep(workCtx, storeRetryDelay)
		}
	}
}

// readOperatorKeys reads the evacuated zones and the configuration. The first configuration is in force even if the zones cannot be read.
// Later on, a store that turns the entry away gets one call at a time.
func (pro *Process) readOperatorKeys(workCtx context.Context, wat *operatorWatch) error {
	listErr := pro.listEvacuation(workCtx, wat)
	if listErr != nil && pro.Config() != nil {
		return listErr
	}
	after, err := pro.readConfig(workCtx)
	switch {
	case errors.Is(err, errors.NotFound) && listErr == nil && wat.listedAt > 0:
		// The watch returns the configuration once it is written.
		after = wat.listedAt
	case err != nil:
		return err
	case listErr != nil:
		return listErr
	}
	if wat.listedAt > 0 {
		// The configuration was read later. The watch returns what has changed in the meantime.
		after = min(after, wat.listedAt)
	}
	wat.after = after
	return nil
}

// readConfig reads the configuration and returns the store version after which a watch does not miss a change.
func (pro *Process) readConfig(workCtx context.Context) (uint64, error) {
	itm, err := pro.source.Store.Get(workCtx, pro.source.ConfigKey)
	if errors.Is(err, errors.NotValid) {
		// The operator may write a sound configuration later.
		pro.malformedConfigs.Record([]rgstore.MalformedItem{{Key: pro.source.ConfigKey, Version: itm.Version, Err: err}})
		return itm.StoreVersion, nil
	}
	if err != nil {
		return 0, err
	}
	pro.offerConfig(workCtx, itm)
	// The store may have discarded the history between the last change of the configuration and now.
	return max(itm.Version, itm.StoreVersion), nil
}

// listEvacuation reads the keys of the evacuated zones. A key whose value has become malformed has no effect, so its zone stays as it is.
func (pro *Process) listEvacuation(workCtx context.Context, wat *operatorWatch) error {
	if pro.source.EvacuationPrefix == "" {
		return nil
	}
	lis, err := pro.source.Store.List(workCtx, pro.source.EvacuationPrefix)
	if err != nil {
		return err
	}
	if lis.Incomplete {
		return errors.Errorf("list of %s is incomplete", pro.source.EvacuationPrefix)
	}
	before := wat.evacuation
	wat.listedAt = lis.Version
	// A store that tells no version has been read all the same.
	wat.evacuation, wat.malformed = rgevacuation.Set{Version: max(lis.Version, 1)}, map[string]rgstore.MalformedItem{}
	for _, mal := range lis.Malformed {
		wat.malformed[mal.Key] = mal
	}
	for _, itm := range lis.Items {
		pro.applyEvacuation(wat, itm)
	}
	for key := range wat.malformed {
		if zon, found := rgevacuation.Lookup(before, strings.TrimPrefix(key, pro.source.EvacuationPrefix)); found {
			rgevacuation.Add(&wat.evacuation, zon)
		}
	}
	pro.offerEvacuation(workCtx, wat)
	return nil
}

// awaitOperatorKeys waits for changes of the operator's keys.
func (pro *Process) awaitOperatorKeys(workCtx context.Context, wat *operatorWatch) error {
	lis, err := pro.source.Store.Watch(workCtx, cmp.Or(pro.source.WatchPrefix, pro.source.ConfigKey), wat.after, watchTimeout)
	if err != nil {
		return err
	}
	pro.skipMalformed(wat, lis.Malformed)
	// A store may list the changes of different keys in any order.
	slices.SortStableFunc(lis.Items, func(one, two rgstore.Item) int { return cmp.Compare(one.Version, two.Version) })
	ver := wat.evacuation.Version
	for _, itm := range lis.Items {
		switch {
		case itm.Key == pro.source.ConfigKey && !itm.Deleted:
			pro.offerConfig(workCtx, itm)
		case pro.isEvacuationKey(itm.Key) && itm.Version > wat.evacuation.Version:
			pro.applyEvacuation(wat, itm)
			ver = max(ver, itm.Version, lis.Version)
		}
	}
	if ver > wat.evacuation.Version {
		wat.evacuation.Version = ver
		pro.offerEvacuation(workCtx, wat)
	}
	wat.after = max(wat.after, lis.Version)
	return nil
}

// skipMalformed logs changes that cannot be decoded. They have no effect.
func (pro *Process) skipMalformed(wat *operatorWatch, mals []rgstore.MalformedItem) {
	var others []rgstore.MalformedItem
	for _, mal := range mals {
		if pro.isEvacuationKey(mal.Key) {
			wat.malformed[mal.Key] = mal
		} else {
			others = append(others, mal)
		}
	}
	if len(others) > 0 {
		pro.malformedConfigs.Record(others)
	}
	if len(others) < len(mals) {
		pro.recordMalformed(wat)
	}
}

func (pro *Process) isEvacuationKey(key string) bool {
	return pro.source.EvacuationPrefix != "" && strings.HasPrefix(key, pro.source.EvacuationPrefix)
}

// applyEvacuation applies a key of an evacuated zone, or its removal, to the set. A malformed one has no effect.
func (pro *Process) applyEvacuation(wat *operatorWatch, itm rgstore.Item) {
	zone, err := pro.source.DecodeZone(itm)
	if err != nil {
		if itm.Deleted {
			delete(wat.malformed, itm.Key)
		} else {
			wat.malformed[itm.Key] = rgstore.MalformedItem{Key: itm.Key, Version: itm.Version, Err: err}
		}
		return
	}
	delete(wat.malformed, itm.Key)
	if itm.Deleted {
		rgevacuation.Remove(&wat.evacuation, zone)
		return
	}
	rgevacuation.Add(&wat.evacuation, rgevacuation.Zone{Name: zone, KeyVersion: itm.Version, SinceMillis: time.Now().UnixMilli()})
}

// offerEvacuation passes the set to the control goroutine and logs malformed keys.
func (pro *Process) offerEvacuation(workCtx context.Context, wat *operatorWatch) {
	pro.recordMalformed(wat)
	pro.mailbox.Send(workCtx, EvacuationReceived{Set: wat.evacuation, Origin: "store"})
}

// recordMalformed logs the malformed keys, each version once as long as the key is malformed.
func (pro *Process) recordMalformed(wat *operatorWatch) {
	pro.malformedEvacuations.Record(slices.Collect(maps.Values(wat.malformed)))
}
