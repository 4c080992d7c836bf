package rghome

import (
	"math/rand/v2"
	"time"

	"ragwortgap/core/rgadmission"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgjob"
	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgplacement"
	"ragwortgap/core/rgsubmission"
)

// candidates returns the sidecars that may get tasks of the job, or a sample of them in a large fleet.
func candidates(
	sta *State, jb rgmodel.Job, tried map[rgmodel.SidecarKey]bool, now time.Time, rnd *rand.Rand,
) []rgplacement.Candidate {
	inf := rgplacement.JobInfo{
		Flow: jb.Flow, DeclaredRunTime: jb.RunTime.Duration, Entries: len(sta.Ring.Ring.Entries), Teams: sta.Teams,
	}
	sel := rgfleet.Selector{Requires: jb.Requires, Exclude: tried, Limit: rgplacement.SampleSize(len(jb.Tasks))}
	mems := rgfleet.Sample(&sta.Fleet, sel, rnd, now)
	cans := make([]rgplacement.Candidate, 0, len(mems))
	for _, mem := range mems {
		can := rgplacement.NewCandidate(&sta.Fleet, mem, inf, now)
		if mem.Sidecar.AvailabilityZone != sta.Ring.Self.AvailabilityZone {
			can.RoundTrip = crossZoneRoundTrip
		}
		cans = append(cans, can)
	}
	return cans
}

// sidecarLoads returns the loads of the sidecars that may run the job.
func sidecarLoads(sta *State, jb rgmodel.Job, now time.Time) []rgadmission.SidecarLoad {
	var lds []rgadmission.SidecarLoad
	for _, mem := range rgfleet.Usable(&sta.Fleet, now) {
		if jb.Requires.Fits(mem.Sidecar.Capacity.Resources) {
			lds = append(lds, rgadmission.SidecarLoad{
				Slots: mem.Sidecar.Capacity.Slots, Report: mem.Report, SentSinceReport: mem.SentSinceReport,
			})
		}
	}
	return lds
}

// windowPassed reports whether the team's resubmission window for the id has passed.
func windowPassed(sta *State, jb rgmodel.Job, created, now time.Time) bool {
	win := sta.Teams[jb.Flow.Team].ResubmissionWindow.Duration
	if win <= 0 || win > rgmodel.MaxResubmissionWindow {
		win = rgmodel.MaxResubmissionWindow
	}
	return now.Sub(created) > win
}

// unrecordedTasks returns the tasks that are at none of the locations.
func unrecordedTasks(jb rgmodel.Job, locs []rgsubmission.TaskLocation) []rgmodel.Task {
	recorded := map[int]bool{}
	for _, loc := range locs {
		for _, idx := range loc.Indexes {
			recorded[idx] = true
		}
	}
	var tsks []rgmodel.Task
	for _, tsk := range jb.Tasks {
		if !recorded[tsk.Index] {
			tsks = append(tsks, tsk)
		}
	}
	return tsks
}

func recordedParts(jb rgmodel.Job, locs []rgsubmission.TaskLocation) []rgjob.Part {
	var pts []rgjob.Part
	for _, loc := range locs {
		prt := rgjob.Part{Sidecar: loc.Sidecar, Recorded: true}
		for _, idx := range loc.Indexes {
			prt.Tasks = append(prt.Tasks, jb.Tasks[idx])
		}
		pts = append(pts, prt)
	}
	return pts
}

func uniformFinalAnswer(jb rgmodel.Job, vd rgmodel.Verdict, rsn rgmodel.Reason, detail string) FinalAnswer {
	return FinalAnswer{Answer: rgmodel.UniformAnswer(jb, vd, rsn, detail)}
}

// conflictAnswer returns the answer for an id that was used with another body. The tasks of that body may have run, and they may be
// the same ones in another JSON text.
func conflictAnswer(jb rgmodel.Job) FinalAnswer {
	return uniformFinalAnswer(jb, rgmodel.MayHaveRun, rgmodel.ReasonDigestMismatch, "the id was used with another body")
}
