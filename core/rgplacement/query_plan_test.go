package rgplacement_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
)

const (
	seed = 20261204
	sec  = time.Second
)

var earliestFinishTests = map[string]struct {
	guards string
	cans   []rgplacement.Candidate
	tasks  int
	want   map[string]int
}{
	"slow upstream": {
		guards: "a slow idle upstream gets tasks although a fast one is idle",
		cans:   []rgplacement.Candidate{candidate("slow", 5*sec), candidate("fast", sec)},
		tasks:  8, want: map[string]int{"fast": 8},
	},
	"few long tasks": {
		guards: "load is measured in tasks, so ten long tasks seem to take less time than twenty short ones",
		cans:   []rgplacement.Candidate{loadedCandidate("long", 10, 100*sec, 1), loadedCandidate("short", 20, 2*sec, 1)},
		tasks:  1, want: map[string]int{"short": 1},
	},
	"small job": {
		guards: "a job that fits one sidecar is distributed over several, with one message for each",
		cans:   []rgplacement.Candidate{candidate("a", sec), candidate("b", sec), candidate("c", sec)},
		tasks:  6, want: map[string]int{"a": 6},
	},
	"almost busy sidecar": {
		guards: "a single task of a job goes to a busy sidecar although an idle one has slots for all",
		cans:   []rgplacement.Candidate{loadedCandidate("busy", 7, 0, 1), candidate("idle", sec)},
		tasks:  8, want: map[string]int{"idle": 8},
	},
	"large job": {
		guards: "tasks wait for a fast upstream longer than a slow idle one takes",
		cans:   []rgplacement.Candidate{candidate("fast", sec), candidate("slow", 3*sec)},
		tasks:  32, want: map[string]int{"fast": 24, "slow": 8},
	},
	"slow start": {
		guards: "a sidecar that returns after an ejection gets as many tasks as the others",
		cans: []rgplacement.Candidate{
			modified(candidate("back", sec), func(can *rgplacement.Candidate) { can.HealthWeight = 0.1 }), candidate("healthy", sec),
		},
		tasks: 8, want: map[string]int{"healthy": 8},
	},
	"flood of another flow": {
		guards: "the queue of another flow is counted in full although fair queueing serves this flow first",
		cans: []rgplacement.Candidate{
			modified(loadedCandidate("flooded", 108, 100*sec, 0.5), func(can *rgplacement.Candidate) { can.FlowTime = 0 }),
			loadedCandidate("own", 28, 20*sec, 1),
		},
		tasks: 1, want: map[string]int{"flooded": 1},
	},
	"distance": {
		guards: "tasks are sent to another availability zone although a near sidecar is as fast",
		cans: []rgplacement.Candidate{
			modified(candidate("far", sec), func(can *rgplacement.Candidate) { can.RoundTrip = sec }), candidate("near", sec),
		},
		tasks: 8, want: map[string]int{"near": 8},
	},
	"tiny service time": {
		guards: "the bisection of an interval of one nanosecond never ends",
		cans:   []rgplacement.Candidate{candidate("a", 1)}, tasks: 60, want: map[string]int{"a": 60},
	},
	"unknown service time": {
		guards: "a division by a service time of zero",
		cans:   []rgplacement.Candidate{candidate("a", 0)}, tasks: 360, want: map[string]int{"a": 360},
	},
}

// candidate returns an idle candidate with 8 slots.
func candidate(name string, serviceTime time.Duration) rgplacement.Candidate {
	return rgplacement.Candidate{Sidecar: rgmodel.SidecarKey{Name: name}, Slots: 8, ServiceTime: serviceTime}
}

// modified returns a modified copy of the candidate.
func modified(can rgplacement.Candidate, change func(*rgplacement.Candidate)) rgplacement.Candidate {
	change(&can)
	return can
}

// loadedCandidate returns a candidate with a service time of one second on which all tasks belong to the flow of the job.
func loadedCandidate(name string, load int, queuedTime time.Duration, fairShare float64) rgplacement.Candidate {
	can := candidate(name, sec)
	can.Load, can.QueuedTime, can.FlowTime, can.FairShare = load, queuedTime, queuedTime, fairShare
	return can
}

// TestEarliestFinish guards against tasks that are placed where they finish later than elsewhere, or on more sidecars than needed,
// and against service times with which the search for a placement fails. Each case names the failure that it guards against.
func TestEarliestFinish(t *testing.T) {
	for name, tc := range earliestFinishTests {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for _, asg := range rgplacement.Distribute(rgplacement.EarliestFinish{}, tc.cans, tc.tasks, nil).Assignments {
				got[asg.Sidecar.Name] += asg.Tasks
			}
			if !reflect.DeepEqual(got, tc.want) {
				t.Errorf("got %v, want %v; guards against: %s", got, tc.want, tc.guards)
			}
		})
	}
}

// TestDistributePlacesAll guards against policies that lose or add tasks, assign a sidecar twice or assign no task to it, and
// against probes that are not counted.
func TestDistributePlacesAll(t *testing.T) {
	tests := map[string]struct {
		policy rgplacement.Policy
		// factor is the number of assigned tasks or reservations per task, and probes the number of probes per task.
		factor, probes int
	}{
		"random":         {policy: rgplacement.Random{}, factor: 1},
		"powerOfChoices": {policy: rgplacement.PowerOfChoices{Choices: 3}, factor: 1, probes: 3},
		"earliestFinish": {policy: rgplacement.EarliestFinish{}, factor: 1},
		"lateBinding":    {policy: rgplacement.LateBinding{Choices: 3}, factor: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				cans := make([]rgplacement.Candidate, rnd.IntN(30))
				for i := range cans {
					cans[i] = randomCandidate(rnd, i)
				}
				tasks := 1 + rnd.IntN(rgmodel.MaxTasks)
				plc := rgplacement.Distribute(tc.policy, cans, tasks, rnd)
				sum, seen := 0, map[rgmodel.SidecarKey]bool{}
				for _, asg := range plc.Assignments {
					if asg.Tasks <= 0 || seen[asg.Sidecar] {
						t.Fatalf("assignment %+v is empty or the second one for its sidecar", asg)
					}
					sum, seen[asg.Sidecar] = sum+asg.Tasks, true
				}
				want := tasks * tc.factor
				if len(cans) == 0 {
					want = 0
				}
				if sum != want || plc.Probes != min(tasks*tc.probes, len(cans)) {
					t.Fatalf("%d tasks over %d candidates: %d assigned, %d probes", tasks, len(cans), sum, plc.Probes)
				}
			}
		})
	}
}

func randomCandidate(rnd *rand.Rand, index int) rgplacement.Candidate {
	can := candidate(string(rune('a'+index)), time.Duration(rnd.Int64N(int64(5*sec))))
	can.Slots, can.Load = rnd.IntN(9), rnd.IntN(20)
	can.RunningTime, can.QueuedTime, can.HealthWeight =
		time.Duration(rnd.Int64N(int64(sec))), time.Duration(rnd.Int64N(int64(99*sec))), rnd.Float64()
	can.FlowTime, can.FairShare = time.Duration(rnd.Float64()*float64(can.QueuedTime)), rnd.Float64()
	return can
}

// TestNewCandidate guards against a candidate that ignores a part of the load of its sidecar. Each case names the failure that it
// guards against.
func TestNewCandidate(t *testing.T) {
	own, other := rgmodel.Flow{Team: "club", Kind: "signUp"}, rgmodel.Flow{Team: "club", Kind: "list"}
	sc := rgmodel.Sidecar{Name: "s", Incarnation: "1", Capacity: rgmodel.Capacity{Slots: 8}}
	inf := rgplacement.JobInfo{Flow: own, Entries: 3, Teams: map[string]rgmodel.TeamConfig{
		"club": {Weight: 1, Kinds: []rgmodel.KindConfig{{Kind: "signUp", Weight: 3}, {Kind: "list", Weight: 1}}},
	}}
	tests := map[string]struct {
		guards string
		change func(*rgfleet.State)
		want   rgplacement.Candidate
	}{
		"report": {
			guards: "the kinds of the queued tasks are ignored, so long tasks count as much as short ones",
			want: rgplacement.Candidate{
				Load: 9, RunningTime: sec, QueuedTime: 17 * sec, FlowTime: 3 * sec, FairShare: 0.75, ServiceTime: sec, HealthWeight: 1,
			},
		},
		"sent": {
			guards: "all entries send tasks to the same sidecar until its next report, unaware of each other",
			change: func(flt *rgfleet.State) { rgfleet.CountSent(flt, sc.Key(), own, 4) },
			want: rgplacement.Candidate{
				Load: 21, RunningTime: sec, QueuedTime: 29 * sec, FlowTime: 15 * sec, FairShare: 0.75, ServiceTime: sec, HealthWeight: 1,
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			var flt rgfleet.State
			rgfleet.Announce(&flt, sc, now)
			rgfleet.RecordReport(&flt, rgmodel.LoadReport{
				Sidecar: "s", Incarnation: "1", Sequence: 1, Queued: 7, Running: 2, Succeeded: 1,
				Flows: []rgmodel.FlowLoad{{Flow: own, Queued: 2, Running: 2}, {Flow: other, Queued: 5}},
				ServiceTimes: []rgmodel.KindServiceTime{
					{Kind: "signUp", Mean: rgmodel.Duration{Duration: sec}}, {Kind: "list", Mean: rgmodel.Duration{Duration: 3 * sec}},
				},
			}, now)
			if tc.change != nil {
				tc.change(&flt)
			}
			tc.want.Sidecar, tc.want.Slots = sc.Key(), 8
			if got := rgplacement.NewCandidate(&flt, flt.Members["s"], inf, now); got != tc.want {
				t.Errorf("got %+v, want %+v; guards against: %s", got, tc.want, tc.guards)
			}
		})
	}
}
