package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// DefaultLongestLease is the longest lease of an executor where the deployment names none.
	DefaultLongestLease = time.Second
	// DefaultResendDelay is how soon after a lost answer a caller may send its job again where the deployment names nothing.
	DefaultResendDelay = 1300 * time.Millisecond
)

// LeaseTime returns how long a lease is asked for.
func LeaseTime(sta *State) time.Duration {
	lon := sta.Limits.LongestLease
	if lon <= 0 {
		lon = DefaultLongestLease
	}
	return time.Duration(leaseShare * float64(lon))
}

// longestRun returns how long a run may last that nobody renews.
func longestRun(sta *State) time.Duration {
	lon := sta.Limits.LongestLease
	if lon <= 0 {
		lon = DefaultLongestLease
	}
	return time.Duration(float64(lon)/slowestClock) + sta.Limits.TaskStopTime
}

// MaxSilence returns how long an entry may be silent before its tasks are stopped. Even if the stop is lost and only the
// end of the lease ends them, that is before a caller sends a job again that it believes lost.
func MaxSilence(sta *State) time.Duration {
	res := sta.Limits.ResendDelay
	if res <= 0 {
		res = DefaultResendDelay
	}
	lapse := time.Duration(float64(LeaseTime(sta)) / slowestClock)
	return max(res-lapse-2*TickInterval, 2*TickInterval)
}

// acceptable says whether tasks may be queued, and why not.
func acceptable(sta *State, now time.Time, id ConnID, plc rgmodel.Placement) (rgmodel.Reason, bool) {
	switch {
	case sta.Conns[id] == nil, now.Sub(plc.Issued.Time()) > MaxPlacementAge:
		return rgmodel.ReasonExpired, false
	case sta.Draining, sta.Executor.Draining:
		return rgmodel.ReasonDraining, false
	case sta.Phase != PhaseServing, plc.Service != sta.Executor.Service:
		return rgmodel.ReasonNoUpstream, false
	case !Usable(sta, now):
		return rgmodel.ReasonUpstreamUnreachable, false
	case !plc.Needs.Fits(sta.Executor.Capacity):
		return rgmodel.ReasonNeverRunnable, false
	default:
		return "", true
	}
}

// Usable says whether new tasks are accepted. Runs that this process has not started take an unknown part of the room.
func Usable(sta *State, now time.Time) bool {
	return sta.Phase == PhaseServing && len(sta.ForeignRuns) == 0 && !sta.Draining && !sta.Executor.Draining &&
		!now.Before(sta.Health.PausedUntil)
}

// startable says whether orders may be given now.
func startable(sta *State, now time.Time) bool {
	return Usable(sta, now) && renewable(sta, now)
}

// renewable says whether the lease may be renewed: not while a run goes on whose stop stays unconfirmed. There is no time to
// wait for that if the entry is lost, because its caller may send the job again soon.
func renewable(sta *State, now time.Time) bool {
	for _, run := range sta.Runs {
		if run.State != RunStopping || !run.StopConfirmed.IsZero() {
			continue
		}
		if run.Reason == rgmodel.ReasonConnectionLost || now.Sub(run.StopRequested) > stopPatience {
			return false
		}
	}
	return true
}

// lapsed says whether every lease that was given has run out, even on the slowest clock.
func lapsed(sta *State, now time.Time) bool {
	past := rgmodel.ExecutorTime(slowestClock * float64(now.Sub(sta.ClockReadAt).Milliseconds()))
	return sta.Lease > 0 && sta.Executor.Clock+past > sta.Lease+rgmodel.ExecutorTime(sta.Limits.TaskStopTime.Milliseconds())
}

func fits(sta *State, asg Assignment) bool {
	return Used(sta).Plus(asg.Needs).Fits(allocatable(sta)) || sta.Health.Recovering && len(sta.Runs) == 0
}

// allocatable returns the total of resources that runs may use. An executor that was at fault gets little until a run has succeeded.
func allocatable(sta *State) rgmodel.Resources {
	all := sta.Executor.Capacity
	if sta.Health.Recovering {
		all.Cores *= provingShare
	}
	return all
}

// Used returns the room that all runs take, those that are being stopped included.
func Used(sta *State) rgmodel.Resources {
	var sum rgmodel.Resources
	for _, run := range sta.Runs {
		sum = sum.Plus(run.Assignment.Needs)
	}
	return sum
}

// expected returns how long the task is expected to run here.
func expected(sta *State, asg Assignment) time.Duration {
	sld := sta.Slowdown
	if sld == 0 {
		sld = 1
	}
	return time.Duration(sld * float64(asg.Task.Estimate))
}

func latestStart(sta *State, asg Assignment) time.Time {
	return asg.SoftDeadline.Add(-expected(sta, asg))
}

// hopeless says whether a task that starts now would not end before its deadline. Estimates may be too long, so only
// the smaller part of the expected time has to fit.
func hopeless(sta *State, now time.Time, asg Assignment) bool {
	const leastShare = 0.6
	return now.Add(time.Duration(leastShare * float64(expected(sta, asg)))).After(asg.Deadline)
}
