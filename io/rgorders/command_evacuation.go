package rgorders

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgevacuation"
	"ragwortgap/core/rgexecutor"
)

// receiveEvacuation adopts the set of evacuated zones of an entry. nil means that the entry has sent its newest one before.
func (pro *Process) receiveEvacuation(workCtx context.Context, sta *State, now time.Time, con *EntryConn, set *rgevacuation.Set) {
	if set == nil {
		return
	}
	if err := rgevacuation.Check(*set); err != nil {
		pro.scope.Counter("evacuationsRejected").Inc(1)
		pro.log.Warn("set of evacuated zones rejected", zap.String("address", con.Address), zap.Error(err))
		return
	}
	exe := &sta.ExecutorState
	before, queued := rgexecutor.Evacuated(exe), len(exe.Queue)
	efs := rgexecutor.AdoptEvacuation(exe, now, *set)
	if after := rgexecutor.Evacuated(exe); after != before {
		pro.log.Info("evacuation of the zone", zap.Bool("evacuated", after), zap.String("zone", rgexecutor.Zone(exe)),
			zap.Uint64("storeVersion", set.Version), zap.String("address", con.Address), zap.Int("runs", len(exe.Runs)),
			zap.Int("queued", queued))
	}
	pro.perform(workCtx, sta, efs)
}

// evacuatedRuns returns the number of runs that go on although the executor's zone is evacuated.
func evacuatedRuns(sta *State) int {
	if !rgexecutor.Evacuated(&sta.ExecutorState) {
		return 0
	}
	return len(sta.ExecutorState.Runs)
}
