package rgexecutor

import (
	"slices"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// harness holds the state of a sidecar with one connected entry. The test provides the replies of its executor.
type harness struct {
	sta State
	now time.Time
	efs []Effect
}

const testConn = EntryConnID(1)

// newHarness returns the harness of a sidecar that controls an executor with 8 cores.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessOf(t, newExecutor(1))
}

// newHarnessOf returns the harness of a sidecar that controls the executor.
func newHarnessOf(t *testing.T, exe rgmodel.Executor) *harness {
	t.Helper()
	har := &harness{now: time.Unix(1000, 0)}
	Connect(&har.sta, har.now, testConn)
	har.announce(exe)
	har.takeOver(t)
	for len(har.sta.Polls) > 1 {
		har.replyToPoll(t, nil, nil)
	}
	har.openStartConns()
	har.takeEffects()
	return har
}

// openStartConns opens all connections for start orders to the known incarnation.
func (har *harness) openStartConns() {
	har.sta.StartConns = nil
	for range maxStartConns {
		har.sta.LastStartConn++
		har.sta.StartConns = append(har.sta.StartConns, StartConn{ID: har.sta.LastStartConn, Incarnation: har.sta.Executor.Incarnation})
	}
}

// takeOver replies to polls as an executor without runs until the sidecar has control.
func (har *harness) takeOver(t *testing.T) {
	t.Helper()
	// maxPolls allows for one poll that shows the clock and one with the token that is raised to it.
	const maxPolls = 2
	for range maxPolls {
		if har.sta.Phase != PhaseServing {
			har.replyToPoll(t, nil, nil)
		}
	}
	if har.sta.Phase != PhaseServing {
		t.Fatalf("phase %v after %d polls", har.sta.Phase, maxPolls)
	}
}

func newExecutor(startedMillis int64) rgmodel.Executor {
	return rgmodel.Executor{
		Incarnation: rgmodel.ExecutorIncarnation{ID: "i-1", StartedMillis: startedMillis}, Service: "desk",
		Capacity: rgmodel.Resources{Cores: 8, MemoryBytes: 1 << 30}, Clock: 5000, Sequence: 1,
	}
}

func (har *harness) announce(exe rgmodel.Executor) {
	har.efs = append(har.efs, UpdateExecutor(&har.sta, har.now, exe)...)
}

// placeOne places a task that needs one core, is estimated at 100 ms, and has the given time to its soft deadline and the
// given maximum wait.
func (har *harness) placeOne(timeToSoftDeadline, maxWait time.Duration) {
	har.efs = append(har.efs, Place(&har.sta, har.now, testConn, rgmodel.Placement{
		Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(2 * time.Second)), Service: "desk",
		TimeToSoftDeadline: timeToSoftDeadline, Requires: rgmodel.Resources{Cores: 1}, Tasks: []rgmodel.PlacedTask{{
			Ticket: 1, Key: rgmodel.TaskKey{Job: "job"}, Estimate: 100 * time.Millisecond, MaxWait: maxWait,
		}},
	})...)
}

// takeEffects returns the effects since the last call.
func (har *harness) takeEffects() []Effect {
	efs := har.efs
	har.efs = nil
	return efs
}

// advance moves the time forward in ticks while the entry keeps sending heartbeats.
func (har *harness) advance(dur time.Duration) {
	for ; dur > 0; dur -= TickInterval {
		har.now = har.now.Add(min(dur, TickInterval))
		RecordHeartbeat(&har.sta, testConn, har.now)
		har.efs = append(har.efs, Tick(&har.sta, har.now)...)
	}
}

// executorClock returns the time on the clock of the executor.
func (har *harness) executorClock() rgmodel.ExecutorTime {
	return rgmodel.ExecutorTime(5000 + har.now.Sub(time.Unix(1000, 0)).Milliseconds())
}

// place places tasks that need one core and 1 byte of memory and are estimated at 100 ms. Their tickets are numbered from
// 1000 times the length of the job id.
func (har *harness) place(job string, count int) {
	plc := rgmodel.Placement{
		Issued: rgmodel.SidecarTimeOf(har.now), Deadline: rgmodel.SidecarTimeOf(har.now.Add(2 * time.Second)), Service: "desk",
		TimeToSoftDeadline: 500 * time.Millisecond, Requires: rgmodel.Resources{Cores: 1, MemoryBytes: 1},
	}
	for i := range count {
		plc.Tasks = append(plc.Tasks, rgmodel.PlacedTask{
			Ticket: rgmodel.Ticket(len(job)*1000 + i), Key: rgmodel.TaskKey{Job: job, Index: i},
			Estimate: 100 * time.Millisecond,
		})
	}
	har.efs = append(har.efs, Place(&har.sta, har.now, testConn, plc)...)
}

// replyToStarts takes the effects, gives the same reply to all start orders among them and returns the number of these.
func (har *harness) replyToStarts(rep rgmodel.OrderReply) int {
	count := 0
	for _, eff := range har.takeEffects() {
		snd, ok := eff.(SendOrder)
		if !ok {
			continue
		}
		if ord, ok := snd.Order.(rgmodel.StartOrder); ok {
			count++
			har.efs = append(har.efs, HandleStartReply(&har.sta, har.now, ord, rep)...)
		}
	}
	return count
}

// replyToStops takes the effects, gives the same reply to all stop orders among them and returns the number of polls that
// follow without a wait.
func (har *harness) replyToStops(rep rgmodel.OrderReply) int {
	polls := 0
	for _, eff := range har.takeEffects() {
		snd, ok := eff.(SendOrder)
		if !ok {
			continue
		}
		if ord, ok := snd.Order.(rgmodel.StopOrder); ok {
			har.efs = append(har.efs, HandleStopReply(&har.sta, har.now, ord, rep)...)
		}
	}
	for _, eff := range har.efs {
		if snd, ok := eff.(SendOrder); ok {
			if ord, ok := snd.Order.(rgmodel.PollOrder); ok && ord.Wait == 0 {
				polls++
			}
		}
	}
	return polls
}

// pollOrder returns the oldest poll in flight.
func (har *harness) pollOrder() rgmodel.PollOrder {
	return rgmodel.PollOrder{Incarnation: har.sta.Executor.Incarnation, FenceToken: har.sta.FenceToken, Sent: har.sta.Polls[0]}
}

// excludeLateStarts makes the sidecar assume that no start order is on its way.
func (har *harness) excludeLateStarts() { har.sta.LateStartPossibleAt = time.Time{} }

// failPolls lets each poll fail with the reply, a given time after it is sent. It returns when polls are sent during the time.
func (har *harness) failPolls(dur, took time.Duration, rep rgmodel.OrderReply) []time.Time {
	type poll struct {
		ord rgmodel.PollOrder
		at  time.Time
	}
	var sent []time.Time
	var inFlight []poll
	end, nextTick := har.now.Add(dur), har.now.Add(TickInterval)
	for {
		for _, eff := range har.takeEffects() {
			if snd, ok := eff.(SendOrder); ok {
				if ord, ok := snd.Order.(rgmodel.PollOrder); ok {
					inFlight = append(inFlight, poll{ord: ord, at: har.now.Add(ord.Delay)})
					sent = append(sent, har.now.Add(ord.Delay))
				}
			}
		}
		slices.SortFunc(inFlight, func(one, two poll) int { return one.at.Compare(two.at) })
		if len(inFlight) == 0 || nextTick.Before(inFlight[0].at.Add(took)) {
			har.now, nextTick = nextTick, nextTick.Add(TickInterval)
			RecordHeartbeat(&har.sta, testConn, har.now)
			har.efs = append(har.efs, Tick(&har.sta, har.now)...)
		} else {
			pol := inFlight[0]
			inFlight, har.now = inFlight[1:], pol.at.Add(took)
			har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, pol.ord, rep)...)
		}
		if har.now.After(end) {
			return sent
		}
	}
}

// replyFromNewIncarnation replies to the oldest poll in flight as a new incarnation with the same or another id does.
func (har *harness) replyFromNewIncarnation(sameID bool) {
	ord := har.pollOrder()
	rep := rgmodel.OrderReply{Replied: true, Clock: 1, StartedMillis: 2}
	if !sameID {
		rep = rgmodel.OrderReply{Replied: true, Refusal: rgmodel.RefusalWrongIncarnation}
	}
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rep)...)
}

// takeLossReports takes the effects and reports whether they contain the report of a lost task.
func (har *harness) takeLossReports() bool {
	found := false
	for _, eff := range har.takeEffects() {
		rpe, ok := eff.(ReportEnd)
		found = found || ok && rpe.End.Status == rgmodel.EndLost
	}
	return found
}

// replyToPoll replies to the oldest poll in flight with the given runs.
func (har *harness) replyToPoll(t *testing.T, running []rgmodel.RunningRun, ended []rgmodel.EndedRun) {
	t.Helper()
	if len(har.sta.Polls) == 0 {
		t.Fatal("no poll in flight")
	}
	ord := har.pollOrder()
	rep := rgmodel.OrderReply{
		Replied: true, Clock: har.executorClock(), StartedMillis: ord.Incarnation.StartedMillis, Running: running, Ended: ended,
	}
	har.efs = append(har.efs, HandlePollReply(&har.sta, har.now, ord, rep)...)
}

// endRuns replies to the oldest poll in flight with the end of every run.
func (har *harness) endRuns(t *testing.T, sts rgmodel.EndStatus) {
	t.Helper()
	var ended []rgmodel.EndedRun
	for tsk, run := range har.sta.Runs {
		ended = append(ended, rgmodel.EndedRun{
			Sequence: har.sta.AckedSequence + uint64(len(ended)) + 1, Task: tsk, Run: run.Number, Status: sts,
		})
	}
	har.replyToPoll(t, nil, ended)
}

func (har *harness) acceptedReply() rgmodel.OrderReply {
	return rgmodel.OrderReply{Replied: true, Clock: har.executorClock()}
}
