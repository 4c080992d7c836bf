package rgorders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
	"ragwortgap/io/rgstore"
)

const (
	// ExecutorPrefix is where the store remembers the executor of each sidecar. It is written once for each lifetime.
	ExecutorPrefix = "ragwortgap/executors/"
	// rememberPause is the pause after a failed call to the store, rememberTries the number of calls for one record. An
	// executor reports itself every few seconds in any case.
	rememberPause = 300 * time.Millisecond
	rememberTries = 5
)

// Store keeps what a sidecar has to know at once after a restart.
type Store interface {
	Get(ctx context.Context, key string) (rgstore.Item, error)
	Put(ctx context.Context, key string, wri rgstore.Write) rgstore.WriteResult
}

// recall reads which executor the sidecar had before its process was started, so that it need not wait for the next
// report of that executor. An executor that is not there any more does not answer its orders.
func (pro *Process) recall(work context.Context) {
	for range rememberTries {
		itm, err := pro.store.Get(work, pro.executorKey())
		switch {
		case errors.Is(err, errors.NotFound):
			return
		case err != nil:
			rgclock.Pause(work, rememberPause)
			continue
		}
		var exe rgmodel.Executor
		if err := json.Unmarshal(itm.Value, &exe); err != nil || exe.Service == "" {
			pro.log.Warn("remembered executor is unreadable", zap.Uint64("storeVersion", itm.Version), zap.Error(err))
			return
		}
		pro.mailbox.Send(work, Recalled{Executor: exe})
		return
	}
	pro.log.Warn("the store does not tell the executor", zap.Int("tries", rememberTries))
}

// remember writes executors to the store until ctx ends, always the newest one.
func (pro *Process) remember(work context.Context) {
	for {
		select {
		case <-work.Done():
			return
		case exe := <-pro.known:
			if err := pro.save(work, exe); err != nil {
				pro.log.Warn("executor is not remembered", zap.String("id", exe.Incarnation.ID), zap.Error(err))
			}
		}
	}
}

func (pro *Process) save(work context.Context, exe rgmodel.Executor) error {
	val, err := json.Marshal(exe)
	if err != nil {
		return errors.Trace(err)
	}
	var failure error
	expected := uint64(0)
	for range rememberTries {
		switch res := pro.store.Put(work, pro.executorKey(), rgstore.Write{Value: val, Expected: expected}).(type) {
		case rgstore.Written:
			return nil
		case rgstore.Conflicted:
			// Nobody else writes this key: the version is that of an earlier record, or of this one after a lost answer.
			expected = res.Current.Version
		case rgstore.OutcomeUnknown:
			failure = res.Err
			rgclock.Pause(work, rememberPause)
		}
	}
	return errors.Annotatef(failure, "%d tries", rememberTries)
}

func (pro *Process) executorKey() string { return ExecutorPrefix + pro.settings.Name }

// offer hands the executor to the goroutine that remembers it, in place of an older one that still waits.
func (pro *Process) offer(exe rgmodel.Executor) {
	select {
	case <-pro.known:
	default:
	}
	pro.known <- exe
}
