package rgexecutor

import (
	"testing"

	"ragwortgap/core/rgmodel"
)

// hintTests contains heartbeats of other incarnations than the known one, which is i-1 with the start time 100. A reply to an order
// contradicts each of them.
var hintTests = map[string][]rgmodel.ExecutorIncarnation{
	"later start time":              {{ID: "i-1", StartedMillis: 200}},
	"earlier start time":            {{ID: "i-1", StartedMillis: 50}},
	"no start time":                 {{ID: "i-1"}},
	"another id":                    {{ID: "i-2", StartedMillis: 200}},
	"another id, earlier":           {{ID: "i-2", StartedMillis: 50}},
	"another id, no start time":     {{ID: "i-2"}},
	"later and earlier start times": {{ID: "i-1", StartedMillis: 200}, {ID: "i-1", StartedMillis: 50}, {ID: "i-1", StartedMillis: 200}},
	"two other ids":                 {{ID: "i-2", StartedMillis: 200}, {ID: "i-3", StartedMillis: 300}, {ID: "i-2", StartedMillis: 200}},
}

// TestHeartbeatOfAnotherIncarnation guards against two runs of a task at the same time, and against lost work: a heartbeat of another
// writer, or one that was delayed, counts as the end of the incarnation that goes on running the task.
func TestHeartbeatOfAnotherIncarnation(t *testing.T) {
	for name, incs := range hintTests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(100))
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			har.takeEffects()
			known, token := har.sta.Executor, har.sta.FenceToken
			for _, inc := range incs {
				exe := newExecutor(inc.StartedMillis)
				exe.Incarnation, exe.Clock = inc, 10
				har.announce(exe)
			}
			asked := false
			for _, eff := range har.takeEffects() {
				if _, ok := eff.(CloseConn); ok {
					// The next start asks, too, which incarnation is there.
					continue
				}
				snd, ok := eff.(SendOrder)
				if !ok {
					t.Fatalf("effect of a heartbeat: %+v", eff)
				}
				ord, poll := snd.Order.(rgmodel.PollOrder)
				if !poll || ord.Incarnation != known.Incarnation {
					t.Fatalf("order after a heartbeat: %+v", snd.Order)
				}
				if ord.LeaseEnd != 0 {
					t.Error("the poll, which another incarnation may carry out, renews the lease by the clock of the known one")
				}
				asked = true
			}
			if !asked {
				t.Error("executor is not polled at once")
			}
			for len(har.sta.Polls) > 0 && har.sta.Phase == PhaseServing && asked {
				har.replyToPoll(t, []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}}, nil)
				asked = len(har.sta.Polls) > 1
			}
			if har.takeLossReports() || len(har.sta.Runs) != 1 || !Usable(&har.sta, har.now) {
				t.Errorf("%d runs, phase %d after the replies of the known incarnation", len(har.sta.Runs), har.sta.Phase)
			}
			if har.sta.Executor.Incarnation != known.Incarnation || har.sta.FenceToken != token {
				t.Errorf("incarnation %+v, token %d, want %+v and %d", har.sta.Executor.Incarnation, har.sta.FenceToken,
					known.Incarnation, token)
			}
		})
	}
}

// TestAnnouncedRestart guards against an executor that restarts under its id and stays unusable until its second heartbeat, because its
// first one only made the sidecar ask, and against a description of another writer that is used for it.
func TestAnnouncedRestart(t *testing.T) {
	next := rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: 200}
	tests := map[string]struct {
		announced []rgmodel.ExecutorIncarnation
		want      bool
	}{
		"by its heartbeat":                   {announced: []rgmodel.ExecutorIncarnation{next}, want: true},
		"by its heartbeat, then another one": {announced: []rgmodel.ExecutorIncarnation{next, {ID: "i-1", StartedMillis: 300}}, want: true},
		"another one only":                   {announced: []rgmodel.ExecutorIncarnation{{ID: "i-1", StartedMillis: 300}}},
		"not at all":                         {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(100))
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			for _, inc := range tc.announced {
				exe := newExecutor(inc.StartedMillis)
				exe.Clock, exe.Capacity.Cores = 10, float64(inc.StartedMillis)
				har.announce(exe)
			}
			har.takeEffects()
			har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(),
				rgmodel.OrderReply{Replied: true, Clock: 10, StartedMillis: 200})...)
			if !har.takeLossReports() || har.sta.Executor.Incarnation != next || len(har.sta.Polls) == 0 {
				t.Fatalf("%+v is not adopted with the reply of its next incarnation", har.sta.Executor)
			}
			har.takeOver(t)
			if got := Usable(&har.sta, har.now); got != tc.want {
				t.Errorf("usable after the first list: %v, want %v", got, tc.want)
			}
			if got := har.sta.Executor.Capacity.Cores; tc.want && got != 200 {
				t.Errorf("%v cores, want those of its own heartbeat", got)
			}
		})
	}
}

// TestReplacedExecutor guards against an executor that has replaced another one at its address and is not used until its next heartbeat,
// and against a sidecar that goes on asking for one that does not exist.
func TestReplacedExecutor(t *testing.T) {
	refusal := rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation}
	tests := map[string]struct {
		announced []string
		// refused is the number of polls that an executor with another id refuses.
		refused   int
		wantPhase Phase
		wantID    string
	}{
		"not announced":                     {refused: 1, wantPhase: PhaseNoExecutor},
		"announced":                         {announced: []string{"i-2"}, refused: 1, wantPhase: PhaseFencing, wantID: "i-2"},
		"announced by another writer":       {announced: []string{"i-2"}, refused: 2, wantPhase: PhaseNoExecutor},
		"announced, also by another writer": {announced: []string{"i-2", "i-3"}, refused: 2, wantPhase: PhaseFencing, wantID: "i-2"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			har := newHarnessOf(t, newExecutor(100))
			har.place("job", 1)
			har.replyToStarts(har.acceptedReply())
			for _, id := range tc.announced {
				exe := newExecutor(200)
				exe.Incarnation.ID = id
				har.announce(exe)
			}
			har.takeEffects()
			for range tc.refused {
				har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), refusal)...)
			}
			if har.takeLossReports() {
				t.Error("task is reported as lost before the lease of its run has expired")
			}
			if har.sta.Phase != tc.wantPhase || tc.wantID != "" && har.sta.Executor.Incarnation.ID != tc.wantID {
				t.Errorf("phase %d with %+v, want %d with %q", har.sta.Phase, har.sta.Executor.Incarnation, tc.wantPhase, tc.wantID)
			}
			if got := len(har.sta.Polls) > 0; got != (tc.wantPhase == PhaseFencing) {
				t.Errorf("executor is polled: %v", got)
			}
		})
	}
}

// TestUnknownStartTime guards against two runs of a task at the same time: the executor was described without its start time, and its first
// reply that names one counts as a restart, which ends all confirmed runs.
func TestUnknownStartTime(t *testing.T) {
	har := newHarnessOf(t, newExecutor(0))
	har.place("job", 1)
	har.replyToStarts(har.acceptedReply())
	har.takeEffects()
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(), rgmodel.OrderReply{
		Replied: true, Clock: har.executorClock(), StartedMillis: 100,
		Running: []rgmodel.RunningRun{{Task: rgmodel.TaskKey{Job: "job"}, Run: 1}},
	})...)
	if har.takeLossReports() {
		t.Error("task is reported as lost while it runs")
	}
	if har.sta.Executor.Incarnation.StartedMillis != 100 {
		t.Errorf("incarnation %+v, want the start time of the reply", har.sta.Executor.Incarnation)
	}
}

// TestTrueIncarnationAfterFalseOne guards against an executor that is never used again: a heartbeat of another writer was adopted while
// none was known, and the true incarnation counted as ended from then on.
func TestTrueIncarnationAfterFalseOne(t *testing.T) {
	har := newHarnessOf(t, newExecutor(100))
	har.replyFromNewIncarnation(false)
	har.announce(newExecutor(200))
	for _, started := range []int64{100, 200, 100} {
		har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, har.pollOrder(),
			rgmodel.OrderReply{Replied: true, Clock: har.executorClock(), StartedMillis: started})...)
	}
	exe := newExecutor(100)
	exe.Sequence = 2
	har.announce(exe)
	har.takeOver(t)
	if !Usable(&har.sta, har.now) {
		t.Error("executor is not usable after its heartbeat")
	}
}
