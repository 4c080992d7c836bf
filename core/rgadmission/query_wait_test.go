package rgadmission_test

import (
	"testing"
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgmodel"
)

type waitCase struct {
	loads    []rgadmission.SidecarLoad
	tasks    int
	deadline time.Duration
	// declared is the declared run time of the job.
	declared time.Duration
	want     rgmodel.Reason
	// wantRetry is the expected RetryAfter, which is zero without a refusal.
	wantRetry time.Duration
}

var (
	own   = rgmodel.Flow{Team: "zelenaSkola", Kind: "stockChecks"}
	other = rgmodel.Flow{Team: "zelenaSkola", Kind: "allocations"}
	teams = map[string]rgmodel.TeamConfig{"zelenaSkola": {
		Kinds: []rgmodel.KindConfig{{Kind: "stockChecks", Weight: 1}, {Kind: "allocations", Weight: 3}},
	}}
)

// waitCases use sidecars with 8 slots and a learned service time of 100 ms unless the name says otherwise.
var waitCases = map[string]waitCase{
	"no sidecar": {tasks: 1, deadline: time.Second},
	"free slots": {loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {0, 4}})}, tasks: 1, deadline: time.Millisecond},
	"no free slot, empty queue": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {0, 8}})}, tasks: 360, deadline: time.Millisecond,
	},
	"the last task finishes at the deadline": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {72, 8}})}, tasks: 8, deadline: 1375 * time.Millisecond,
	},
	"the last task finishes after the deadline": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {72, 8}})}, tasks: 8, deadline: 1374 * time.Millisecond,
		want: rgmodel.ReasonExpectedWait, wantRetry: rgadmission.MinRetryAfter,
	},
	"the retry delay is the wait beyond the deadline": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {792, 8}})}, tasks: 8, deadline: time.Second,
		want: rgmodel.ReasonExpectedWait, wantRetry: 11625 * time.Millisecond,
	},
	"tasks sent since the report are counted": {
		loads: []rgadmission.SidecarLoad{withSent(newLoad(map[rgmodel.Flow][2]int{own: {0, 8}}), own, 72)},
		tasks: 8, deadline: time.Second,
		want: rgmodel.ReasonExpectedWait, wantRetry: 375 * time.Millisecond,
	},
	"tasks sent since the report take free slots first": {
		loads: []rgadmission.SidecarLoad{withSent(newLoad(nil), own, 8)}, tasks: 8, deadline: time.Millisecond,
	},
	"another flow gets no more than its share": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {8, 2}, other: {4000, 6}})},
		tasks: 2, deadline: 750 * time.Millisecond,
	},
	"another flow gets its share": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {8, 2}, other: {4000, 6}})},
		tasks: 2, deadline: 740 * time.Millisecond,
		want: rgmodel.ReasonExpectedWait, wantRetry: rgadmission.MinRetryAfter,
	},
	"a flow leaves the unused part of its share": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {50, 7}, other: {0, 1}})},
		tasks: 6, deadline: 1125 * time.Millisecond,
	},
	"sidecars leave slots free when tasks are long": {
		loads: []rgadmission.SidecarLoad{
			withServiceTime(newLoad(map[rgmodel.Flow][2]int{own: {24, 6}, other: {0, 2}}), 400*time.Millisecond),
		},
		tasks: 6, deadline: 3 * time.Second, want: rgmodel.ReasonExpectedWait, wantRetry: 500 * time.Millisecond,
	},
	"the loads of all sidecars are added": {
		loads: []rgadmission.SidecarLoad{newLoad(map[rgmodel.Flow][2]int{own: {80, 8}}), newLoad(map[rgmodel.Flow][2]int{own: {0, 8}})},
		tasks: 16, deadline: 875 * time.Millisecond,
	},
	"a declared time is not applied to the job's own tasks": {
		loads: []rgadmission.SidecarLoad{withoutServiceTime(newLoad(map[rgmodel.Flow][2]int{own: {8, 8}}))}, tasks: 360,
		declared: time.Second, deadline: time.Second,
	},
	"a declared time is applied to the queued tasks": {
		loads: []rgadmission.SidecarLoad{withoutServiceTime(newLoad(map[rgmodel.Flow][2]int{own: {16, 8}}))}, tasks: 1,
		declared: time.Second, deadline: time.Second,
		want: rgmodel.ReasonExpectedWait, wantRetry: time.Second,
	},
}

// newLoad returns the load of a sidecar with the given numbers of queued and running tasks of each flow, in this order.
func newLoad(taskCounts map[rgmodel.Flow][2]int) rgadmission.SidecarLoad {
	lod := rgadmission.SidecarLoad{Slots: 8}
	lod.Report.ServiceTimes = []rgmodel.KindServiceTime{{Kind: own.Kind, Mean: rgmodel.Duration{Duration: 100 * time.Millisecond}}}
	for flo, counts := range taskCounts {
		lod.Report.Flows = append(lod.Report.Flows, rgmodel.FlowLoad{Flow: flo, Queued: counts[0], Running: counts[1]})
		lod.Report.Queued += counts[0]
		lod.Report.Running += counts[1]
	}
	return lod
}

// withSent adds tasks that were sent since the report.
func withSent(lod rgadmission.SidecarLoad, flo rgmodel.Flow, tasks int) rgadmission.SidecarLoad {
	lod.SentSinceReport = []rgmodel.FlowLoad{{Flow: flo, Queued: tasks}}
	return lod
}

func withServiceTime(lod rgadmission.SidecarLoad, tim time.Duration) rgadmission.SidecarLoad {
	lod.Report.ServiceTimes[0].Mean.Duration = tim
	return lod
}

func withoutServiceTime(lod rgadmission.SidecarLoad) rgadmission.SidecarLoad {
	lod.Report.ServiceTimes = nil
	return lod
}

// TestCheckWait guards against jobs that are admitted although they would miss their deadline, and against refusals of jobs
// that would meet it.
func TestCheckWait(t *testing.T) {
	for name, tc := range waitCases {
		t.Run(name, func(t *testing.T) {
			jb := rgmodel.Job{Flow: own, Tasks: make([]rgmodel.Task, tc.tasks)}
			jb.Deadline.Duration, jb.RunTime.Duration = tc.deadline, tc.declared
			got := rgadmission.CheckWait(tc.loads, teams, jb)
			if got.Reason != tc.want {
				t.Fatalf("reason %q (%s), want %q", got.Reason, got.Detail, tc.want)
			}
			if got.RetryAfter != tc.wantRetry {
				t.Errorf("retry after %s, want %s", got.RetryAfter, tc.wantRetry)
			}
		})
	}
}
