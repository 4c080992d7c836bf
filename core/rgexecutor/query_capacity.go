package rgexecutor

import (
	"math"
	"slices"
	"time"

	"ragwortgap/core/rgmodel"
)

const (
	// DefaultMaxLease applies where the deployment sets no maximum lease.
	DefaultMaxLease = time.Second
	// DefaultResendDelay applies where the deployment sets no resend delay.
	DefaultResendDelay = 1300 * time.Millisecond
)

// longestLease returns the longest lease that an executor grants.
func longestLease(sta *State) time.Duration {
	if sta.Limits.MaxLease <= 0 {
		return DefaultMaxLease
	}
	return sta.Limits.MaxLease
}

// LeaseTime returns the duration of the leases that are requested.
func LeaseTime(sta *State) time.Duration {
	return time.Duration(leaseFraction * float64(longestLease(sta)))
}

// maxTimeLeft returns how long a run may go on at most after control of its executor was lost. A next incarnation may carry out a
// start order without a reply and then grants it a lease of its own.
func maxTimeLeft(sta *State, now time.Time, los lossCause, run *Run) time.Duration {
	left := leaseLeft(sta, now)
	switch los.(type) {
	case lossRestarted, lossStartTimeLearned:
		if mayStartLate(run) {
			return max(left, maxUnrenewedRunTime(sta))
		}
	}
	return left
}

// maxUnrenewedRunTime returns how long a run may last after the last renewal of its lease. It does not bound when a start order without a
// reply is carried out.
func maxUnrenewedRunTime(sta *State) time.Duration {
	return time.Duration(float64(longestLease(sta))/minClockRate) + sta.Limits.TaskStopTime
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

// checkPlacement reports whether the tasks of a placement may be queued, and otherwise the reason why not. It repeats the checks of the
// entry, whose description of the executor may be that of an earlier incarnation.
func checkPlacement(sta *State, now time.Time, id EntryConnID, plc rgmodel.Placement) (rgmodel.Reason, bool) {
	switch {
	case sta.Conns[id] == nil, now.Sub(plc.Issued.Time()) > MaxPlacementAge:
		return rgmodel.ReasonExpired, false
	case sta.Draining, sta.Executor.Draining:
		return rgmodel.ReasonDraining, false
	case Evacuated(sta):
		return rgmodel.ReasonZoneEvacuated, false
	case sta.Phase != PhaseServing, plc.Service != sta.Executor.Service:
		return rgmodel.ReasonNoUpstream, false
	case !Usable(sta, now):
		return rgmodel.ReasonUpstreamUnreachable, false
	case !plc.Requires.Fits(sta.Executor.Capacity), !sta.Executor.HasLabel(plc.RequiredLabel):
		return rgmodel.ReasonNeverRunnable, false
	default:
		return "", true
	}
}

// runsSameTasks reports whether two descriptions are alike in what checkPlacement compares with a placement.
func runsSameTasks(one, two rgmodel.Executor) bool {
	return one.Service == two.Service && one.Capacity == two.Capacity && slices.Equal(one.Labels, two.Labels)
}

// isIdle reports whether nothing runs on the executor, it replies, and no start order is on its way that a next incarnation with the
// same id could carry out.
func isIdle(sta *State, now time.Time) bool {
	return len(sta.Runs) == 0 && len(sta.UntrackedRuns) == 0 && sta.ConnectionRefusedSince.IsZero() &&
		now.Sub(sta.LateStartPossibleAt) > maxOrderDelay
}

// Usable reports whether new tasks are accepted. None are while untracked runs are left, because these use an unknown part of
// the resources.
func Usable(sta *State, now time.Time) bool {
	return sta.Phase == PhaseServing && !sta.Undescribed && !sta.Unreachable && len(sta.UntrackedRuns) == 0 &&
		!sta.Draining && !sta.Executor.Draining && !now.Before(sta.Health.EjectedUntil) && !Evacuated(sta)
}

// canStart reports whether start orders may be sent now.
func canStart(sta *State, now time.Time) bool {
	return Usable(sta, now) && canRenewLease(sta, now)
}

// isSilent reports whether the entry of a connection has been silent for so long that its tasks must be stopped.
func isSilent(sta *State, now time.Time, id EntryConnID) bool {
	con := sta.Conns[id]
	return con != nil && now.Sub(con.LastAlive) > MaxSilence(sta)
}

// canRenewLease reports whether the lease may be renewed. It returns false while a stop has been unconfirmed for longer than
// stopConfirmTimeout. If the entry of a run is silent, or is lost and the stop is unconfirmed, it returns false at once, because
// the caller may send the job again soon. If the executor of a run is silent, the lease has to expire before the task can be placed
// elsewhere, and orders without a reply would go on renewing it.
func canRenewLease(sta *State, now time.Time) bool {
	for _, unt := range sta.UntrackedRuns {
		if now.Sub(unt.StopRequested) > stopConfirmTimeout {
			return false
		}
	}
	for _, run := range sta.Runs {
		stopping := run.State == RunStopping
		switch {
		case stopping && !run.StopConfirmed.IsZero():
		case isSilent(sta, now, run.AcceptedTask.Conn):
			return false
		case run.State == RunRunning && sinceReading(sta, now) > maxExecutorSilence:
			return false
		case stopping && (run.Reason == rgmodel.ReasonConnectionLost || now.Sub(run.StopRequested) > stopConfirmTimeout):
			return false
		}
	}
	return true
}

// leaseExpired reports whether every lease has expired, even by the slowest clock that an executor may have.
func leaseExpired(sta *State, now time.Time) bool {
	return sta.LeaseEnd > 0 && leaseLeft(sta, now) < 0
}

// LeaseLeft returns the time until every run has ended by the expiry of its lease. It is zero if there is no lease.
func LeaseLeft(sta *State, now time.Time) time.Duration {
	if sta.LeaseEnd == 0 {
		return 0
	}
	return max(leaseLeft(sta, now), 0)
}

// ClockLead returns how far a reading of the executor's clock is ahead of the clock that is estimated from the last reading, at most
// maxClockLead. It is zero if there is no reading yet.
func ClockLead(sta *State, now time.Time, clk rgmodel.ExecutorTime) time.Duration {
	if sta.ClockReadAt.IsZero() {
		return 0
	}
	return clockDifference(clk, sta.Executor.Clock) - sinceReading(sta, now)
}

// clockDifference returns the difference between two readings that are not negative, limited to maxClockLead either way.
func clockDifference(one, two rgmodel.ExecutorTime) time.Duration {
	limit := rgmodel.ExecutorTime(maxClockLead.Milliseconds())
	return time.Duration(min(max(one-two, -limit), limit)) * time.Millisecond
}

// addMillis adds a duration to a reading that is not negative.
func addMillis(clk rgmodel.ExecutorTime, dur time.Duration) rgmodel.ExecutorTime {
	ms := rgmodel.ExecutorTime(dur.Milliseconds())
	if clk > math.MaxInt64-ms {
		return math.MaxInt64
	}
	return clk + ms
}

// sinceReading returns the age of the last reading of the executor's clock, at most maxClockLead, or zero if there is none.
func sinceReading(sta *State, now time.Time) time.Duration {
	if sta.ClockReadAt.IsZero() {
		return 0
	}
	return min(max(now.Sub(sta.ClockReadAt), 0), maxClockLead)
}

// leaseLeft returns the time until every run has ended by the expiry of its lease, even by the slowest clock that an executor may
// have. It is negative if all leases have expired.
func leaseLeft(sta *State, now time.Time) time.Duration {
	onClock := clockDifference(sta.LeaseEnd, sta.Executor.Clock) + sta.Limits.TaskStopTime
	return time.Duration(float64(onClock)/minClockRate) - sinceReading(sta, now)
}

// earliestClock returns the earliest time that the executor's clock can show now.
func earliestClock(sta *State, now time.Time) rgmodel.ExecutorTime {
	return addMillis(sta.Executor.Clock, time.Duration(minClockRate*float64(sinceReading(sta, now))))
}

// fits reports whether the task fits into the free part of the allocatable resources. A recovering executor gets one run even
// if it exceeds the reduced resources.
func fits(sta *State, act AcceptedTask) bool {
	return Used(sta).Plus(act.Requires).Fits(allocatable(sta)) || sta.Health.Recovering && len(sta.Runs) == 0
}

// allocatable returns the total of resources that runs may use. After an ejection it is reduced until a run
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
func expectedRunTime(sta *State, act AcceptedTask) time.Duration {
	sld := sta.Slowdown
	if sld == 0 {
		sld = 1
	}
	return time.Duration(sld * float64(act.Task.Estimate))
}

func latestStart(sta *State, act AcceptedTask) time.Time {
	return act.SoftDeadline.Add(-expectedRunTime(sta, act))
}

// willMissDeadline reports whether a task that starts now would not end before its deadline.
func willMissDeadline(sta *State, now time.Time, act AcceptedTask) bool {
	// minFraction is the fraction of the expected run time on this executor that must fit before the deadline. It allows for
	// estimates that are too long.
	const minFraction = 0.6
	return now.Add(time.Duration(minFraction * float64(expectedRunTime(sta, act)))).After(act.Deadline)
}
