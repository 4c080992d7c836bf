package rgqueue

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgmodel"
)

// NewReport returns a snapshot of the sidecar's load. The order of the flows and of the service times is deterministic.
func NewReport(sta *State) rgmodel.LoadReport {
	rep := rgmodel.LoadReport{
		Sidecar:     sta.Self.Name,
		Incarnation: sta.Self.Incarnation,
		Generation:  sta.Ring.Generation,
		Queued:      sta.Queued,
		Running:     sta.Running,
		Succeeded:   sta.Succeeded,
		Failed:      sta.Failed,
		Draining:    sta.Draining,
	}
	for key, flo := range sta.Flows {
		if len(flo.Queue) > 0 || flo.Running > 0 {
			rep.Flows = append(rep.Flows, rgmodel.FlowLoad{Flow: key, Queued: len(flo.Queue), Running: flo.Running})
		}
	}
	slices.SortFunc(rep.Flows, func(fst, snd rgmodel.FlowLoad) int {
		return cmp.Or(
			cmp.Compare(snd.Queued+snd.Running, fst.Queued+fst.Running),
			cmp.Compare(fst.Flow.Team, snd.Flow.Team),
			cmp.Compare(fst.Flow.Kind, snd.Flow.Kind),
		)
	})
	rep.Flows = rep.Flows[:min(len(rep.Flows), MaxReportedFlows)]
	rep.ServiceTimes = reportedTimes(sta, rep.Flows)
	return rep
}

// reportedTimes returns the learned service times, those of the reported flows first.
func reportedTimes(sta *State, flos []rgmodel.FlowLoad) []rgmodel.KindServiceTime {
	busy := map[string]int{}
	for _, flo := range flos {
		busy[flo.Flow.Kind] = 1
	}
	var tims []rgmodel.KindServiceTime
	for kind, tim := range sta.ServiceTimes {
		tims = append(tims, rgmodel.KindServiceTime{Kind: kind, Mean: rgmodel.Duration{Duration: tim}})
	}
	slices.SortFunc(tims, func(fst, snd rgmodel.KindServiceTime) int {
		return cmp.Or(cmp.Compare(busy[snd.Kind], busy[fst.Kind]), cmp.Compare(fst.Kind, snd.Kind))
	})
	return tims[:min(len(tims), MaxReportedTimes)]
}
