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
	link LinkID
}

func newBench() *bench {
	bnc := &bench{now: time.Unix(1000, 0)}
	bnc.sta.Limits.RunsGone = 1500 * time.Millisecond
	Observe(&bnc.sta, bnc.now)
	return bnc
}

// sidecar connects a sidecar with 8 cores.
func (bnc *bench) sidecar(name string, stretch float64) LinkID {
	bnc.link++
	Join(&bnc.sta, bnc.now, bnc.link, name, rgmodel.InstantOf(bnc.now))
	Describe(&bnc.sta, bnc.link, rgmodel.Executor{Service: "desk", Capacity: rgmodel.Resources{Cores: 8}, Labels: []string{name}})
	bnc.report(bnc.link, rgmodel.RoomReport{Stretch: stretch, Usable: true, Room: rgmodel.Resources{Cores: 8}})
	return bnc.link
}

func (bnc *bench) report(lnk LinkID, rep rgmodel.RoomReport) {
	mem := bnc.sta.Members[lnk]
	Hear(&bnc.sta, bnc.now, lnk, rgmodel.InstantOf(bnc.now), TickInterval)
	bnc.efs = append(bnc.efs, Update(&bnc.sta, bnc.now, lnk, rep, mem.Tickets)...)
}

// request returns a job with one step of one-core tasks that its caller waits 1.5 s for.
func request(id string, count int, estimate time.Duration) Request {
	return Request{
		ID: id, Wait: 1500 * time.Millisecond, Spec: "spec",
		Route: rgroute.Route{Name: "r", Service: "desk", Goal: 60 * time.Millisecond, Stretch: 1.6, Attempts: 2},
		Steps: []Step{{Count: count, Needs: rgmodel.Resources{Cores: 1}, Estimate: estimate}},
	}
}

func (bnc *bench) submit(tok Token, req Request) {
	bnc.efs = append(bnc.efs, Submit(&bnc.sta, bnc.now, tok, req)...)
}

// wait lets time pass, with sidecars that stay alive.
func (bnc *bench) wait(dur time.Duration, silent ...LinkID) {
	for ; dur > 0; dur -= TickInterval {
		bnc.now = bnc.now.Add(min(dur, TickInterval))
		for lnk := range bnc.sta.Members {
			if len(silent) == 0 || lnk != silent[0] {
				Hear(&bnc.sta, bnc.now, lnk, rgmodel.InstantOf(bnc.now), TickInterval)
			}
		}
		Observe(&bnc.sta, bnc.now)
		bnc.efs = append(bnc.efs, Tick(&bnc.sta, bnc.now)...)
	}
}

// placed returns the tickets of the tasks placed since the last call, by sidecar.
func (bnc *bench) placed() map[LinkID][]rgmodel.Ticket {
	tks := map[LinkID][]rgmodel.Ticket{}
	var rest []Effect
	for _, eff := range bnc.efs {
		if snd, ok := eff.(Send); ok {
			for _, tsk := range snd.Placement.Tasks {
				tks[snd.Link] = append(tks[snd.Link], tsk.Ticket)
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
		if snd, ok := eff.(Send); ok {
			last = snd.Placement.Tasks[len(snd.Placement.Tasks)-1]
		}
	}
	return last
}

// busyReport is the report of a sidecar with 8 cores on which every task waits for a while.
func busyReport(stretch float64, wait time.Duration) rgmodel.RoomReport {
	rep := rgmodel.RoomReport{
		Stretch: stretch, Usable: true, Room: rgmodel.Resources{Cores: 8}, Used: rgmodel.Resources{Cores: 8},
	}
	for range len(rgmodel.WaitSlacks) + 1 {
		rep.Waits = append(rep.Waits, wait)
	}
	return rep
}

// allBusy reports that every task would wait for a second everywhere.
func (bnc *bench) allBusy() {
	for lnk := range bnc.sta.Members {
		bnc.report(lnk, busyReport(1, time.Second))
	}
}

// end reports the ends of all tickets.
func (bnc *bench) end(tks map[LinkID][]rgmodel.Ticket, how rgmodel.EndKind) {
	bnc.endFor(tks, how, "")
}

func (bnc *bench) endFor(tks map[LinkID][]rgmodel.Ticket, how rgmodel.EndKind, rsn rgmodel.Reason) {
	for lnk, all := range tks {
		for _, tkt := range all {
			end := rgmodel.TaskEnd{Ticket: tkt, How: how, Reason: rsn}
			bnc.efs = append(bnc.efs, Finish(&bnc.sta, bnc.now, lnk, []rgmodel.TaskEnd{end})...)
		}
	}
}

// answers returns the answers since the last call.
func (bnc *bench) answers() string {
	txt := ""
	for _, eff := range bnc.efs {
		if ans, ok := eff.(Answer); ok {
			txt += fmt.Sprintf("%d:%s:%s ", ans.Token, ans.Verdict, ans.Reason)
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
