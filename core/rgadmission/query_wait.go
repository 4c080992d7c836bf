package rgadmission

import (
	"cmp"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// waitMargin allows for service times above the mean and for slots that sidecars leave free. In BenchmarkFlood, 1.25
// instead of 1 lowers the slot time that is spent on jobs that miss their deadline from 39% to 29% (flood of the most
// urgent kind with 10 times the capacity).
const waitMargin = 1.25

type (
	// LoadTotals is the sum of the loads of all sidecars, seen from the flow of a job.
	LoadTotals struct {
		Slots   int
		Running int
		// SentOther counts the tasks of other flows that this entry has sent since the last reports.
		SentOther int
		// QueuedAhead counts the tasks of the job's flow that are queued, including those sent since the last reports.
		QueuedAhead int
		// OtherFlowTasks counts the queued and running tasks of each other flow.
		OtherFlowTasks map[rgmodel.Flow]int
		// LearnedTime is the mean of the learned service times of the job's kind, weighted by slots, or zero.
		LearnedTime time.Duration
	}

	// FlowDemand is the number of slots that a flow could use, and its weight.
	FlowDemand struct {
		Slots, Weight float64
	}
)

// CheckWait refuses a job that is expected to wait so long that it misses its deadline.
// The loads are those of the sidecars that can run the job. The teams define the weights of the flows.
//
// Jobs of a flow without queued tasks are never refused. Therefore a flow always runs jobs from which its service time is
// learned, however wrong the declared or the last learned time is.
func CheckWait(lds []SidecarLoad, teams map[string]rgmodel.TeamConfig, jb rgmodel.Job) Refusal {
	tot := totalLoad(lds, jb.Flow)
	ahead := tot.QueuedAhead - max(0, tot.Slots-tot.Running-tot.SentOther)
	if tot.Slots == 0 || ahead <= 0 {
		return Refusal{}
	}
	share := slotShare(tot, teams, jb.Flow)
	wait := time.Duration(float64(ahead) * float64(declaredServiceTime(jb)) / share)
	if tot.LearnedTime > 0 {
		// The last task of the job must start early enough to finish, because a task that the deadline interrupts wastes
		// its slot time.
		last := ahead + len(jb.Tasks)
		wait = time.Duration(waitMargin * (float64(last)*float64(tot.LearnedTime)/share + float64(tot.LearnedTime)))
	}
	if wait <= jb.Deadline.Duration {
		return Refusal{}
	}
	return Refusal{
		Reason:     rgmodel.ReasonExpectedWait,
		Detail:     "the expected wait of " + wait.Round(time.Millisecond).String() + " exceeds the deadline of " + jb.Deadline.String(),
		RetryAfter: max(MinRetryAfter, wait-jb.Deadline.Duration),
	}
}

func totalLoad(lds []SidecarLoad, own rgmodel.Flow) LoadTotals {
	tot := LoadTotals{OtherFlowTasks: map[rgmodel.Flow]int{}}
	var learned time.Duration
	known := 0
	for _, lod := range lds {
		tot.Slots += lod.Slots
		tot.Running += lod.Report.Running
		for _, flo := range lod.Report.Flows {
			if flo.Flow == own {
				tot.QueuedAhead += flo.Queued
				continue
			}
			tot.OtherFlowTasks[flo.Flow] += flo.Queued + flo.Running
		}
		for _, flo := range lod.SentSinceReport {
			if flo.Flow == own {
				tot.QueuedAhead += flo.Queued
				continue
			}
			tot.SentOther += flo.Queued
			tot.OtherFlowTasks[flo.Flow] += flo.Queued
		}
		for _, kst := range lod.Report.ServiceTimes {
			if kst.Kind == own.Kind {
				learned += kst.Mean.Duration * time.Duration(lod.Slots)
				known += lod.Slots
			}
		}
	}
	if known > 0 {
		tot.LearnedTime = learned / time.Duration(known)
	}
	return tot
}

// slotShare returns the number of slots that the flow gets by weighted max-min fairness if it stays backlogged. A flow that
// needs less than its share leaves the rest to the others (Bertsekas, Gallager: "Data Networks", 1992, section 6.5.2).
func slotShare(tot LoadTotals, teams map[string]rgmodel.TeamConfig, own rgmodel.Flow) float64 {
	fds := make([]FlowDemand, 0, len(tot.OtherFlowTasks))
	free, ownWeight := float64(tot.Slots), flowWeight(teams, own)
	total := ownWeight
	// Sidecars leave slots free for other flows if the job's tasks are long. About half of these slots are assumed to be in
	// use, and thus already counted in the demand.
	demandFactor := 1 + rgqueue.ReserveFactor(tot.LearnedTime)/2
	for flo, tasks := range tot.OtherFlowTasks {
		fd := FlowDemand{Slots: demandFactor * float64(tasks), Weight: flowWeight(teams, flo)}
		fds = append(fds, fd)
		total += fd.Weight
	}
	slices.SortFunc(fds, func(fst, snd FlowDemand) int { return cmp.Compare(fst.Slots/fst.Weight, snd.Slots/snd.Weight) })
	for _, fd := range fds {
		if fd.Slots > free*fd.Weight/total {
			break
		}
		free -= fd.Slots
		total -= fd.Weight
	}
	return free * ownWeight / total
}

func flowWeight(teams map[string]rgmodel.TeamConfig, flo rgmodel.Flow) float64 {
	return float64(teams[flo.Team].FlowWeight(flo.Kind))
}

func declaredServiceTime(jb rgmodel.Job) time.Duration {
	if jb.RunTime.Duration > 0 {
		return jb.RunTime.Duration
	}
	return rgmodel.DefaultServiceTime
}
