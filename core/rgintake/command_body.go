package rgintake

import (
	"net/netip"
	"time"
)

// Open registers a body and reserves its first bytes. If the verdict is a refusal, the body is not registered.
func Open(sta *State, now time.Time, client netip.Addr, bytes int64) (BodyID, Verdict) {
	sta.LastID++
	bod := &Body{Client: client, Opened: now, LastRead: now, Reading: true}
	if sta.Bodies == nil {
		sta.Bodies = map[BodyID]*Body{}
	}
	sta.Bodies[sta.LastID] = bod
	ver := Grow(sta, now, sta.LastID, bytes)
	if ver.Refused != "" {
		delete(sta.Bodies, sta.LastID)
	}
	return sta.LastID, ver
}

// Grow reserves more bytes for a body. A body that makes progress gets the memory of those that have stalled.
func Grow(sta *State, now time.Time, id BodyID, bytes int64) Verdict {
	bod := sta.Bodies[id]
	if bod.Ended != "" {
		return Verdict{Refused: bod.Ended}
	}
	ver := Verdict{}
	if short := shortage(sta, bod, bod.Held+bytes); short.bytes > 0 {
		ver = chooseEvicted(sta, now, id, short)
		if ver.Refused != "" {
			count(sta, ver.Refused)
			return ver
		}
		for _, evicted := range ver.Evicted {
			end(sta, evicted, CauseEvicted)
		}
	}
	setHeld(sta, bod, bod.Held+bytes)
	return ver
}

// Receive records bytes of a body that have arrived.
func Receive(sta *State, now time.Time, id BodyID, bytes int64) {
	bod := sta.Bodies[id]
	bod.Received += bytes
	bod.LastRead = now
}

// Finish records that a body was read whole, and returns the cause if it was ended before.
func Finish(sta *State, id BodyID) Cause {
	bod := sta.Bodies[id]
	bod.Reading = false
	return bod.Ended
}

// Keep replaces the memory of a body by that of what was decoded from it. Small jobs are bounded by admission and hold nothing.
func Keep(sta *State, id BodyID, bytes int64) {
	if bytes <= SmallBytes {
		bytes = 0
	}
	setHeld(sta, sta.Bodies[id], bytes)
}

// Close releases the memory of a body.
func Close(sta *State, id BodyID) {
	bod := sta.Bodies[id]
	if bod == nil {
		return
	}
	setHeld(sta, bod, 0)
	delete(sta.Bodies, id)
}

// Expire ends the bodies that have stalled or are too slow, and returns them. It is called at short intervals. After a long one, the
// process may have been suspended while bytes arrived, so the bodies count as read just now.
func Expire(sta *State, now time.Time) []BodyID {
	late := !sta.LastExpired.IsZero() && now.Sub(sta.LastExpired) > maxExpireGap
	sta.LastExpired = now
	if late {
		for _, bod := range sta.Bodies {
			bod.LastRead, bod.Opened, bod.Received = now, now, 0
		}
		return nil
	}
	var ended []BodyID
	for id, bod := range sta.Bodies {
		if cause := overdue(bod, now); cause != "" {
			end(sta, id, cause)
			ended = append(ended, id)
		}
	}
	return ended
}

// end marks a body as ended. Its memory is released when its handler returns.
func end(sta *State, id BodyID, cause Cause) {
	bod := sta.Bodies[id]
	held := bod.Held
	setHeld(sta, bod, 0)
	bod.Ended = cause
	setHeld(sta, bod, held)
	count(sta, cause)
}

func count(sta *State, cause Cause) {
	if sta.Refused == nil {
		sta.Refused = map[Cause]int64{}
	}
	sta.Refused[cause]++
}

// setHeld changes the memory of a body and the sums.
func setHeld(sta *State, bod *Body, bytes int64) {
	if bod.Ended != "" {
		sta.HeldByEnded += bytes - bod.Held
		bod.Held = bytes
		return
	}
	change := large(bytes) - large(bod.Held)
	sta.Held += bytes - bod.Held
	bod.Held = bytes
	if change == 0 {
		return
	}
	if sta.LargeOf == nil {
		sta.LargeOf = map[netip.Addr]int64{}
	}
	sta.Large += change
	sta.LargeOf[bod.Client] += change
	if sta.LargeOf[bod.Client] == 0 {
		delete(sta.LargeOf, bod.Client)
	}
}

// large returns the bytes if they are those of a large body.
func large(bytes int64) int64 {
	if bytes <= SmallBytes {
		return 0
	}
	return bytes
}
