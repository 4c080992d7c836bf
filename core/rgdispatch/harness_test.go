package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

// harness holds the state of an entry. The test provides the messages of its sidecars and callers.
type harness struct {
	sta      State
	now      time.Time
	efs      []Effect
	lastConn SidecarConnID
}

func newHarness() *harness {
	har := &harness{now: time.Unix(1000, 0)}
	har.sta.Limits.MaxRunTimeAfterLoss = 1500 * time.Millisecond
	// The entry has been running for a while.
	har.sta.StartedAt = har.now.Add(-time.Hour)
	DetectSuspension(&har.sta, har.now)
	return har
}

// connectSidecar connects a sidecar and reports that its executor is usable. The executor has 8 free cores and the sidecar's name
// as its label.
func (har *harness) connectSidecar(name string, slowdown float64) SidecarConnID {
	har.lastConn++
	Connect(&har.sta, har.now, har.lastConn, name, rgmodel.SidecarTimeOf(har.now))
	UpdateExecutor(&har.sta, har.lastConn, rgmodel.Executor{Service: "desk", Capacity: rgmodel.Resources{Cores: 8}, Labels: []string{name}})
	har.report(har.lastConn, rgmodel.ExecutorReport{Slowdown: slowdown, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}})
	return har.lastConn
}

func (har *harness) report(con SidecarConnID, rep rgmodel.ExecutorReport) {
	sc := har.sta.Sidecars[con]
	RecordHeartbeat(&har.sta, har.now, con, rgmodel.SidecarTimeOf(har.now), TickInterval)
	har.efs = append(har.efs, UpdateReport(&har.sta, har.now, con, rep, sc.LastTicket)...)
}

// newRequest returns a request for a job with one step of one-core tasks, whose caller waits for 1.5 s.
func newRequest(id string, count int, estimate time.Duration) Request {
	return Request{
		ID: id, CallerWait: 1500 * time.Millisecond, Spec: "spec",
		Route: rgroute.Route{Name: "r", Service: "desk", LatencyAllowance: 60 * time.Millisecond, SlackFactor: 1.6, MaxAttempts: 2},
		Steps: []Step{{Count: count, Requires: rgmodel.Resources{Cores: 1}, Estimate: estimate}},
	}
}

func (har *harness) submit(cid CallerID, req Request) {
	har.efs = append(har.efs, Submit(&har.sta, har.now, cid, req)...)
}

// advance moves the time forward in ticks while all sidecars but the first silent one keep sending heartbeats.
func (har *harness) advance(dur time.Duration, silent ...SidecarConnID) {
	for ; dur > 0; dur -= TickInterval {
		har.now = har.now.Add(min(dur, TickInterval))
		for con := range har.sta.Sidecars {
			if len(silent) == 0 || con != silent[0] {
				RecordHeartbeat(&har.sta, har.now, con, rgmodel.SidecarTimeOf(har.now), TickInterval)
			}
		}
		DetectSuspension(&har.sta, har.now)
		har.efs = append(har.efs, Tick(&har.sta, har.now)...)
	}
}

// takePlaced returns the tickets of the tasks that were placed since the last call, by connection, and keeps the other effects.
func (har *harness) takePlaced() map[SidecarConnID][]rgmodel.Ticket {
	tks := map[SidecarConnID][]rgmodel.Ticket{}
	var rest []Effect
	for _, eff := range har.efs {
		if snd, ok := eff.(SendPlacement); ok {
			for _, tsk := range snd.Placement.Tasks {
				tks[snd.Conn] = append(tks[snd.Conn], tsk.Ticket)
			}
			continue
		}
		rest = append(rest, eff)
	}
	har.efs = rest
	return tks
}

// lastPlaced returns the last task that was placed since the last call of takePlaced.
func (har *harness) lastPlaced() rgmodel.PlacedTask {
	var last rgmodel.PlacedTask
	for _, eff := range har.efs {
		if snd, ok := eff.(SendPlacement); ok {
			last = snd.Placement.Tasks[len(snd.Placement.Tasks)-1]
		}
	}
	return last
}

// placedLabels returns the labels that the placements since the last call of takePlaced require.
func (har *harness) placedLabels() []string {
	var labels []string
	for _, eff := range har.efs {
		if snd, ok := eff.(SendPlacement); ok {
			labels = append(labels, snd.Placement.RequiredLabel)
		}
	}
	return labels
}

// busyReport returns the report of a fully used sidecar with 8 cores on which every task has the given expected wait.
func busyReport(slowdown float64, wait time.Duration) rgmodel.ExecutorReport {
	rep := rgmodel.ExecutorReport{
		Slowdown: slowdown, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}, Used: rgmodel.Resources{Cores: 8},
	}
	for range len(rgmodel.SlackBuckets) + 1 {
		rep.ExpectedWaits = append(rep.ExpectedWaits, wait)
	}
	return rep
}

// reportAllBusy reports from all sidecars that they are fully used and expect a wait of 1 s.
func (har *harness) reportAllBusy() {
	for con := range har.sta.Sidecars {
		har.report(con, busyReport(1, time.Second))
	}
}

// endAll reports the end of all tickets with the same status.
func (har *harness) endAll(tks map[SidecarConnID][]rgmodel.Ticket, sts rgmodel.EndStatus) {
	har.endAllWithReason(tks, sts, "")
}

func (har *harness) endAllWithReason(tks map[SidecarConnID][]rgmodel.Ticket, sts rgmodel.EndStatus, rsn rgmodel.Reason) {
	for con, all := range tks {
		for _, tkt := range all {
			end := rgmodel.TaskEnd{Ticket: tkt, Status: sts, Reason: rsn}
			har.efs = append(har.efs, RecordEnds(&har.sta, har.now, con, []rgmodel.TaskEnd{end})...)
		}
	}
}

// takeAnswers returns the callers, verdicts and reasons of the answers since the last call and drops the other effects.
func (har *harness) takeAnswers() string {
	txt := ""
	for _, eff := range har.efs {
		if ans, ok := eff.(SendAnswer); ok {
			txt += fmt.Sprintf("%d:%s:%s ", ans.Caller, ans.Verdict, ans.Reason)
		}
	}
	har.efs = nil
	return txt
}

func checkAnswers(t *testing.T, har *harness, want string) {
	t.Helper()
	if got := har.takeAnswers(); got != want {
		t.Errorf("answers %q, want %q", got, want)
	}
}
