package rgstore

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// maxLoggedBytes limits what a log line contains of a key or a reason, because other writers choose them.
const maxLoggedBytes = 300

// MalformedLog logs and counts malformed items, each version of a key once as long as it is reported. The zero value does
// neither.
type MalformedLog struct {
	Log   *zap.Logger
	Scope tally.Scope

	mutex  sync.Mutex
	logged map[malformedID]bool
}

type malformedID struct {
	key     string
	version uint64
}

// Record logs and counts those of the malformed items that the previous call did not contain.
func (mlg *MalformedLog) Record(itms []MalformedItem) {
	mlg.mutex.Lock()
	defer mlg.mutex.Unlock()
	logged := make(map[malformedID]bool, len(itms))
	for _, itm := range itms {
		id := malformedID{key: itm.Key, version: itm.Version}
		if !logged[id] && !mlg.logged[id] {
			mlg.write(itm)
		}
		logged[id] = true
	}
	mlg.logged = logged
}

func (mlg *MalformedLog) write(itm MalformedItem) {
	if mlg.Log != nil {
		mlg.Log.Warn("malformed item in the store", zap.String("key", shorten(itm.Key)), zap.Uint64("storeVersion", itm.Version),
			zap.String("error", shorten(itm.Err.Error())))
	}
	if mlg.Scope != nil {
		mlg.Scope.Counter("storeItemsMalformed").Inc(1)
	}
}

func shorten(txt string) string { return txt[:min(len(txt), maxLoggedBytes)] }
