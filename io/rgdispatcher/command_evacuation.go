package rgdispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/io/rgmailbox"
)

// ZonesPath is the path of the HTTP route that shows the state of the evacuated zones, beside the metrics.
const ZonesPath = "/zones"

// unknownZoneDelay is how long no process in an evacuated zone must be known before that is logged. A process that has just started does
// not know the others yet, and dials them within a second.
const unknownZoneDelay = 3 * time.Second

// adoptEvacuation adopts a newer set of evacuated zones. If it names other zones, each peer gets it at once, before any placement;
// otherwise with the next message.
func (pro *Process) adoptEvacuation(sta *State, now time.Time, evt EvacuationReceived) {
	newer, changed := rgdispatch.AdoptEvacuation(&sta.Dispatch, evt.Set)
	if !newer {
		return
	}
	pro.evacuationKnown.Store(true)
	if !changed {
		return
	}
	pro.log.Info("evacuated zones", zap.Strings("zones", zoneNames(sta.Dispatch.Evacuation)),
		zap.Uint64("storeVersion", sta.Dispatch.Evacuation.Version), zap.String("source", evt.Origin))
	for id, per := range sta.Peers {
		switch {
		case per.Sidecar != "":
			pro.sendHeartbeat(sta, id, per, now)
		case per.Entry != "":
			pro.sendGossip(sta, per, now)
		}
	}
}

// receiveEvacuation adopts the set of another entry. nil means that it has sent its newest one before.
func (pro *Process) receiveEvacuation(sta *State, now time.Time, per *PeerConn, set *rgevacuation.Set) {
	if set == nil {
		return
	}
	if err := rgevacuation.Check(*set); err != nil {
		pro.scope.Counter("evacuationsRejected").Inc(1)
		pro.log.Warn("set of evacuated zones rejected", peerName(per), zap.Error(err))
		return
	}
	per.EvacuationVersion = max(per.EvacuationVersion, set.Version)
	pro.adoptEvacuation(sta, now, EvacuationReceived{Set: *set, Origin: per.Entry})
}

// evacuationToSend returns the set of evacuated zones if the peer does not have it from this connection, and else nil.
func evacuationToSend(sta *State, per *PeerConn) *rgevacuation.Set {
	set := sta.Dispatch.Evacuation
	if set.Version <= per.EvacuationVersion {
		return nil
	}
	per.EvacuationVersion = set.Version
	return &set
}

// observeZones updates the gauges and logs, once for each key, that no process is known in an evacuated zone.
func (pro *Process) observeZones(sta *State, now time.Time) {
	set, confirmed, running := sta.Dispatch.Evacuation, 0, 0
	pro.scope.Gauge("zonesEvacuated").Update(float64(len(set.Zones)))
	if len(set.Zones) == 0 {
		sta.UnknownZones = nil
		return
	}
	for _, zon := range rgdispatch.EvacuatedZones(&sta.Dispatch) {
		for _, sid := range zon.Sidecars {
			running += sid.Running
			if sid.Confirmed {
				confirmed++
			}
		}
	}
	pro.scope.Gauge("evacuatedSidecars").Update(float64(confirmed))
	pro.scope.Gauge("tasksInEvacuatedZones").Update(float64(running))
	pro.logUnknownZones(sta, now)
}

func (pro *Process) logUnknownZones(sta *State, now time.Time) {
	before := sta.UnknownZones
	sta.UnknownZones = map[rgevacuation.Zone]UnknownZone{}
	for _, zon := range sta.Dispatch.Evacuation.Zones {
		// The time at which another process has read the key first may become known later.
		zon.SinceMillis = 0
		unk, found := before[zon]
		if !found {
			unk.Since = now
		}
		if !unk.Logged && now.Sub(unk.Since) >= unknownZoneDelay && !pro.isKnownZone(sta, zon.Name) {
			unk.Logged = true
			pro.log.Warn("no process is known in an evacuated zone", zap.String("key", pro.source.EvacuationPrefix+zon.Name),
				zap.Uint64("storeVersion", zon.KeyVersion))
		}
		sta.UnknownZones[zon] = unk
	}
}

// isKnownZone reports whether the entry itself, another entry that it knows or the executor of a connected sidecar is in the zone.
func (pro *Process) isKnownZone(sta *State, zone string) bool {
	if zone == pro.self.AvailabilityZone || rgdispatch.HasSidecarIn(&sta.Dispatch, zone) {
		return true
	}
	for _, ent := range sta.Members.Entries {
		if ent.Entry.AvailabilityZone == zone {
			return true
		}
	}
	return false
}

func (pro *Process) zoneStates(sta *State) ZoneStates {
	return ZoneStates{
		Entry: pro.self.Name, Version: sta.Dispatch.Evacuation.Version, Zones: rgdispatch.EvacuatedZones(&sta.Dispatch),
	}
}

// Zones returns what the entry knows of the evacuated zones.
func (pro *Process) Zones(ctx context.Context) ZoneStates {
	rpl := make(chan ZoneStates, 1)
	val, _ := rgmailbox.Call[Event](ctx, pro.mailbox, ZonesRequested{Reply: rpl}, rpl)
	return val
}

func zoneNames(set rgevacuation.Set) []string {
	names := make([]string, 0, len(set.Zones))
	for _, zon := range set.Zones {
		names = append(names, zon.Name)
	}
	return names
}
