package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// placeTasks places the planned tasks with one message per sidecar and step.
func placeTasks(sta *State, now time.Time, jb *Job, pln []plannedTask) []Effect {
	type target struct {
		conn SidecarConnID
		step int
	}
	jb.Admitted = jb.Admitted || len(pln) > 0
	plcs := map[target]*rgmodel.Placement{}
	var targets []target
	for _, plt := range pln {
		key := target{conn: plt.conn, step: plt.step}
		sc := sta.Sidecars[plt.conn]
		plc := plcs[key]
		if plc == nil {
			plc = newPlacement(now, jb, sc, plt.step)
			plcs[key] = plc
			targets = append(targets, key)
		}
		sc.LastTicket++
		limitSilence(sc, now)
		stp := jb.Request.Steps[plt.step]
		sc.Placed[sc.LastTicket] = TaskRef{Job: jb.Request.ID, Step: plt.step, Index: plt.index}
		sc.Unreported = append(sc.Unreported, UnreportedTask{Ticket: sc.LastTicket, Cores: stp.Requires.Cores})
		tsk := &jb.Tasks[plt.step][plt.index]
		tsk.State = TaskPlaced
		tsk.Conn = plt.conn
		tsk.Ticket = sc.LastTicket
		beginPlaceWait(now, tsk, plt)
		plc.Tasks = append(plc.Tasks, rgmodel.PlacedTask{
			Ticket:   sc.LastTicket,
			Key:      rgmodel.TaskKey{Job: jb.Request.ID, Step: plt.step, Index: plt.index},
			Estimate: estimateAt(sta, stp, sc), MaxWait: maxWait(tsk, plt), MaxQueueTime: plt.maxQueueTime,
		})
	}
	efs := make([]Effect, 0, len(targets))
	efs = append(efs, logPlacedAgain(sta, jb, pln)...)
	for _, key := range targets {
		efs = append(efs, SendPlacement{Conn: key.conn, Placement: *plcs[key]})
	}
	return efs
}

// logPlacedAgain returns the log effects for the planned tasks that may have run before.
func logPlacedAgain(sta *State, jb *Job, pln []plannedTask) []Effect {
	var efs []Effect
	for _, plt := range pln {
		tsk := jb.Tasks[plt.step][plt.index]
		if tsk.EndProof == "" {
			continue
		}
		efs = append(efs, LogPlacedAgain{
			Task:    rgmodel.TaskKey{Job: jb.Request.ID, Step: plt.step, Index: plt.index},
			Sidecar: sta.Sidecars[plt.conn].Name, LostBy: tsk.Sidecar, Proof: tsk.EndProof,
		})
	}
	return efs
}

// maxWait returns the longest expected wait at which the sidecar queues the task instead of returning it. The wait may differ
// from the entry's estimate, because the last load report is out of date and other entries place tasks there too.
func maxWait(tsk *Task, plt plannedTask) time.Duration {
	if tsk.PlacementRetries >= maxPlacementRetries {
		return 0
	}
	longest := plt.wait + max(minExtraWait, plt.slack/2)
	switch {
	case plt.worthwhileWait <= 0:
		return longest
	case placeReturns(tsk) >= maxPlaceWaits-1:
		return plt.worthwhileWait
	default:
		return min(longest, plt.worthwhileWait)
	}
}

func newPlacement(now time.Time, jb *Job, sc *SidecarConn, step int) *rgmodel.Placement {
	stm := EstimateSidecarTime(sc, now)
	return &rgmodel.Placement{
		Issued:             stm,
		Deadline:           stm.Add(jb.Deadline.Sub(now)),
		Service:            jb.Request.Route.Service,
		Priority:           jb.Request.Route.Priority,
		TimeToSoftDeadline: jb.SoftDeadline.Sub(now).Round(time.Millisecond),
		TimeToLateDeadline: lateDeadline(jb).Sub(now).Round(time.Millisecond),
		Requires:           jb.Request.Steps[step].Requires,
		RequiredLabel:      jb.Request.Steps[step].RequiredLabel,
		Spec:               jb.Request.Spec,
	}
}
