package rgdispatch

import (
	"reflect"
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
	AdoptEvacuation(&har.sta, set)
}

// reportEvacuated reports from a sidecar, which has a set of its own, that its zone is evacuated.
func (har *harness) reportEvacuated(con SidecarConnID, running int) {
	har.report(con, rgmodel.ExecutorReport{
		Slowdown: 1, Allocatable: rgmodel.Resources{Cores: 8}, Evacuation: &rgmodel.EvacuationProgress{Running: running},
	})
}

type evacuationTest struct {
	// zones are those of the sidecars, which have 8 free cores each. The entry is in zone a.
	zones []string
	run   func(har *harness)
	// placed is the number of tasks placed by zone, and answers what callers get.
	placed  map[string]int
	answers string
}

func submitFour(har *harness) { har.submit(1, newRequest("job", 4, 100*time.Millisecond)) }

// evacuateAndSubmit evacuates the zones before a job arrives.
func evacuateAndSubmit(zones ...string) func(har *harness) {
	return func(har *harness) { har.evacuate(5, zones...); submitFour(har) }
}

var evacuationTests = map[string]evacuationTest{
	"idle, no set known":       {zones: []string{"a", "b"}, run: submitFour, placed: map[string]int{"a": 4}},
	"idle, the entry's zone":   {zones: []string{"a", "b"}, run: evacuateAndSubmit("a"), placed: map[string]int{"b": 4}},
	"idle, another zone":       {zones: []string{"b", "c"}, run: evacuateAndSubmit("b"), placed: map[string]int{"c": 4}},
	"idle, two of three zones": {zones: []string{"a", "b", "c"}, run: evacuateAndSubmit("a", "b"), placed: map[string]int{"c": 4}},
	"idle, the last zone":      {zones: []string{"a", "b"}, run: evacuateAndSubmit("a", "b"), answers: "1:notRun:zoneEvacuated "},
	"idle, the last zone, an executor that nobody has described": {
		zones: []string{"a"},
		run: func(har *harness) {
			har.evacuate(5, "a")
			har.lastConn++
			Connect(&har.sta, har.now, har.lastConn, "new", rgmodel.SidecarTimeOf(har.now))
			submitFour(har)
		},
		answers: "1:notRun:noUpstream ",
	},
	"the other zone is full": {
		zones: []string{"a", "b"},
		run: func(har *harness) {
			har.evacuate(5, "a")
			har.report(2, busyReport(1, time.Second))
			submitFour(har)
		},
		answers: "1:notRun:expectedWait ",
	},
	"the other zone has no executor that can run the job": {
		zones: []string{"a", "b"},
		run: func(har *harness) {
			har.evacuate(5, "a")
			req := newRequest("job", 1, 100*time.Millisecond)
			req.Steps[0].RequiredLabel = "side-1"
			har.submit(1, req)
		},
		answers: "1:notRun:zoneEvacuated ",
	},
	"idle, withdrawn": {
		zones:  []string{"a", "b"},
		run:    func(har *harness) { har.evacuate(5, "a"); har.evacuate(6); submitFour(har) },
		placed: map[string]int{"a": 4},
	},
	"idle, withdrawn and requested again, the withdrawal arrives last": {
		zones:  []string{"a", "b"},
		run:    func(har *harness) { har.evacuate(5, "a"); har.evacuate(7, "a"); har.evacuate(6); submitFour(har) },
		placed: map[string]int{"b": 4},
	},
	"idle, a sidecar has a newer set": {
		zones:  []string{"a", "b"},
		run:    func(har *harness) { har.reportEvacuated(1, 0); submitFour(har) },
		placed: map[string]int{"b": 4},
	},
	"placed before, then returned": {
		zones: []string{"a", "b"},
		run: func(har *harness) {
			submitFour(har)
			tks := har.takePlaced()
			har.evacuate(5, "a")
			har.endAllWithReason(tks, rgmodel.EndReturned, rgmodel.ReasonZoneEvacuated)
		},
		placed: map[string]int{"b": 4},
	},
	"placed with an old set, then returned": {
		zones: []string{"a", "b"},
		run: func(har *harness) {
			submitFour(har)
			tks := har.takePlaced()
			har.reportEvacuated(1, 0)
			har.endAllWithReason(tks, rgmodel.EndReturned, rgmodel.ReasonZoneEvacuated)
		},
		placed: map[string]int{"b": 4},
	},
	"placed before, then returned, the last zone": {
		zones: []string{"a"},
		run: func(har *harness) {
			submitFour(har)
			tks := har.takePlaced()
			har.evacuate(5, "a")
			har.endAllWithReason(map[SidecarConnID][]rgmodel.Ticket{1: tks[1][:1]}, rgmodel.EndReturned, rgmodel.ReasonZoneEvacuated)
		},
		answers: "1:mayHaveRun:zoneEvacuated ",
	},
	"placed before, all returned, the last zone": {
		zones: []string{"a"},
		run: func(har *harness) {
			har.submit(1, newRequest("job", 1, 100*time.Millisecond))
			tks := har.takePlaced()
			har.evacuate(5, "a")
			har.endAllWithReason(tks, rgmodel.EndReturned, rgmodel.ReasonZoneEvacuated)
		},
		answers: "1:notRun:zoneEvacuated ",
	},
	"running, goes on": {
		zones: []string{"a"},
		run: func(har *harness) {
			submitFour(har)
			tks := har.takePlaced()
			har.evacuate(5, "a")
			har.reportEvacuated(1, 4)
			har.advance(TickInterval)
			har.endAll(tks, rgmodel.EndSucceeded)
		},
		answers: "1:ranOK: ",
	},
}

// TestEvacuation guards against a task that is placed in an evacuated zone, a job that waits although only evacuated executors are left,
// and a running task that is given up.
func TestEvacuation(t *testing.T) {
	for name, tc := range evacuationTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness()
			har.sta.AvailabilityZone = "a"
			for i, zone := range tc.zones {
				har.connectInZone([]string{"side-1", "side-2", "side-3"}[i], zone, false)
			}
			tc.run(har)
			placed := map[string]int{}
			for con, tks := range har.takePlaced() {
				placed[har.sta.Sidecars[con].Executor.AvailabilityZone] += len(tks)
			}
			if len(placed)+len(tc.placed) > 0 && !reflect.DeepEqual(placed, tc.placed) {
				t.Errorf("placed by zone %v, want %v", placed, tc.placed)
			}
			checkAnswers(t, har, tc.answers)
		})
	}
}

// TestEvacuatedZones guards against an operator who is told that nothing runs in a zone although a sidecar has not confirmed that yet.
func TestEvacuatedZones(t *testing.T) {
	har := newHarness()
	for i, zone := range []string{"a", "b", "b", "b"} {
		har.connectInZone([]string{"side-1", "side-2", "side-3", "side-2"}[i], zone, false)
	}
	har.evacuate(5, "b", "c")
	har.reportEvacuated(3, 7)
	want := []ZoneState{
		{Zone: rgevacuation.Zone{Name: "b", KeyVersion: 5}, Sidecars: []ZoneSidecar{
			{Name: "side-2"}, {Name: "side-3", Confirmed: true, Running: 7},
		}},
		{Zone: rgevacuation.Zone{Name: "c", KeyVersion: 5}},
	}
	if got := EvacuatedZones(&har.sta); !reflect.DeepEqual(got, want) {
		t.Errorf("zones %+v, want %+v", got, want)
	}
}

// TestReportIntervalsOfEvacuatedZone guards against sidecars that take no tasks and get the reports which a small entry can process.
func TestReportIntervalsOfEvacuatedZone(t *testing.T) {
	har := newHarness()
	har.sta.AvailabilityZone, har.sta.Limits.Cores = "a", 0.05
	for i := range 12 {
		har.connectInZone(string(rune('p'+i)), []string{"a", "b"}[i%2], false)
	}
	har.evacuate(5, "a")
	updateReportIntervals(&har.sta)
	for _, sc := range har.sta.Sidecars {
		if sc.Executor.AvailabilityZone == "a" && sc.ReportInterval != maxReportInterval {
			t.Errorf("interval %v in the evacuated zone, want %v", sc.ReportInterval, maxReportInterval)
		}
	}
}
