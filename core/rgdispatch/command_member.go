package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Connect adds a new connection to a sidecar.
func Connect(sta *State, now time.Time, con ConnID, name string, clock rgmodel.Instant) {
	if sta.Members == nil {
		sta.Members = map[ConnID]*Member{}
	}
	sta.Members[con] = &Member{
		Name: name, LastHeard: now, LostAt: now.Add(memberSilence), SidecarClock: clock,
		ReportInterval: rgmodel.MinReportInterval, Rank: rank(sta.Name, name),
		Assigned: map[rgmodel.Ticket]TaskRef{},
	}
}

// RecordHeartbeat records the sidecar's clock in a message and the time within which it sends the next one.
func RecordHeartbeat(sta *State, now time.Time, con ConnID, clock rgmodel.Instant, next time.Duration) {
	mem := sta.Members[con]
	if mem == nil || clock < mem.SidecarClock {
		return
	}
	mem.SidecarClock = clock
	mem.LastHeard = now
	mem.LostAt = now.Add(next + memberTolerance)
	if len(mem.Assigned) > 0 {
		expect(mem, now)
	}
}

// expect takes note that a sidecar that has tasks sends messages often.
func expect(mem *Member, now time.Time) {
	if due := now.Add(memberSilence); due.Before(mem.LostAt) {
		mem.LostAt = due
	}
}

// UpdateExecutor stores the description of the sidecar's executor.
func UpdateExecutor(sta *State, con ConnID, exe rgmodel.Executor) {
	if mem := sta.Members[con]; mem != nil {
		mem.Executor = exe
	}
}

// UpdateReport stores a sidecar's report, which includes the placements up to the received ticket.
func UpdateReport(sta *State, now time.Time, con ConnID, rep rgmodel.ExecutorReport, received rgmodel.Ticket) []Effect {
	mem := sta.Members[con]
	if mem == nil {
		return nil
	}
	mem.Report = rep
	mem.ReportedAt = now
	for len(mem.Unreported) > 0 && mem.Unreported[0].Ticket <= received {
		mem.Unreported = mem.Unreported[1:]
	}
	if !rep.EarlierRunsEnded {
		return nil
	}
	var efs []Effect
	for _, jb := range sta.Jobs {
		if release(jb, mem.Name) {
			efs = append(efs, resume(sta, now, jb, rgmodel.ReasonSidecarLost)...)
		}
	}
	return efs
}

// release frees the job's tasks that were held for a sidecar on which nothing of them is left.
func release(jb *Job, sidecar string) bool {
	freed := false
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			if tsks[i].State == TaskHeld && tsks[i].Sidecar == sidecar {
				tsks[i].State = TaskWaiting
				freed = true
			}
		}
	}
	return freed
}

// Disconnect removes a lost connection. Its tasks may go on for a while, so that they are held until they have
// ended for certain. A job that cannot wait that long is given up now.
func Disconnect(sta *State, now time.Time, con ConnID) []Effect {
	mem := sta.Members[con]
	if mem == nil {
		return nil
	}
	delete(sta.Members, con)
	touched := map[string]*Job{}
	for _, ref := range mem.Assigned {
		jb := sta.Jobs[ref.Job]
		if jb == nil {
			continue
		}
		tsk := &jb.Tasks[ref.Step][ref.Index]
		tsk.State = TaskHeld
		tsk.Sidecar = mem.Name
		tsk.HeldUntil = now.Add(sta.Limits.RunsEndAfter)
		jb.Ran = true
		touched[ref.Job] = jb
	}
	var efs []Effect
	for _, jb := range touched {
		if hopeless(sta, now, jb) {
			efs = append(efs, giveUp(sta, now, jb, rgmodel.ReasonSidecarLost)...)
		}
	}
	return efs
}

// Tick ends what has run out of time and places what waits.
func Tick(sta *State, now time.Time) []Effect {
	watch(sta)
	var efs []Effect
	for con, mem := range sta.Members {
		if now.After(mem.LostAt) {
			efs = append(efs, CloseConn{Conn: con})
			efs = append(efs, Disconnect(sta, now, con)...)
		}
	}
	for _, jb := range sta.Jobs {
		efs = append(efs, attend(sta, now, jb)...)
	}
	return efs
}

func attend(sta *State, now time.Time, jb *Job) []Effect {
	if !now.Before(jb.Deadline) {
		return giveUp(sta, now, jb, rgmodel.ReasonDeadlineExceeded)
	}
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			if tsks[i].State == TaskHeld && !now.Before(tsks[i].HeldUntil) {
				tsks[i].State = TaskWaiting
			}
		}
	}
	return resume(sta, now, jb, rgmodel.ReasonNoUpstream)
}
