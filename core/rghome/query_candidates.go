package rghome

import (
	"time"

	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgsubmission"
)

// candidates returns the sidecars that may get tasks of the job.
func candidates(sta *State, jb rgmodel.Job, tried map[rgmodel.SidecarKey]bool, now time.Time) []rgplacement.Candidate {
	var cans []rgplacement.Candidate
	for _, mem := range rgfleet.Usable(&sta.Fleet, now) {
		key := mem.Sidecar.Key()
		if tried[key] || !jb.Requires.Fits(mem.Sidecar.Capacity.Resources) {
			continue
		}
		can := rgplacement.Candidate{
			Sidecar:     key,
			Slots:       mem.Sidecar.Capacity.Slots,
			Load:        mem.Report.Queued + mem.Report.Running + mem.SentSince,
			ServiceTime: rgfleet.ServiceTime(mem, jb.Flow.Kind, jb.RunTime.Duration),
		}
		if mem.Sidecar.AvailabilityZone != sta.Ring.Self.AvailabilityZone {
			can.Distance = zoneDistance
		}
		cans = append(cans, can)
	}
	return cans
}

// tooOld reports whether the team's resubmission window for the id has passed.
func tooOld(sta *State, jb rgmodel.Job, created, now time.Time) bool {
	win := sta.Teams[jb.Flow.Team].ResubmissionWindow.Duration
	if win <= 0 || win > rgmodel.MaxResubmissionWindow {
		win = rgmodel.MaxResubmissionWindow
	}
	return now.Sub(created) > win
}

// unclaimed returns the tasks that are at none of the places.
func unclaimed(jb rgmodel.Job, places []rgsubmission.Place) []rgmodel.Task {
	claimed := map[int]bool{}
	for _, plc := range places {
		for _, idx := range plc.Indexes {
			claimed[idx] = true
		}
	}
	var tsks []rgmodel.Task
	for _, tsk := range jb.Tasks {
		if !claimed[tsk.Index] {
			tsks = append(tsks, tsk)
		}
	}
	return tsks
}

func recordedParts(jb rgmodel.Job, places []rgsubmission.Place) []rgjob.Part {
	var pts []rgjob.Part
	for _, plc := range places {
		prt := rgjob.Part{Sidecar: plc.Sidecar, Recorded: true}
		for _, idx := range plc.Indexes {
			prt.Tasks = append(prt.Tasks, jb.Tasks[idx])
		}
		pts = append(pts, prt)
	}
	return pts
}

func refuse(jb rgmodel.Job, vd rgmodel.Verdict, rsn rgmodel.Reason, detail string) Settled {
	return Settled{Answer: rgmodel.RefuseAll(jb, vd, rsn, detail)}
}
