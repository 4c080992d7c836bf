package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// commit sends the planned tasks, one message for each sidecar and step.
func commit(sta *State, now time.Time, jb *Job, pln []choice) []Effect {
	type target struct {
		conn ConnID
		step int
	}
	batches := map[target]*rgmodel.Placement{}
	var order []target
	for _, cho := range pln {
		key := target{conn: cho.conn, step: cho.step}
		sc := sta.Sidecars[cho.conn]
		plc := batches[key]
		if plc == nil {
			plc = placement(now, jb, sc, cho.step)
			batches[key] = plc
			order = append(order, key)
		}
		sc.LastTicket++
		expect(sc, now)
		stp := jb.Request.Steps[cho.step]
		sc.Assigned[sc.LastTicket] = TaskRef{Job: jb.Request.ID, Step: cho.step, Index: cho.index}
		sc.Unreported = append(sc.Unreported, UnreportedTask{Ticket: sc.LastTicket, Cores: stp.Needs.Cores})
		tsk := &jb.Tasks[cho.step][cho.index]
		tsk.State = TaskPlaced
		tsk.Conn = cho.conn
		tsk.Ticket = sc.LastTicket
		plc.Tasks = append(plc.Tasks, rgmodel.PlacedTask{
			Ticket:   sc.LastTicket,
			Key:      rgmodel.TaskKey{Job: jb.Request.ID, Step: cho.step, Index: cho.index},
			Estimate: estimateAt(sta, stp, sc), MaxWait: patience(tsk, cho),
		})
	}
	efs := make([]Effect, 0, len(order))
	for _, key := range order {
		efs = append(efs, SendPlacement{Conn: key.conn, Placement: *batches[key]})
	}
	return efs
}

// patience returns how long a task may wait where it is placed before it is better placed anew. What an entry knows of a
// sidecar is some time old, and other entries place tasks there too.
func patience(tsk *Task, cho choice) time.Duration {
	if tsk.Reassignments >= mostMoves {
		return 0
	}
	return cho.wait + max(leastPatience, cho.left/2)
}

func placement(now time.Time, jb *Job, sc *SidecarConn, step int) *rgmodel.Placement {
	ins := SidecarTime(sc, now)
	return &rgmodel.Placement{
		Issued:   ins,
		Deadline: ins.Add(jb.Deadline.Sub(now)),
		Service:  jb.Request.Route.Service,
		Priority: jb.Request.Route.Priority,
		Slack:    jb.SoftDeadline.Sub(now).Round(time.Millisecond),
		Needs:    jb.Request.Steps[step].Needs,
		Spec:     jb.Request.Spec,
	}
}
