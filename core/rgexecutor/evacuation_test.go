package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgmodel"
)

// evacuate adopts a set of the version with the zones.
func (har *harness) evacuate(version uint64, zones ...string) {
	set := rgevacuation.Set{Version: version}
	for _, zone := range zones {
		rgevacuation.Add(&set, rgevacuation.Zone{Name: zone, KeyVersion: version})
	}
	har.efs = append(har.efs, AdoptEvacuation(&har.sta, har.now, set)...)
}

// newZoneHarness returns the harness of a sidecar in zone a. Its executor names the given zone.
func newZoneHarness(t *testing.T, zone string) *harness {
	t.Helper()
	exe := newExecutor(1)
	exe.AvailabilityZone = zone
	har := newHarnessOf(t, exe)
	har.sta.AvailabilityZone = "a"
	return har
}

// countEffects returns the numbers of start orders and stop orders, of ends with ReasonZoneEvacuated that are returns and losses, and of
// all other ends.
func countEffects(efs []Effect) (starts, stops, returned, lost, others int) {
	for _, eff := range efs {
		switch eff := eff.(type) {
		case SendOrder:
			switch eff.Order.(type) {
			case rgmodel.StartOrder:
				starts++
			case rgmodel.StopOrder:
				stops++
			}
		case ReportEnd:
			switch {
			case eff.End.Reason == rgmodel.ReasonZoneEvacuated && eff.End.Status == rgmodel.EndReturned:
				returned++
			case eff.End.Reason == rgmodel.ReasonZoneEvacuated && eff.End.Status == rgmodel.EndLost:
				lost++
			default:
				others++
			}
		}
	}
	return starts, stops, returned, lost, others
}

type evacuationTest struct {
	// zone is that of the executor.
	zone string
	run  func(t *testing.T, har *harness)
	// What follows run: start orders, stop orders, ends because of the evacuation as returned and as lost, and other ends.
	starts, stops, returned, lost, others int
	usable                                bool
}

var evacuationTests = map[string]evacuationTest{
	"full executor, 8 running and 4 queued": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.place("job", 12)
			har.replyToStarts(rgmodel.OrderReply{Replied: true})
			har.evacuate(5, "a")
		},
		returned: 4,
	},
	"full executor, the runs end meanwhile": {
		zone: "a",
		run: func(t *testing.T, har *harness) {
			har.place("job", 12)
			har.replyToStarts(rgmodel.OrderReply{Replied: true})
			har.evacuate(5, "a")
			har.now = har.now.Add(50 * time.Millisecond)
			har.endRuns(t, rgmodel.EndSucceeded)
		},
		returned: 4, others: 8,
	},
	"idle executor, a placement that crosses the change": {
		zone:     "a",
		run:      func(_ *testing.T, har *harness) { har.evacuate(5, "a"); har.place("job", 3) },
		returned: 3,
	},
	"idle executor, zone of the sidecar because the executor names none": {
		run:      func(_ *testing.T, har *harness) { har.evacuate(5, "a"); har.place("job", 3) },
		returned: 3,
	},
	"idle executor, only the sidecar's zone is evacuated": {
		zone:   "b",
		run:    func(_ *testing.T, har *harness) { har.evacuate(5, "a"); har.place("job", 3) },
		starts: 3, usable: true,
	},
	"idle executor, another zone": {
		zone:   "a",
		run:    func(_ *testing.T, har *harness) { har.evacuate(5, "b", "c"); har.place("job", 3) },
		starts: 3, usable: true,
	},
	"start refused for its run number": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.place("job", 1)
			starts := har.takeEffects()
			har.evacuate(5, "a")
			har.efs = append(starts, har.efs...)
			har.replyToStarts(rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalStaleRun})
		},
		returned: 1,
	},
	"start refused for its lease": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.place("job", 1)
			starts := har.takeEffects()
			har.evacuate(5, "a")
			har.efs = append(starts, har.efs...)
			har.replyToStarts(rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalLeaseExpired})
		},
		returned: 1,
	},
	"start without a reply, then stopped": {
		zone: "a",
		run: func(t *testing.T, har *harness) {
			har.place("job", 1)
			har.replyToStarts(rgmodel.OrderReply{})
			har.evacuate(5, "a")
			har.replyToStops(rgmodel.OrderReply{Replied: true})
			har.now = har.now.Add(time.Millisecond)
			for len(har.sta.Runs) > 0 {
				har.replyToPoll(t, nil, nil)
			}
		},
		lost: 1,
	},
	"withdrawn": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.evacuate(5, "a")
			har.evacuate(6)
			har.place("job", 3)
		},
		starts: 3, usable: true,
	},
	"withdrawn and requested again, the withdrawal arrives last": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.evacuate(5, "a")
			har.evacuate(7, "a")
			har.evacuate(6)
			har.place("job", 3)
		},
		returned: 3,
	},
	"withdrawn, an entry with the old set": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.evacuate(6)
			har.evacuate(5, "a")
			har.place("job", 3)
		},
		starts: 3, usable: true,
	},
	"several zones, one is withdrawn": {
		zone: "a",
		run: func(_ *testing.T, har *harness) {
			har.evacuate(5, "a", "b")
			har.evacuate(6, "a")
			har.place("job", 3)
		},
		returned: 3,
	},
}

// TestEvacuation guards against a start in an evacuated zone: of a queued task, of a placement that crosses the change, of an order that is
// sent again, and after a set that arrives late. Running tasks must not be stopped, and a task that may have been started must not be
// reported as returned.
func TestEvacuation(t *testing.T) {
	for name, tc := range evacuationTests {
		t.Run(name, func(t *testing.T) {
			har := newZoneHarness(t, tc.zone)
			tc.run(t, har)
			starts, stops, returned, lost, others := countEffects(har.takeEffects())
			if starts != tc.starts || stops != tc.stops || returned != tc.returned || lost != tc.lost || others != tc.others {
				t.Errorf("%d starts, %d stops, %d returned, %d lost and %d other ends, want %d, %d, %d, %d and %d",
					starts, stops, returned, lost, others, tc.starts, tc.stops, tc.returned, tc.lost, tc.others)
			}
			if got := har.sta.Counts.Evacuated; got != uint64(tc.returned+tc.lost) {
				t.Errorf("%d tasks counted, want %d", got, tc.returned+tc.lost)
			}
			if len(har.sta.Queue) != 0 {
				t.Errorf("%d tasks are queued", len(har.sta.Queue))
			}
			rep := newReport(&har.sta, har.now)
			if rep.Usable != tc.usable || (rep.Evacuation == nil) != tc.usable {
				t.Errorf("report %+v, want usable %v", rep, tc.usable)
			}
			if rep.Evacuation != nil && *rep.Evacuation != (rgmodel.EvacuationProgress{Running: len(har.sta.Runs)}) {
				t.Errorf("progress %+v with %d runs", *rep.Evacuation, len(har.sta.Runs))
			}
		})
	}
}

// TestEvacuationReport guards against an entry that goes on placing tasks because no report tells it of the evacuation at once.
func TestEvacuationReport(t *testing.T) {
	har := newZoneHarness(t, "a")
	DueUpdates(&har.sta, har.now, nil)
	har.evacuate(5, "a")
	if upds := DueUpdates(&har.sta, har.now, nil); len(upds) != 1 || upds[0].Report == nil || upds[0].Report.Usable {
		t.Errorf("updates %+v at once, want a report of an executor that is not usable", upds)
	}
	har.evacuate(6)
	if upds := DueUpdates(&har.sta, har.now, nil); len(upds) != 1 || upds[0].Report == nil || !upds[0].Report.Usable {
		t.Errorf("updates %+v at once, want a report of a usable executor", upds)
	}
}
