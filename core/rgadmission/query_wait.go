package rgadmission

import (
	"cmp"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// margin allows for service times above the mean and for slots that sidecars leave free. From BenchmarkFlood: 1.25 instead
// of 1 lowers the slot time of jobs that miss their deadline from 39% to 29% (most urgent kind, 10 times the capacity).
const margin = 1.25

type (
	// LoadTotals sums the loads of all sidecars.
	LoadTotals struct {
		Slots   int
		Running int
		Sent    int
		// QueuedAhead counts the tasks of the job's flow that are queued or may still be.
		QueuedAhead int
		// Demand counts the tasks of each other flow.
		Demand map[rgmodel.Flow]int
		// LearnedTime is the mean service time of the job's kind over all slots where it is known, else zero.
		LearnedTime time.Duration
	}

	// FlowDemand is the demand of one flow for slots.
	FlowDemand struct {
		Demand, Weight float64
	}
)

// CheckWait refuses a job whose flow is expected to wait longer than the job's deadline allows.
// Loads are those of the sidecars that may run the job, and teams give the weights of flows.
//
// A flow without tasks in a queue is never refused. So a flow always has a job to learn its service time from, however
// wrong the declared or the last learned time is.
func CheckWait(lds []SidecarLoad, teams map[string]rgmodel.TeamConfig, jb rgmodel.Job) Refusal {
	tot := sum(lds, jb.Flow)
	ahead := tot.QueuedAhead - max(0, tot.Slots-tot.Running-tot.Sent)
	if tot.Slots == 0 || ahead <= 0 {
		return Refusal{}
	}
	share := slotShare(tot, teams, jb.Flow)
	wait := time.Duration(float64(ahead) * float64(declared(jb)) / share)
	if tot.LearnedTime > 0 {
		// The last task of the job must start early enough to finish: one that the deadline cuts off has
		// used a slot for nothing.
		last := ahead + len(jb.Tasks)
		wait = time.Duration(margin * (float64(last)*float64(tot.LearnedTime)/share + float64(tot.LearnedTime)))
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

func sum(lds []SidecarLoad, own rgmodel.Flow) LoadTotals {
	tot := LoadTotals{Demand: map[rgmodel.Flow]int{}}
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
			tot.Demand[flo.Flow] += flo.Queued + flo.Running
		}
		for _, flo := range lod.SentSinceReport {
			if flo.Flow == own {
				tot.QueuedAhead += flo.Queued
				continue
			}
			tot.Sent += flo.Queued
			tot.Demand[flo.Flow] += flo.Queued
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

// slotShare is the number of slots that the flow gets with endless work, by weighted max-min fairness: a flow with fewer
// tasks than its share leaves the rest to the others (Bertsekas, Gallager: "Data Networks", 1992, section 6.5.2).
func slotShare(tot LoadTotals, teams map[string]rgmodel.TeamConfig, own rgmodel.Flow) float64 {
	clms := make([]FlowDemand, 0, len(tot.Demand))
	free, mine := float64(tot.Slots), weight(teams, own)
	total := mine
	// Sidecars leave slots free for other flows when the job's tasks are long. About half of these slots are assumed to be in
	// use, and so in the demand already.
	more := 1 + rgqueue.ReserveFactor(tot.LearnedTime)/2
	for flo, tasks := range tot.Demand {
		clm := FlowDemand{Demand: more * float64(tasks), Weight: weight(teams, flo)}
		clms = append(clms, clm)
		total += clm.Weight
	}
	slices.SortFunc(clms, func(fst, snd FlowDemand) int { return cmp.Compare(fst.Demand/fst.Weight, snd.Demand/snd.Weight) })
	for _, clm := range clms {
		if clm.Demand > free*clm.Weight/total {
			break
		}
		free -= clm.Demand
		total -= clm.Weight
	}
	return free * mine / total
}

func weight(teams map[string]rgmodel.TeamConfig, flo rgmodel.Flow) float64 {
	return float64(teams[flo.Team].FlowWeight(flo.Kind))
}

func declared(jb rgmodel.Job) time.Duration {
	if jb.RunTime.Duration > 0 {
		return jb.RunTime.Duration
	}
	return DefaultServiceTime
}
