package rgexecutor

import (
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// lossTests contains the signs that the executor is about to end or has ended, none of which shows that its runs have ended.
var lossTests = map[string]func(har *harness){
	"deregistered": func(har *harness) {
		har.efs = append(har.efs, DeregisterExecutor(&har.sta, "i-1")...)
	},
	"connections refused": func(har *harness) {
		for range 2 {
			har.sta.Polls = []time.Time{har.now}
			ord := har.pollOrder()
			har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rgmodel.OrderReply{ConnectionRefused: true})...)
			har.now = har.now.Add(connectionRefusedTimeout)
		}
	},
	"heartbeat with another id": func(har *harness) {
		exe := newExecutor(2)
		exe.Incarnation.ID = "i-2"
		har.announce(exe)
	},
	"another id reports and replies": func(har *harness) {
		exe := newExecutor(2)
		exe.Incarnation.ID = "i-2"
		har.announce(exe)
		har.replyFromNewIncarnation(false)
	},
	"another id replies": func(har *harness) { har.replyFromNewIncarnation(false) },
	"another id replies to a stop": func(har *harness) {
		ord := rgmodel.StopOrder{Incarnation: har.sta.Executor.Incarnation, FenceToken: har.sta.FenceToken}
		rep := rgmodel.OrderReply{Replied: true, Clock: har.executorClock() + 3_600_000, Refusal: rgmodel.RefusalWrongIncarnation}
		har.efs = append(har.efs, HandleStopReply(&har.sta, har.now, ord, rep)...)
	},
	"another id replies and takes orders": func(har *harness) {
		har.replyFromNewIncarnation(false)
		exe := newExecutor(2)
		exe.Incarnation.ID = "i-2"
		har.announce(exe)
		ord := har.pollOrder()
		har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rgmodel.OrderReply{Replied: true, Clock: exe.Clock})...)
	},
}

// TestRunAfterLoss guards against two runs of a task at the same time: the sidecar reports the task as lost, so that its entry places it
// elsewhere, while the executor may go on running it until its lease expires.
func TestRunAfterLoss(t *testing.T) {
	for name, lose := range lossTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			ends := har.now.Add(leaseLeft(&har.sta, har.now))
			lose(har)
			if har.takeLossReports() {
				t.Fatalf("task is reported as lost %v before the lease of its run expires", ends.Sub(har.now))
			}
			for har.now.Before(ends) {
				har.advance(TickInterval / 10)
				if har.takeLossReports() && har.now.Before(ends) {
					t.Fatalf("task is reported as lost %v before the lease of its run expires", ends.Sub(har.now))
				}
			}
			har.efs = append(har.efs, Tick(&har.sta, har.now.Add(TickInterval))...)
			if len(har.sta.Runs)+len(har.sta.Orphans) > 0 {
				t.Errorf("%d runs and %d orphans after the lease has expired", len(har.sta.Runs), len(har.sta.Orphans))
			}
		})
	}
}

// TestReachableAgain guards against runs that are stopped or forgotten although their executor has only refused connections for a while.
func TestReachableAgain(t *testing.T) {
	har := newHarness(t)
	har.place("job", 1)
	har.replyToStarts(har.acceptedReply())
	lossTests["connections refused"](har)
	if Usable(&har.sta, har.now) {
		t.Fatal("executor is usable while it refuses connections")
	}
	har.advance(TickInterval)
	har.takeEffects()
	har.replyToPoll(t, []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}}, nil)
	if !Usable(&har.sta, har.now) {
		t.Error("executor is not usable after its reply")
	}
	for _, eff := range har.takeEffects() {
		if snd, ok := eff.(SendOrder); ok {
			if ord, stop := snd.Order.(rgmodel.StopOrder); stop {
				t.Errorf("run is stopped: %+v", ord)
			}
		}
	}
	har.endRuns(t, rgmodel.EndSucceeded)
	if har.sta.Counts.Succeeded != 1 {
		t.Errorf("counts %+v, want one task that has succeeded", har.sta.Counts)
	}
}

// TestUntrackedRunAfterLoss guards against two runs of a task at the same time: after a loss of the executor that shows no end, the sidecar
// reports that the runs of earlier connections have ended, while an untracked run goes on until its lease expires.
func TestUntrackedRunAfterLoss(t *testing.T) {
	for name, lose := range lossTests {
		t.Run(name, func(t *testing.T) {
			har := newHarness(t)
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.replyToPoll(t, []rgmodel.RunningRun{
				{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}, {Task: rgmodel.TaskKey{Job: "foreign"}, Run: 1},
			}, nil)
			lose(har)
			if earlierRunsEnded(&har.sta, har.now, testConn) {
				t.Errorf("phase %d: earlier runs are reported as ended before the lease of an untracked run expires", har.sta.Phase)
			}
		})
	}
}
