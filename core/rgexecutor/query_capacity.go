package rgexecutor

import (
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// DefaultLongestLease applies where the deployment sets no longest lease.
	DefaultLongestLease = time.Second
	// DefaultResendDelay applies where the deployment sets no resend delay.
	DefaultResendDelay = 1300 * time.Millisecond
)

// LeaseTime returns the duration of the leases that are requested.
func LeaseTime(sta *State) time.Duration {
	lon := sta.Limits.LongestLease
	if lon <= 0 {
		lon = DefaultLongestLease
	}
	return time.Duration(leaseFraction * float64(lon))
}

// maxUnrenewedRunTime returns how long a run may last after the last renewal of its lease.
func maxUnrenewedRunTime(sta *State) time.Duration {
	lon := sta.Limits.LongestLease
	if lon <= 0 {
		lon = DefaultLongestLease
	}
	return time.Duration(float64(lon)/minClockRate) + sta.Limits.TaskStopTime
}

// MaxSilence returns how long an entry may be silent before its tasks are stopped. Even if the stop is lost and the tasks
// end only because the lease expires, they end before the caller sends the job again.
func MaxSilence(sta *State) time.Duration {
	res := sta.Limits.ResendDelay
	if res <= 0 {
		res = DefaultResendDelay
	}
	expiry := time.Duration(float64(LeaseTime(sta)) / minClockRate)
	return max(res-expiry-2*TickInterval, 2*TickInterval)
}

// checkPlacement reports whether the tasks of a placement may be queued, and otherwise the reason why not.
func checkPlacement(sta *State, now time.Time, id EntryConnID, plc rgmodel.Placement) (rgmodel.Reason, bool) {
	switch {
	case sta.Conns[id] == nil, now.Sub(plc.Issued.Time()) > MaxPlacementAge:
		return rgmodel.ReasonExpired, false
	case sta.Draining, sta.Executor.Draining:
		return rgmodel.ReasonDraining, false
	case sta.Phase != PhaseServing, plc.Service != sta.Executor.Service:
		return rgmodel.ReasonNoUpstream, false
	case !Usable(sta, now):
		return rgmodel.ReasonUpstreamUnreachable, false
	case !plc.Requires.Fits(sta.Executor.Capacity):
		return rgmodel.ReasonNeverRunnable, false
	default:
		return "", true
	}
}

// Usable reports whether new tasks are accepted. None are while foreign runs are left, because these use an unknown part of
// the resources.
func Usable(sta *State, now time.Time) bool {
	return sta.Phase == PhaseServing && len(sta.ForeignRuns) == 0 && !sta.Draining && !sta.Executor.Draining &&
		!now.Before(sta.Health.EjectedUntil)
}

// canStart reports whether start orders may be sent now.
func canStart(sta *State, now time.Time) bool {
	return Usable(sta, now) && canRenewLease(sta, now)
}

// canRenewLease reports whether the lease may be renewed. It may not while the stop of a run stays unconfirmed for long, or
// at all if the entry of the run is lost, because the caller may send the job again soon.
func canRenewLease(sta *State, now time.Time) bool {
	for _, run := range sta.Runs {
		if run.State != RunStopping || !run.StopConfirmed.IsZero() {
			continue
		}
		if run.Reason == rgmodel.ReasonConnectionLost || now.Sub(run.StopRequested) > stopConfirmTimeout {
			return false
		}
	}
	return true
}

// leaseExpired reports whether every lease has expired, even by the slowest clock that an executor may have.
func leaseExpired(sta *State, now time.Time) bool {
	elapsed := rgmodel.ExecutorTime(minClockRate * float64(now.Sub(sta.ClockReadAt).Milliseconds()))
	return sta.LeaseEnd > 0 && sta.Executor.Clock+elapsed > sta.LeaseEnd+rgmodel.ExecutorTime(sta.Limits.TaskStopTime.Milliseconds())
}

func fits(sta *State, asg AcceptedTask) bool {
	return Used(sta).Plus(asg.Requires).Fits(allocatable(sta)) || sta.Health.Recovering && len(sta.Runs) == 0
}

// allocatable returns the total of resources that runs may use. It is reduced for an executor that was faulty until a run
// succeeds.
func allocatable(sta *State) rgmodel.Resources {
	all := sta.Executor.Capacity
	if sta.Health.Recovering {
		all.Cores *= recoveryFraction
	}
	return all
}

// Used returns the resources that all runs use, including those that are being stopped.
func Used(sta *State) rgmodel.Resources {
	var sum rgmodel.Resources
	for _, run := range sta.Runs {
		sum = sum.Plus(run.AcceptedTask.Requires)
	}
	return sum
}

// expectedRunTime returns how long the task is expected to run on this executor.
func expectedRunTime(sta *State, asg AcceptedTask) time.Duration {
	sld := sta.Slowdown
	if sld == 0 {
		sld = 1
	}
	return time.Duration(sld * float64(asg.Task.Estimate))
}

func latestStart(sta *State, asg AcceptedTask) time.Time {
	return asg.SoftDeadline.Add(-expectedRunTime(sta, asg))
}

// willMissDeadline reports whether a task that starts now would not end before its deadline. Only a fraction of the expected
// run time has to fit, because estimates may be too long.
func willMissDeadline(sta *State, now time.Time, asg AcceptedTask) bool {
	const minFraction = 0.6
	return now.Add(time.Duration(minFraction * float64(expectedRunTime(sta, asg)))).After(asg.Deadline)
}
