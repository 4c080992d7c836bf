package rgdispatcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/io/rgserver"
)

// contactWatch checks the connection of a caller that waits for an answer. A request that is answered before the first check costs only
// a timer.
type contactWatch struct {
	timer *time.Timer
	// bound is the silence after which a connection is considered dead. It is zero if connections are not checked.
	bound   time.Duration
	silence time.Duration
	probing bool
}

// watchContact begins to watch the connection of a caller.
func (pro *Process) watchContact() *contactWatch {
	wat := &contactWatch{bound: time.Duration(pro.deadCallerBound.Load()), timer: time.NewTimer(rgdispatch.FirstContactCheck)}
	if wat.bound == 0 {
		wat.timer.Stop()
	}
	return wat
}

// isDead checks the connection when the timer has fired. It reports whether the connection is dead, and otherwise probes it if that is
// due and sets the timer.
func (wat *contactWatch) isDead(ctx context.Context) bool {
	silence, unanswered, known := rgserver.Contact(ctx)
	if !known {
		return false
	}
	wat.silence = silence
	chk := rgdispatch.CheckContact(rgdispatch.CallerContact{Silence: silence, Unanswered: unanswered}, wat.bound)
	if chk.Dead {
		return true
	}
	if chk.Probe {
		wat.probing = true
		rgserver.ProbeCaller(ctx)
	}
	wat.timer.Reset(chk.Next)
	return false
}

// end ends the watch. The connection may be used for further requests.
func (wat *contactWatch) end(ctx context.Context) {
	wat.timer.Stop()
	if wat.probing {
		rgserver.StopProbing(ctx)
	}
}

// recordDeadCaller counts and logs a job whose caller does not answer probes any more.
func (pro *Process) recordDeadCaller(job string, silence time.Duration) {
	pro.scope.Counter("deadCallers").Inc(1)
	pro.log.Info("connection of a caller is dead", zap.String("job", job), zap.Duration("silence", silence))
}
