package rgdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ragwortgap/core/rgmembership"
	"ragwortgap/core/rgmodel"
)

// Connect adds a new connection to a sidecar.
func Connect(sta *State, now time.Time, con SidecarConnID, name string, clock rgmodel.SidecarTime) {
	if sta.Sidecars == nil {
		sta.Sidecars = map[SidecarConnID]*SidecarConn{}
	}
	removeFromOrder(sta, con)
	sta.Sidecars[con] = &SidecarConn{
		Name: name, LastReceived: now, LostAt: now.Add(maxSilence), SidecarClock: clock,
		ReportInterval: rgmodel.MinReportInterval, Rank: rgmembership.Rank(sta.Name, name),
		Placed: map[rgmodel.Ticket]TaskRef{},
	}
	at, _ := slices.BinarySearchFunc(sta.Order, con, func(one, two SidecarConnID) int { return compareRanks(sta, one, two) })
	sta.Order = slices.Insert(sta.Order, at, con)
}

func removeFromOrder(sta *State, con SidecarConnID) {
	sta.Order = slices.DeleteFunc(sta.Order, func(cur SidecarConnID) bool { return cur == con })
}

func compareRanks(sta *State, one, two SidecarConnID) int {
	return cmp.Or(cmp.Compare(sta.Sidecars[one].Rank, sta.Sidecars[two].Rank), cmp.Compare(one, two))
}

// RecordHeartbeat records the sidecar's clock in a message and the time within which it sends the next one.
func RecordHeartbeat(sta *State, now time.Time, con SidecarConnID, clock rgmodel.SidecarTime, next time.Duration) {
	sc := sta.Sidecars[con]
	if sc == nil || clock < sc.SidecarClock {
		return
	}
	sc.SidecarClock = clock
	sc.LastReceived = now
	sc.LostAt = now.Add(next + messageTolerance)
	if len(sc.Placed) > 0 {
		limitSilence(sc, now)
	}
}

// limitSilence shortens the permitted silence of a sidecar that has tasks, because it sends messages often.
func limitSilence(sc *SidecarConn, now time.Time) {
	if due := now.Add(maxSilence); due.Before(sc.LostAt) {
		sc.LostAt = due
	}
}

// UpdateExecutor stores the description of the sidecar's executor.
func UpdateExecutor(sta *State, con SidecarConnID, exe rgmodel.Executor) {
	if sc := sta.Sidecars[con]; sc != nil {
		sc.Executor = exe
	}
}

// UpdateReport stores a sidecar's load report, which includes all tasks up to the ticket received.
func UpdateReport(sta *State, now time.Time, con SidecarConnID, rep rgmodel.ExecutorReport, received rgmodel.Ticket) []Effect {
	sc := sta.Sidecars[con]
	if sc == nil {
		return nil
	}
	becameUsable := becomesUsable(sc, rep)
	sc.Report = rep
	sc.ReportedAt = now
	for len(sc.Unreported) > 0 && sc.Unreported[0].Ticket <= received {
		sc.Unreported = sc.Unreported[1:]
	}
	var efs []Effect
	if rep.EarlierRunsEnded && mayHaveUnknownTasks(sta, now) {
		for _, jb := range sta.Jobs {
			if releaseUnknownTasks(jb, sc.Name) {
				efs = append(efs, placeWaiting(sta, now, jb, rgmodel.ReasonSidecarLost)...)
			}
		}
	}
	if becameUsable {
		for _, jb := range sta.Jobs {
			efs = append(efs, placeWaiting(sta, now, jb, rgmodel.ReasonNoUpstream)...)
		}
	}
	return efs
}

// mayHaveUnknownTasks reports whether a task may be unknown. All tasks of a lost connection are released or ended some time
// after its loss.
func mayHaveUnknownTasks(sta *State, now time.Time) bool {
	return now.Sub(sta.LastLoss) <= sta.Limits.MaxRunTimeAfterLoss+2*TickInterval
}

// releaseUnknownTasks makes the unknown tasks of a job ready for placement once their runs on the sidecar have ended. It reports
// whether there were any.
func releaseUnknownTasks(jb *Job, sidecar string) bool {
	released := false
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			if tsks[i].State == TaskUnknown && tsks[i].Sidecar == sidecar {
				tsks[i].State = TaskWaiting
				tsks[i].EndProof = ProofEarlierRunsEnded
				released = true
			}
		}
	}
	return released
}

// Disconnect removes a lost connection. Its tasks may go on running for a while and are unknown until they have certainly ended.
// A job that cannot wait that long is aborted at once.
func Disconnect(sta *State, now time.Time, con SidecarConnID) []Effect {
	sc := sta.Sidecars[con]
	if sc == nil {
		return nil
	}
	removeFromOrder(sta, con)
	delete(sta.Sidecars, con)
	if len(sc.Placed) > 0 {
		sta.LastLoss = now
	}
	affected := map[string]*Job{}
	for _, ref := range sc.Placed {
		jb := sta.Jobs[ref.Job]
		if jb == nil {
			continue
		}
		tsk := &jb.Tasks[ref.Step][ref.Index]
		tsk.State = TaskUnknown
		tsk.Sidecar = sc.Name
		tsk.EndedBy = now.Add(sta.Limits.MaxRunTimeAfterLoss)
		jb.MayHaveRun = true
		affected[ref.Job] = jb
	}
	var efs []Effect
	for _, jb := range affected {
		if willMissDeadline(sta, now, jb) {
			efs = append(efs, abortJob(sta, now, jb, rgmodel.ReasonSidecarLost)...)
		}
	}
	return efs
}

// Tick closes the connections of silent sidecars, aborts jobs that are past their deadline and places waiting tasks.
func Tick(sta *State, now time.Time) []Effect {
	updateReportIntervals(sta)
	var efs []Effect
	for con, sc := range sta.Sidecars {
		if isLost(sc, now) {
			efs = append(efs, CloseConn{Conn: con})
			efs = append(efs, Disconnect(sta, now, con)...)
		}
	}
	maps.DeleteFunc(sta.RunsEndedBy, func(_ string, by time.Time) bool { return !now.Before(by) })
	for _, jb := range sta.Jobs {
		efs = append(efs, checkJob(sta, now, jb)...)
	}
	return efs
}

func checkJob(sta *State, now time.Time, jb *Job) []Effect {
	if !now.Before(jb.Deadline) {
		return abortJob(sta, now, jb, rgmodel.ReasonDeadlineExceeded)
	}
	for _, tsks := range jb.Tasks {
		for i := range tsks {
			if tsks[i].State == TaskUnknown && !now.Before(tsks[i].EndedBy) {
				tsks[i].State = TaskWaiting
				tsks[i].EndProof = ProofMaxRunTime
			}
		}
	}
	return placeWaiting(sta, now, jb, rgmodel.ReasonNoUpstream)
}
