package rgdispatch

import (
	"time"

	"ragwortgap/core/rgmodel"
)

// Join takes note of a new connection to a sidecar.
func Join(sta *State, now time.Time, lnk LinkID, name string, echo rgmodel.Instant) {
	if sta.Members == nil {
		sta.Members = map[LinkID]*Member{}
	}
	sta.Members[lnk] = &Member{
		Name: name, Heard: now, Due: now.Add(memberSilence), Echo: echo, Every: rgmodel.ShortestReportInterval, Rank: rank(sta.Name, name),
		Places: map[rgmodel.Ticket]Place{},
	}
}

// Hear takes note of the sidecar's clock in a message, and of the time within which it sends the next one.
func Hear(sta *State, now time.Time, lnk LinkID, echo rgmodel.Instant, next time.Duration) {
	mem := sta.Members[lnk]
	if mem == nil || echo < mem.Echo {
		return
	}
	mem.Echo = echo
	mem.Heard = now
	mem.Due = now.Add(next + memberTolerance)
	if len(mem.Places) > 0 {
		expect(mem, now)
	}
}

// expect takes note that a sidecar that has tasks sends messages often.
func expect(mem *Member, now time.Time) {
	if due := now.Add(memberSilence); due.Before(mem.Due) {
		mem.Due = due
	}
}

// Describe takes note of the sidecar's executor.
func Describe(sta *State, lnk LinkID, exe rgmodel.Executor) {
	if mem := sta.Members[lnk]; mem != nil {
		mem.Executor = exe
	}
}

// Update takes note of a sidecar's load, which contains the placements up to the ticket.
func Update(sta *State, now time.Time, lnk LinkID, rep rgmodel.RoomReport, received rgmodel.Ticket) []Effect {
	mem := sta.Members[lnk]
	if mem == nil {
		return nil
	}
	mem.Report = rep
	mem.Reported = now
	for len(mem.Unseen) > 0 && mem.Unseen[0].Ticket <= received {
		mem.Unseen = mem.Unseen[1:]
	}
	if !rep.Cleared {
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

// Part takes note that a connection is lost. Its tasks may go on for a while, so that they are held until they have
// ended for certain. A job that cannot wait that long is given up now.
func Part(sta *State, now time.Time, lnk LinkID) []Effect {
	mem := sta.Members[lnk]
	if mem == nil {
		return nil
	}
	delete(sta.Members, lnk)
	touched := map[string]*Job{}
	for _, plc := range mem.Places {
		jb := sta.Jobs[plc.Job]
		if jb == nil {
			continue
		}
		tsk := &jb.Tasks[plc.Step][plc.Index]
		tsk.State = TaskHeld
		tsk.Sidecar = mem.Name
		tsk.HeldUntil = now.Add(sta.Limits.RunsGone)
		jb.Ran = true
		touched[plc.Job] = jb
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
	for lnk, mem := range sta.Members {
		if now.After(mem.Due) {
			efs = append(efs, Close{Link: lnk})
			efs = append(efs, Part(sta, now, lnk)...)
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
