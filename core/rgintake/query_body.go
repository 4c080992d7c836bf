package rgintake

import (
	"slices"
	"time"
)

// short is the memory that a body lacks.
type short struct {
	bytes int64
	cause Cause
	// clientBytes and largeBytes are the parts that must come from the large bodies of the same client and from large bodies.
	clientBytes, largeBytes int64
}

// shortage returns the memory that a body of the size lacks.
func shortage(sta *State, bod *Body, size int64) short {
	lim, more := sta.Limits.bytes(), size-bod.Held
	sho := short{bytes: sta.Held + more - lim, cause: CauseBudget}
	if change := large(size) - large(bod.Held); change > 0 {
		sho.largeBytes = max(0, sta.Large+change-lim*largePercent/100)
		sho.clientBytes = max(0, sta.LargeOf[bod.Client]+change-lim*clientPercent/100)
	}
	if sho.clientBytes > 0 {
		sho.cause = CauseClient
	}
	sho.bytes = max(0, sho.bytes, sho.largeBytes, sho.clientBytes)
	return sho
}

// chooseEvicted returns the bodies whose memory another one gets, those that have been silent for longest first, or a refusal if they
// do not hold enough.
func chooseEvicted(sta *State, now time.Time, id BodyID, sho short) Verdict {
	client := sta.Bodies[id].Client
	var cands []BodyID
	for oth, bod := range sta.Bodies {
		if oth != id && bod.Ended == "" && evictable(bod, now) {
			cands = append(cands, oth)
		}
	}
	slices.SortFunc(cands, func(one, two BodyID) int { return sta.Bodies[one].LastRead.Compare(sta.Bodies[two].LastRead) })
	ended := sta.HeldByEnded
	var ver Verdict
	for _, cand := range cands {
		if sho.bytes <= 0 {
			break
		}
		bod := sta.Bodies[cand]
		isLarge, same := large(bod.Held) > 0, bod.Client == client
		if sho.clientBytes > 0 && !(isLarge && same) || sho.largeBytes > 0 && !isLarge {
			continue
		}
		sho.bytes -= bod.Held
		sho.largeBytes -= bod.Held
		sho.clientBytes -= bod.Held
		ended += bod.Held
		ver.Evicted = append(ver.Evicted, cand)
	}
	if sho.bytes > 0 || ended > sta.Limits.bytes()*endedPercent/100 {
		return Verdict{Refused: sho.cause}
	}
	return ver
}

// evictable reports whether a body may lose its memory to another one.
func evictable(bod *Body, now time.Time) bool {
	if !bod.Reading {
		return false
	}
	age := now.Sub(bod.Opened)
	return now.Sub(bod.LastRead) >= pressureStall || age >= pressureGrace && rate(bod, age) < pressureRate
}

// overdue returns why a body has to be ended although nobody needs its memory, or nothing.
func overdue(bod *Body, now time.Time) Cause {
	age := now.Sub(bod.Opened)
	switch {
	case !bod.Reading || bod.Ended != "":
		return ""
	case now.Sub(bod.LastRead) >= StallTime:
		return CauseStalled
	case age >= StallTime && rate(bod, age) < MinRate:
		return CauseSlow
	default:
		return ""
	}
}

// rate returns the average number of bytes a second of a body.
func rate(bod *Body, age time.Duration) float64 { return float64(bod.Received) / age.Seconds() }
