package rgentry

import (
	"time"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgfleet"
	"ragwortgap/core/rgmodel"
)

// burnInterval is how often the report on the error budgets is computed and published.
const burnInterval = 5 * time.Second

// CountMalformed counts a request that was refused before it became a job. Such requests do not count against the error
// budget.
func (pro *Process) CountMalformed() {
	pro.scope.Counter("requestsMalformed").Inc(1)
}

// CountUnauthorized counts a request that was refused because it had no valid key of its team.
func (pro *Process) CountUnauthorized() {
	pro.scope.Counter("requestsUnauthorized").Inc(1)
}

// countAnswer counts a job's final answer in the metrics and in the error budget of its flow.
func (pro *Process) countAnswer(sta *State, flow rgmodel.Flow, ans rgmodel.Answer, began, now time.Time) {
	pro.scope.Tagged(map[string]string{"verdict": jobVerdict(ans).String()}).Counter("jobs").Inc(1)
	pro.scope.Timer("jobTime").Record(now.Sub(began))
	kc, _ := sta.Home.Teams[flow.Team].Kind(flow.Kind)
	rgburn.CountJob(&sta.Burn, flow, rgburn.Classify(ans, now.Sub(began), kc.CallerWait.Duration), now)
}

// countRefusal counts the final answer to a submission that did not start its job.
func (pro *Process) countRefusal(sta *State, evt Submitted, ans rgmodel.Answer, now time.Time) {
	if len(ans.Outcomes) > 0 {
		rsn := string(ans.Outcomes[0].Reason)
		pro.scope.Tagged(map[string]string{"reason": rsn}).Counter("refusals").Inc(1)
	}
	pro.countAnswer(sta, evt.Job.Flow, ans, evt.arrivalTime(now), now)
}

// updateMetrics updates the gauges, and the burn report once in burnInterval.
func (pro *Process) updateMetrics(sta *State, now time.Time) {
	pro.scope.Gauge("ringGeneration").Update(float64(sta.Home.Ring.Ring.Generation))
	pro.scope.Gauge("ringEntries").Update(float64(len(sta.Home.Ring.Ring.Entries)))
	pro.scope.Gauge("sidecarsKnown").Update(float64(len(sta.Home.Fleet.Members)))
	pro.scope.Gauge("sidecarsUsable").Update(float64(len(rgfleet.Usable(&sta.Home.Fleet, now))))
	pro.scope.Gauge("sidecarsDeparted").Update(float64(len(sta.Home.Fleet.Departed)))
	pro.scope.Gauge("jobsRunning").Update(float64(len(sta.Runs)))
	pro.scope.Gauge("jobsParked").Update(float64(len(sta.Parked)))
	pro.scope.Gauge("submissionsKept").Update(float64(len(sta.Home.Submissions.Submissions)))
	pro.scope.Gauge("teams").Update(float64(len(sta.Home.Teams)))
	pro.scope.Gauge("callersWaiting").Update(float64(pro.waitingCallers.Load()))
	pro.scope.Gauge("draining").Update(boolToFloat(sta.Home.Draining))
	if now.Sub(sta.LastBurnReport) < burnInterval {
		return
	}
	sta.LastBurnReport = now
	rgburn.Expire(&sta.Burn, now)
	sta.BurnReport = rgburn.Report(&sta.Burn, sta.Home.Teams, now)
	pro.publish(sta)
}
