package rgdispatch

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgroute"
)

// bench is an entry with sidecars that the test plays.
type bench struct {
	sta  State
	now  time.Time
	efs  []Effect
	link ConnID
}

func newBench() *bench {
	bnc := &bench{now: time.Unix(1000, 0)}
	bnc.sta.Limits.RunsEndAfter = 1500 * time.Millisecond
	DetectStall(&bnc.sta, bnc.now)
	return bnc
}

// sidecar connects a sidecar with 8 cores.
func (bnc *bench) sidecar(name string, stretch float64) ConnID {
	bnc.link++
	Connect(&bnc.sta, bnc.now, bnc.link, name, rgmodel.InstantOf(bnc.now))
	UpdateExecutor(&bnc.sta, bnc.link, rgmodel.Executor{Service: "desk", Capacity: rgmodel.Resources{Cores: 8}, Labels: []string{name}})
	bnc.report(bnc.link, rgmodel.ExecutorReport{Slowdown: stretch, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}})
	return bnc.link
}

func (bnc *bench) report(con ConnID, rep rgmodel.ExecutorReport) {
	sc := bnc.sta.Sidecars[con]
	RecordHeartbeat(&bnc.sta, bnc.now, con, rgmodel.InstantOf(bnc.now), TickInterval)
	bnc.efs = append(bnc.efs, UpdateReport(&bnc.sta, bnc.now, con, rep, sc.LastTicket)...)
}

// request returns a job with one step of one-core tasks that its caller waits 1.5 s for.
func request(id string, count int, estimate time.Duration) Request {
	return Request{
		ID: id, CallerWait: 1500 * time.Millisecond, Spec: "spec",
		Route: rgroute.Route{Name: "r", Service: "desk", SLO: 60 * time.Millisecond, SlackFactor: 1.6, Attempts: 2},
		Steps: []Step{{Count: count, Needs: rgmodel.Resources{Cores: 1}, Estimate: estimate}},
	}
}

func (bnc *bench) submit(cid CallerID, req Request) {
	bnc.efs = append(bnc.efs, Submit(&bnc.sta, bnc.now, cid, req)...)
}

// wait lets time pass, with sidecars that stay alive.
func (bnc *bench) wait(dur time.Duration, silent ...ConnID) {
	for ; dur > 0; dur -= TickInterval {
		bnc.now = bnc.now.Add(min(dur, TickInterval))
		for con := range bnc.sta.Sidecars {
			if len(silent) == 0 || con != silent[0] {
				RecordHeartbeat(&bnc.sta, bnc.now, con, rgmodel.InstantOf(bnc.now), TickInterval)
			}
		}
		DetectStall(&bnc.sta, bnc.now)
		bnc.efs = append(bnc.efs, Tick(&bnc.sta, bnc.now)...)
	}
}

// placed returns the tickets of the tasks placed since the last call, by sidecar.
func (bnc *bench) placed() map[ConnID][]rgmodel.Ticket {
	tks := map[ConnID][]rgmodel.Ticket{}
	var rest []Effect
	for _, eff := range bnc.efs {
		if snd, ok := eff.(SendPlacement); ok {
			for _, tsk := range snd.Placement.Tasks {
				tks[snd.Conn] = append(tks[snd.Conn], tsk.Ticket)
			}
			continue
		}
		rest = append(rest, eff)
	}
	bnc.efs = rest
	return tks
}

// lastPlaced returns the last task that was placed.
func (bnc *bench) lastPlaced() rgmodel.PlacedTask {
	var last rgmodel.PlacedTask
	for _, eff := range bnc.efs {
		if snd, ok := eff.(SendPlacement); ok {
			last = snd.Placement.Tasks[len(snd.Placement.Tasks)-1]
		}
	}
	return last
}

// busyReport is the report of a sidecar with 8 cores on which every task waits for a while.
func busyReport(stretch float64, wait time.Duration) rgmodel.ExecutorReport {
	rep := rgmodel.ExecutorReport{
		Slowdown: stretch, Usable: true, Allocatable: rgmodel.Resources{Cores: 8}, Used: rgmodel.Resources{Cores: 8},
	}
	for range len(rgmodel.SlackBuckets) + 1 {
		rep.ExpectedWaits = append(rep.ExpectedWaits, wait)
	}
	return rep
}

// allBusy reports that every task would wait for a second everywhere.
func (bnc *bench) allBusy() {
	for con := range bnc.sta.Sidecars {
		bnc.report(con, busyReport(1, time.Second))
	}
}

// end reports the ends of all tickets.
func (bnc *bench) end(tks map[ConnID][]rgmodel.Ticket, sts rgmodel.EndStatus) {
	bnc.endFor(tks, sts, "")
}

func (bnc *bench) endFor(tks map[ConnID][]rgmodel.Ticket, sts rgmodel.EndStatus, rsn rgmodel.Reason) {
	for con, all := range tks {
		for _, tkt := range all {
			end := rgmodel.TaskEnd{Ticket: tkt, Status: sts, Reason: rsn}
			bnc.efs = append(bnc.efs, RecordEnds(&bnc.sta, bnc.now, con, []rgmodel.TaskEnd{end})...)
		}
	}
}

// answers returns the answers since the last call.
func (bnc *bench) answers() string {
	txt := ""
	for _, eff := range bnc.efs {
		if ans, ok := eff.(Answer); ok {
			txt += fmt.Sprintf("%d:%s:%s ", ans.Caller, ans.Verdict, ans.Reason)
		}
	}
	bnc.efs = nil
	return txt
}

func wantAnswers(t *testing.T, bnc *bench, want string) {
	t.Helper()
	if got := bnc.answers(); got != want {
		t.Errorf("answers %q, want %q", got, want)
	}
}
