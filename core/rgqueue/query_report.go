package rgqueue

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgmodel"
)

// Report returns the sidecar's load, with flows and kinds in a fixed order.
func Report(sta *State) rgmodel.Report {
	rep := rgmodel.Report{
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
		if len(flo.Waiting) > 0 || flo.Running > 0 {
			rep.Flows = append(rep.Flows, rgmodel.FlowLoad{Flow: key, Queued: len(flo.Waiting), Running: flo.Running})
		}
	}
	slices.SortFunc(rep.Flows, func(fst, snd rgmodel.FlowLoad) int {
		return cmp.Or(cmp.Compare(fst.Flow.Team, snd.Flow.Team), cmp.Compare(fst.Flow.Kind, snd.Flow.Kind))
	})
	for kind, tim := range sta.Times {
		rep.Times = append(rep.Times, rgmodel.KindTime{Kind: kind, Mean: rgmodel.Duration{Duration: tim}})
	}
	slices.SortFunc(rep.Times, func(fst, snd rgmodel.KindTime) int { return cmp.Compare(fst.Kind, snd.Kind) })
	return rep
}
