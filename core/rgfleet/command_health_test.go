package rgfleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

const ms = time.Millisecond

// step is a report of member m0 after a wait, with the numbers of tasks that succeeded and failed since the last report and the
// expected ejection state. If unchanged is set, the member was ejected before and the report must not eject it again.
type step struct {
	wait               time.Duration
	succeeded, failed  uint64
	running            int
	ejected, unchanged bool
}

// newFleet returns a fleet of connected and sealed members with the names m0, m1 and so on.
func newFleet(members int, now time.Time) *rgfleet.State {
	var sta rgfleet.State
	for i := range members {
		sc := rgmodel.Sidecar{Name: fmt.Sprint("m", i), Incarnation: "1", Capacity: rgmodel.Capacity{Slots: 8}}
		rgfleet.Announce(&sta, sc, now)
		rgfleet.MarkSealed(&sta, sc.Key())
	}
	return &sta
}

// report records a report of a member. It adds the succeeded and failed tasks to the previous totals, and contains the learned
// service time if there is one. It returns whether the report has ejected the member.
func report(sta *rgfleet.State, name string, succeeded, failed uint64, running int, learned time.Duration, now time.Time) bool {
	old := sta.Members[name].Report
	rep := rgmodel.LoadReport{
		Sidecar: name, Incarnation: "1", Sequence: old.Sequence + 1, Running: running,
		Succeeded: old.Succeeded + succeeded, Failed: old.Failed + failed,
	}
	if running > 0 {
		rep.Flows = []rgmodel.FlowLoad{{Flow: rgmodel.Flow{Team: "team", Kind: "kind"}, Running: running}}
	}
	if learned > 0 {
		rep.ServiceTimes = []rgmodel.KindServiceTime{{Kind: "kind", Mean: rgmodel.Duration{Duration: learned}}}
	}
	return rgfleet.RecordReport(sta, rep, now)
}

// TestEjection guards against failing or hung upstreams that still get tasks, and against the ejection of upstreams that are
// healthy, slow or idle. Each case names the failure that it guards against.
func TestEjection(t *testing.T) {
	tests := map[string]struct {
		guards  string
		learned time.Duration
		steps   []step
	}{
		"fails fast": {
			guards: "an upstream that fails within milliseconds gets tasks until its third report",
			steps:  []step{{failed: 10, ejected: true}},
		},
		"fails slowly": {
			guards: "an upstream with few tasks never counts as failing",
			steps:  []step{{failed: 1}, {failed: 1}, {failed: 1, ejected: true}},
		},
		"fails sometimes": {
			guards: "an upstream that also succeeds is ejected because of errors of its callers",
			steps:  []step{{failed: 9}, {succeeded: 1, failed: 9}, {failed: 9}, {failed: 0}, {succeeded: 1, failed: 50}},
		},
		"hung": {
			guards: "an upstream whose tasks never end still gets tasks", learned: 200 * ms,
			steps: []step{{succeeded: 1, running: 8}, {wait: 1900 * ms, running: 8}, {wait: 200 * ms, running: 8, ejected: true}},
		},
		"slow tasks": {
			guards: "tasks of several seconds count as hung", learned: 5 * time.Second,
			steps: []step{{succeeded: 1, running: 1}, {wait: 20 * time.Second, running: 1}, {wait: 20 * time.Second, running: 1}},
		},
		"unknown kind": {
			guards: "the first tasks of a slow kind count as hung before its service time is learned",
			steps:  []step{{running: 1}, {wait: 9 * time.Second, running: 1}, {wait: 2 * time.Second, running: 1, ejected: true}},
		},
		"short tasks": {
			guards: "a garbage collection of the upstream counts as hung if tasks take milliseconds", learned: ms,
			steps: []step{{succeeded: 1, running: 8}, {wait: 900 * ms, running: 8}},
		},
		"idle": {
			guards: "idle time counts as time without progress", learned: 50 * ms,
			steps: []step{{succeeded: 1}, {wait: time.Minute, running: 8}, {wait: 200 * ms, running: 8}},
		},
		"still hung": {
			guards: "a hung upstream gets tasks between two ejections because it shows no new symptom", learned: 50 * ms,
			steps: []step{
				{succeeded: 1, running: 8}, {wait: 1100 * ms, running: 8, ejected: true},
				{wait: 900 * ms, running: 8, ejected: true}, {wait: 200 * ms, running: 8, ejected: true, unchanged: true},
			},
		},
		"fails after return": {
			guards: "an upstream that still fails must fail as many tasks again after each ejection",
			steps:  []step{{failed: 10, ejected: true}, {wait: 1100 * ms, failed: 1, ejected: true}},
		},
		"fails while ejected": {
			guards: "tasks that started before an ejection cause another one if they fail during it",
			steps:  []step{{failed: 10, ejected: true}, {wait: 500 * ms, failed: 10, ejected: true, unchanged: true}, {wait: 600 * ms}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := newFleet(4, now)
			for i, stp := range tc.steps {
				now = now.Add(stp.wait)
				changed := report(sta, "m0", stp.succeeded, stp.failed, stp.running, tc.learned, now)
				if got := rgfleet.Ejected(sta, now) == 1; got != stp.ejected || changed != (stp.ejected && !stp.unchanged) {
					t.Fatalf("step %d: ejected %v, changed %v, want %+v; guards against: %s", i, got, changed, stp, tc.guards)
				}
			}
		})
	}
}

// TestEjectionLimit guards against a common fault of all upstreams that ejects more than half of the sidecars.
func TestEjectionLimit(t *testing.T) {
	tests := map[string]struct{ members, want int }{
		"one": {1, 0}, "two": {2, 1}, "three": {3, 1}, "ten": {10, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := newFleet(tc.members, now)
			for range 5 {
				for i := range tc.members {
					report(sta, fmt.Sprint("m", i), 0, 20, 0, 0, now)
				}
				if got := rgfleet.Ejected(sta, now); got != tc.want {
					t.Errorf("%d of %d members ejected, want %d", got, tc.members, tc.want)
				}
				now = now.Add(100 * ms)
			}
		})
	}
}

// TestEjectionDuration guards against ejections that do not get longer while the fault lasts, that exceed the maximum, or that are
// still long after a recovery.
func TestEjectionDuration(t *testing.T) {
	now := time.Unix(1e9, 0)
	sta := newFleet(4, now)
	for i, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		report(sta, "m0", 0, 10, 0, 0, now)
		if got := sta.Members["m0"].Health.EjectedUntil.Sub(now); got != want*time.Second {
			t.Errorf("ejection %d lasts %v, want %v", i, got, want*time.Second)
		}
		now = sta.Members["m0"].Health.EjectedUntil
	}
	now = now.Add(rgfleet.SlowStartTime)
	report(sta, "m0", 1, 0, 0, 0, now)
	report(sta, "m0", 0, 10, 0, 0, now)
	if got := sta.Members["m0"].Health.EjectedUntil.Sub(now); got != rgfleet.MinEjectionTime {
		t.Errorf("ejection after a recovery lasts %v, want %v", got, rgfleet.MinEjectionTime)
	}
}

// TestWeight guards against a weight that sends too many tasks to a sidecar that fails or returns after an ejection, or too few to
// a healthy one. Each case names the failure that it guards against.
func TestWeight(t *testing.T) {
	tests := map[string]struct {
		guards            string
		failed            uint64
		wait              time.Duration
		wantLow, wantHigh float64
	}{
		"healthy":          {guards: "a sidecar without failures gets fewer tasks", wantLow: 1, wantHigh: 1},
		"failing":          {guards: "a failing upstream gets tasks because it looks idle", failed: 3, wantLow: 0.25, wantHigh: 0.25},
		"ejection ends":    {guards: "a burst of tasks after an ejection", failed: 10, wait: time.Second, wantLow: 0.1, wantHigh: 0.1},
		"half of the ramp": {guards: "a step instead of a ramp", failed: 10, wait: 6 * time.Second, wantLow: 0.54, wantHigh: 0.56},
		"after the ramp":   {guards: "a weight that stays low or exceeds 1", failed: 10, wait: time.Minute, wantLow: 1, wantHigh: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := newFleet(4, now)
			report(sta, "m0", 0, tc.failed, 0, 0, now)
			got := rgfleet.Weight(sta.Members["m0"], now.Add(tc.wait))
			if got < tc.wantLow || got > tc.wantHigh {
				t.Errorf("weight %v, want %v to %v; guards against: %s", got, tc.wantLow, tc.wantHigh, tc.guards)
			}
		})
	}
}

// TestServiceTime guards against a service time from a source that is less reliable than another known one. Each case names the
// failure that it guards against.
func TestServiceTime(t *testing.T) {
	tests := map[string]struct {
		guards         string
		own, others    time.Duration
		declared, want time.Duration
	}{
		"nothing":  {guards: "a service time of zero", want: rgmodel.DefaultServiceTime},
		"declared": {guards: "the declared time is ignored before a time is learned", declared: time.Second, want: time.Second},
		"own": {
			guards: "a wrong declared time is used instead of the learned one",
			own:    100 * ms, others: 300 * ms, declared: time.Second, want: 100 * ms,
		},
		"others": {
			guards: "a declared time ten times too long prevents placements on members that have not run the kind yet",
			others: 300 * ms, declared: 3 * time.Second, want: 300 * ms,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := newFleet(3, now)
			report(sta, "m1", 1, 0, 0, tc.others, now)
			report(sta, "m2", 1, 0, 0, tc.others, now)
			report(sta, "m0", 1, 0, 0, tc.own, now)
			if got := rgfleet.ServiceTime(sta, sta.Members["m0"], "kind", tc.declared); got != tc.want {
				t.Errorf("got %v, want %v; guards against: %s", got, tc.want, tc.guards)
			}
		})
	}
}

// TestSample guards against samples of the wrong size, with duplicates or without end. Each case names the failure that it guards
// against.
func TestSample(t *testing.T) {
	tests := map[string]struct {
		guards                       string
		members, disconnected, limit int
		want                         int
	}{
		"small fleet": {guards: "a sample that lacks members of a small fleet", members: 10, limit: 64, want: 10},
		"large fleet": {guards: "a sample that grows with the fleet", members: 1000, limit: 64, want: 64},
		"few usable":  {guards: "random draws that miss the few usable members", members: 1000, disconnected: 990, limit: 64, want: 10},
		"none usable": {guards: "an endless search", members: 1000, disconnected: 1000, limit: 64, want: 0},
		"empty":       {guards: "a draw from an empty fleet", limit: 64},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			sta := newFleet(tc.members, now)
			for i := range tc.disconnected {
				rgfleet.Disconnect(sta, sta.Members[fmt.Sprint("m", i)].Sidecar.Key(), now)
			}
			mems := rgfleet.Sample(sta, rgfleet.Selector{Limit: tc.limit}, rand.New(rand.NewPCG(1, 1)), now)
			seen := map[string]bool{}
			for _, mem := range mems {
				seen[mem.Sidecar.Name] = mem.Connected
			}
			if len(mems) != tc.want || len(seen) != tc.want {
				t.Errorf("%d members, %d of them distinct, want %d; guards against: %s", len(mems), len(seen), tc.want, tc.guards)
			}
		})
	}
}

// TestSampleFollowsFleet guards against samples of replaced or lost members, which are drawn if they remain in the member list.
func TestSampleFollowsFleet(t *testing.T) {
	now := time.Unix(1e9, 0)
	sta := newFleet(3, now)
	rgfleet.Announce(sta, rgmodel.Sidecar{Name: "m0", Incarnation: "2"}, now)
	rgfleet.Disconnect(sta, rgmodel.SidecarKey{Name: "m1", Incarnation: "1"}, now)
	rgfleet.RemoveLost(sta, time.Minute, now.Add(rgfleet.LostAfter))
	if len(sta.MemberList) != 2 || len(sta.Members) != 2 {
		t.Fatalf("%d members in the list, %d by name, want 2", len(sta.MemberList), len(sta.Members))
	}
	for _, mem := range sta.MemberList {
		if sta.Members[mem.Sidecar.Name] != mem {
			t.Errorf("member %+v of the list is not the one known by its name", mem.Sidecar)
		}
	}
}
