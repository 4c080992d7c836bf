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
	// ExecutorKeyPrefix is the prefix of the keys under which sidecars save the description of their executor, each time it
	// changes.
	ExecutorKeyPrefix = "ragwortgap/executors/"
	// storeRetryDelay is the delay after a failed call to the store, storeAttempts the number of calls for one record. Few
	// are enough, because an executor sends a heartbeat every few seconds in any case.
	storeRetryDelay = 300 * time.Millisecond
	storeAttempts   = 5
)

// Store persists the state that a sidecar needs immediately after a restart.
type Store interface {
	Get(ctx context.Context, key string) (rgstore.Item, error)
	Put(ctx context.Context, key string, wri rgstore.Write) rgstore.WriteResult
}

// restoreExecutor reads the executor that the previous process of the sidecar has saved, so that the sidecar need not wait
// for its next heartbeat. If that executor no longer exists, orders to it fail, so a stale record does no harm.
func (pro *Process) restoreExecutor(workCtx context.Context) {
	for range storeAttempts {
		itm, err := pro.store.Get(workCtx, pro.executorKey())
		switch {
		case errors.Is(err, errors.NotFound):
			return
		case errors.Is(err, errors.NotValid):
			pro.logInvalidExecutor(itm, err)
			return
		case err != nil:
			rgclock.Sleep(workCtx, storeRetryDelay)
			continue
		}
		exe, err := decodeExecutor(itm.Value)
		if err != nil {
			pro.logInvalidExecutor(itm, err)
			return
		}
		pro.mailbox.Send(workCtx, ExecutorRestored{Executor: exe})
		return
	}
	pro.log.Warn("failed to read saved executor", zap.Int("tries", storeAttempts))
}

// logInvalidExecutor logs a saved executor that is not used. The sidecar waits for a heartbeat instead.
func (pro *Process) logInvalidExecutor(itm rgstore.Item, err error) {
	pro.log.Warn("saved executor is invalid", zap.Uint64("storeVersion", itm.Version), zap.Error(err))
}

// decodeExecutor decodes a saved executor. It fails with errors.NotValid if the record is malformed, because it may be from
// another writer.
func decodeExecutor(raw []byte) (rgmodel.Executor, error) {
	var exe rgmodel.Executor
	if err := json.Unmarshal(raw, &exe); err != nil {
		return rgmodel.Executor{}, errors.NewNotValid(err, "saved executor")
	}
	return exe, rgmodel.CheckExecutor(exe)
}

// saveExecutors writes the newest executor to the store, until workCtx ends.
func (pro *Process) saveExecutors(workCtx context.Context) {
	for {
		select {
		case <-workCtx.Done():
			return
		case exe := <-pro.toSave:
			if err := pro.saveExecutor(workCtx, exe); err != nil {
				pro.log.Warn("failed to save executor", zap.String("id", exe.Incarnation.ID), zap.Error(err))
			}
		}
	}
}

func (pro *Process) saveExecutor(workCtx context.Context, exe rgmodel.Executor) error {
	val, err := json.Marshal(exe)
	if err != nil {
		return errors.Trace(err)
	}
	var lastErr error
	expected := uint64(0)
	for range storeAttempts {
		switch res := pro.store.Put(workCtx, pro.executorKey(), rgstore.Write{Value: val, Expected: expected}).(type) {
		case rgstore.Written:
			return nil
		case rgstore.Conflicted:
			// Only this sidecar writes the key. The version is that of an earlier record, or of this one if the reply was lost.
			expected = res.Current.Version
		case rgstore.OutcomeUnknown:
			lastErr = res.Err
			rgclock.Sleep(workCtx, storeRetryDelay)
		}
	}
	return errors.Annotatef(lastErr, "%d attempts", storeAttempts)
}

func (pro *Process) executorKey() string { return ExecutorKeyPrefix + pro.settings.Name }

// queueSave passes the executor to the goroutine that saves it and replaces an older one that is still queued.
func (pro *Process) queueSave(exe rgmodel.Executor) {
	select {
	case <-pro.toSave:
	default:
	}
	pro.toSave <- exe
}
