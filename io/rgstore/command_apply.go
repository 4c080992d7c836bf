package rgstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgclock"
)

// applyRetryDelay is the delay before the next attempt after a call without a usable reply.
const applyRetryDelay = 100 * time.Millisecond

type (
	// Change is a configuration to be written.
	Change struct {
		Key    string
		Config rgmodel.TeamConfig
		// ID identifies the change in the store after a reply was lost. It must be unique for each change.
		ID string
		// BaseRevision is the revision that the operator has seen. Zero replaces any revision.
		BaseRevision uint64
	}

	// ApplyResult is the outcome of a change.
	ApplyResult interface{ isApplyResult() }

	// Applied means that the store holds the configuration. Attempts counts the writes.
	Applied struct {
		Config   rgmodel.TeamConfig
		Attempts int
	}

	// Unchanged means that the store already held the same settings, so nothing was written.
	Unchanged struct{ Config rgmodel.TeamConfig }

	// Superseded means that another change is in force instead of this one. Overwritten is set if this change may have been
	// in force before it.
	Superseded struct {
		Mine        rgmodel.TeamConfig
		Theirs      rgmodel.TeamConfig
		Overwritten bool
	}
)

func (Applied) isApplyResult()    {}
func (Unchanged) isApplyResult()  {}
func (Superseded) isApplyResult() {}

// Apply writes a configuration by compare-and-swap and retries until the outcome is known or ctx ends. If it fails, the
// outcome is unknown, and the same change with the same ID may be applied again.
func (cli Client) Apply(ctx context.Context, chg Change) (ApplyResult, error) {
	itm, cur, err := cli.readTeam(ctx, chg.Key, 0)
	if err != nil {
		return nil, err
	}
	mine := chg.Config
	rgconfig.AssignRevision(&mine, cur, chg.ID)
	switch {
	case cur.ChangeID == chg.ID && chg.ID != "":
		return Applied{Config: cur}, nil
	case chg.BaseRevision > 0 && chg.BaseRevision != cur.Revision:
		mine.Revision = chg.BaseRevision + 1
		return Superseded{Mine: mine, Theirs: cur}, nil
	case cur.Revision > 0 && len(rgconfig.Diff(cur, mine)) == 0:
		return Unchanged{Config: cur}, nil
	}
	raw, err := json.Marshal(mine)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration")
	}
	return cli.writeUntilKnown(ctx, chg.Key, mine, Write{Value: raw, Expected: itm.Version})
}

// writeUntilKnown repeats the same compare-and-swap until it is known whether it took effect. The repetition is safe,
// because the key no longer has the expected version once the write took effect.
func (cli Client) writeUntilKnown(ctx context.Context, key string, mine rgmodel.TeamConfig, wri Write) (ApplyResult, error) {
	for attempts := 1; ; attempts++ {
		switch res := cli.Put(ctx, key, wri).(type) {
		case Written:
			return Applied{Config: mine, Attempts: attempts}, nil
		case Conflicted:
			cur, err := decodeTeam(res.Current)
			if err != nil {
				return nil, err
			}
			// Every earlier attempt got no usable reply.
			return resolveOutcome(mine, cur, attempts, attempts > 1), nil
		case OutcomeUnknown:
			// A state older than the one that was read before says nothing about the write.
			itm, cur, err := cli.readTeam(ctx, key, wri.Expected)
			if err != nil {
				return nil, errors.Annotatef(err, "change %s may have taken effect", mine.ChangeID)
			}
			if itm.Version != wri.Expected {
				return resolveOutcome(mine, cur, attempts, true), nil
			}
		}
		if !rgclock.Sleep(ctx, applyRetryDelay) {
			return nil, errors.Annotatef(ctx.Err(), "change %s may have taken effect", mine.ChangeID)
		}
	}
}

func resolveOutcome(mine, cur rgmodel.TeamConfig, attempts int, replyLost bool) ApplyResult {
	if cur.ChangeID == mine.ChangeID {
		return Applied{Config: cur, Attempts: attempts}
	}
	// After a lost reply, only the revision shows whether this write came before the other one.
	return Superseded{Mine: mine, Theirs: cur, Overwritten: replyLost && cur.Revision > mine.Revision}
}

// readTeam reads until the store replies with a version of at least minVersion or ctx ends.
func (cli Client) readTeam(ctx context.Context, key string, minVersion uint64) (Item, rgmodel.TeamConfig, error) {
	for {
		itm, err := cli.Get(ctx, key)
		if errors.Is(err, errors.NotFound) {
			itm, err = Item{Key: key}, nil
		}
		if err == nil && itm.Version >= minVersion {
			cur, err := decodeTeam(itm)
			return itm, cur, err
		}
		if !rgclock.Sleep(ctx, applyRetryDelay) {
			return Item{}, rgmodel.TeamConfig{}, errors.Annotatef(ctx.Err(), "read %s", key)
		}
	}
}

func decodeTeam(itm Item) (rgmodel.TeamConfig, error) {
	var tc rgmodel.TeamConfig
	if len(itm.Value) == 0 {
		return tc, nil
	}
	err := json.Unmarshal(itm.Value, &tc)
	return tc, errors.Annotatef(err, "configuration at %s", itm.Key)
}
