package rgintake

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const largeBytes = 256 << 10

var (
	start    = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	attacker = netip.MustParseAddr("10.0.0.1")
	caller   = netip.MustParseAddr("10.0.0.2")
)

// load is a number of bodies of a client that have arrived up to some bytes, and were last read some time ago.
type load struct {
	client   netip.Addr
	bodies   int
	held     int64
	silent   time.Duration
	opened   time.Duration
	received int64
	decoded  bool
}

// loaded returns a state with the smallest budget and bodies, and their number by load.
func loaded(t *testing.T, lods []load) (*State, map[BodyID]int) {
	t.Helper()
	sta, origin := &State{Limits: Limits{Bytes: MinBytes}}, map[BodyID]int{}
	for num, lod := range lods {
		for range lod.bodies {
			id, ver := Open(sta, start.Add(-max(lod.opened, lod.silent)), lod.client, lod.held)
			if ver.Refused != "" {
				t.Fatalf("load %d: refused with %q", num, ver.Refused)
			}
			Receive(sta, start.Add(-lod.silent), id, lod.received)
			if lod.decoded {
				Finish(sta, id)
			}
			origin[id] = num
		}
	}
	return sta, origin
}

// TestOpen guards against a budget that is exceeded, that one client or clients with stalled bodies use up, and that keeps ordinary jobs
// out.
func TestOpen(t *testing.T) {
	quick := load{client: attacker, bodies: 32, held: largeBytes, received: largeBytes}
	stalled := load{client: attacker, bodies: 32, held: largeBytes, received: largeBytes, silent: 2 * time.Second}
	decoded := load{client: attacker, bodies: 32, held: largeBytes, received: largeBytes, silent: 2 * time.Second, decoded: true}
	others := load{client: caller, bodies: 16, held: largeBytes, received: largeBytes}
	tests := map[string]struct {
		loads  []load
		client netip.Addr
		bytes  int64
		want   Cause
		// wantEvicted is the number of evicted bodies of each load.
		wantEvicted map[int]int
	}{
		"no load, largest body":                           {client: caller, bytes: MinBytes / 2},
		"half the budget of one client, its large body":   {loads: []load{quick}, client: attacker, bytes: largeBytes, want: CauseClient},
		"half the budget of one client, large of another": {loads: []load{quick}, client: caller, bytes: largeBytes},
		"half the budget of one client, its small body":   {loads: []load{quick}, client: attacker, bytes: SmallBytes},
		"large share used up, large body": {
			loads: []load{quick, others}, client: netip.MustParseAddr("10.0.0.3"), bytes: largeBytes, want: CauseBudget,
		},
		"large share used up, small body": {loads: []load{quick, others}, client: caller, bytes: SmallBytes},
		"stalled bodies of the client":    {loads: []load{stalled}, client: attacker, bytes: largeBytes, wantEvicted: map[int]int{0: 1}},
		"stalled bodies of one client, others make progress": {
			loads: []load{stalled, others}, client: caller, bytes: largeBytes, wantEvicted: map[int]int{0: 1},
		},
		"jobs in progress of one client": {loads: []load{decoded}, client: attacker, bytes: largeBytes, want: CauseClient},
		"slow bodies of one client": {
			loads:  []load{{client: attacker, bodies: 32, held: largeBytes, opened: 10 * time.Second, received: 10 << 10}},
			client: attacker, bytes: largeBytes, wantEvicted: map[int]int{0: 1},
		},
		"new slow bodies of one client": {
			loads:  []load{{client: attacker, bodies: 32, held: largeBytes, opened: time.Second, received: 10}},
			client: attacker, bytes: largeBytes, want: CauseClient,
		},
		"small bodies that make progress use up the budget": {
			loads:  []load{{client: attacker, bodies: MinBytes / SmallBytes, held: SmallBytes, received: SmallBytes}},
			client: caller, bytes: FirstBytes, want: CauseBudget,
		},
		"stalled small bodies use up the budget": {
			loads:  []load{{client: attacker, bodies: MinBytes / SmallBytes, held: SmallBytes, received: 10, silent: 2 * time.Second}},
			client: caller, bytes: FirstBytes, wantEvicted: map[int]int{0: 1},
		},
		"longest silence first": {
			loads:  []load{stalled, {client: caller, bodies: 16, held: largeBytes, received: largeBytes, silent: 5 * time.Second}},
			client: netip.MustParseAddr("10.0.0.3"), bytes: largeBytes, wantEvicted: map[int]int{1: 1},
		},
		"more than may be leaving": {loads: []load{stalled}, client: attacker, bytes: MinBytes / 2, want: CauseClient},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta, origin := loaded(t, tc.loads)
			held, before := sta.Held, len(sta.Bodies)
			_, ver := Open(sta, start, tc.client, tc.bytes)
			evicted := map[int]int{}
			for _, id := range ver.Evicted {
				evicted[origin[id]]++
			}
			if ver.Refused != tc.want || !maps.Equal(evicted, tc.wantEvicted) && len(evicted)+len(tc.wantEvicted) > 0 {
				t.Errorf("refused with %q, evicted %v, want %q and %v", ver.Refused, evicted, tc.want, tc.wantEvicted)
			}
			if tc.want != "" && (sta.Held != held || len(sta.Bodies) != before || sta.Refused[tc.want] != 1) {
				t.Errorf("%d of %d bytes and %d of %d bodies left, counted %v", sta.Held, held, len(sta.Bodies), before, sta.Refused)
			}
			if sta.Held > MinBytes || sta.HeldByEnded > MinBytes/4 {
				t.Errorf("%d bytes held and %d leaving", sta.Held, sta.HeldByEnded)
			}
			checkSums(t, sta)
		})
	}
}

// checkSums checks the sums of a state, and that they are zero once all bodies are closed.
func checkSums(t *testing.T, sta *State) {
	t.Helper()
	var held, leaving int64
	for _, bod := range sta.Bodies {
		if bod.Ended == "" {
			held += bod.Held
		} else {
			leaving += bod.Held
		}
	}
	if held != sta.Held || leaving != sta.HeldByEnded {
		t.Errorf("sums %d and %d, want %d and %d", sta.Held, sta.HeldByEnded, held, leaving)
	}
	for id := range sta.Bodies {
		Close(sta, id)
	}
	if sta.Held != 0 || sta.Large != 0 || sta.HeldByEnded != 0 || len(sta.LargeOf) != 0 {
		t.Errorf("after the last body: %d held, %d large, %d leaving, clients %v", sta.Held, sta.Large, sta.HeldByEnded, sta.LargeOf)
	}
}

// TestEvicted guards against an evicted body that gets memory or counts as read whole.
func TestEvicted(t *testing.T) {
	sta, _ := loaded(t, []load{{client: attacker, bodies: 32, held: largeBytes, silent: 2 * time.Second, received: largeBytes}})
	_, ver := Open(sta, start, attacker, largeBytes)
	id := ver.Evicted[0]
	if got := Grow(sta, start, id, 1); got.Refused != CauseEvicted {
		t.Errorf("more memory: refused with %q, want %q", got.Refused, CauseEvicted)
	}
	if got := Finish(sta, id); got != CauseEvicted {
		t.Errorf("end: cause %q, want %q", got, CauseEvicted)
	}
	checkSums(t, sta)
}

// TestExpire guards against bodies that stay open for ever, and against slow but honest callers that are cut off without overload.
func TestExpire(t *testing.T) {
	tests := map[string]struct {
		load load
		// lastExpired is how long ago the last check was.
		lastExpired time.Duration
		want        Cause
	}{
		"makes progress":                     {load: load{opened: time.Minute, received: 100 << 10}},
		"slow link, largest body in 8 min":   {load: load{opened: 4 * time.Minute, received: 130 << 10, silent: 10 * time.Second}},
		"new and slow":                       {load: load{opened: 14 * time.Second, received: 1, silent: 5 * time.Second}},
		"stops just short of its end":        {load: load{received: largeBytes - 3, silent: StallTime}, want: CauseStalled},
		"silent for less than the limit":     {load: load{received: largeBytes - 3, silent: StallTime - 1}},
		"nothing but a byte now and then":    {load: load{opened: time.Minute, received: 60, silent: time.Second}, want: CauseSlow},
		"read whole, job in progress":        {load: load{received: largeBytes, silent: time.Minute, decoded: true}},
		"check late, process was suspended":  {load: load{received: 10, silent: time.Minute}, lastExpired: time.Minute},
		"check in time, nothing has arrived": {load: load{received: 10, silent: time.Minute}, lastExpired: time.Second, want: CauseStalled},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.load.client, tc.load.bodies, tc.load.held = caller, 1, largeBytes
			sta, _ := loaded(t, []load{tc.load})
			if tc.lastExpired > 0 {
				sta.LastExpired = start.Add(-tc.lastExpired)
			}
			ended := Expire(sta, start)
			if got := sta.Bodies[1].Ended; got != tc.want || slices.Contains(ended, 1) != (tc.want != "") {
				t.Errorf("ended %v with %q, want %q", ended, got, tc.want)
			}
			if again := Expire(sta, start); len(again) != 0 {
				t.Errorf("ended again: %v", again)
			}
			checkSums(t, sta)
		})
	}
}

// TestKeep guards against small jobs that hold memory of large bodies, and against large ones whose memory is not counted until their
// answer.
func TestKeep(t *testing.T) {
	tests := map[string]struct{ decoded, want int64 }{
		"small job":           {decoded: SmallBytes, want: 0},
		"large job":           {decoded: SmallBytes + 1, want: SmallBytes + 1},
		"larger than its raw": {decoded: 3 * largeBytes, want: 3 * largeBytes},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta, _ := loaded(t, []load{{client: caller, bodies: 1, held: largeBytes, received: largeBytes, decoded: true}})
			Keep(sta, 1, tc.decoded)
			if sta.Held != tc.want {
				t.Errorf("%d bytes held, want %d", sta.Held, tc.want)
			}
			checkSums(t, sta)
		})
	}
}

// TestThrottle guards against tiny chunks that take all of the CPU time, and against a wait of a single legal body.
func TestThrottle(t *testing.T) {
	const largestBody = 5 * largeBytes
	tests := map[string]struct {
		cores     float64
		overheads []int64
		// rested is the time before the last overhead.
		rested   time.Duration
		wantWait time.Duration
		want     Cause
	}{
		"one largest body in chunks of a byte": {cores: 0.192, overheads: []int64{largestBody}},
		"burst and half a second of one core":  {cores: 1, overheads: []int64{overheadBurst, overheadRate / 2}, wantWait: time.Second / 2},
		"the same after a rest":                {cores: 1, overheads: []int64{overheadBurst, overheadRate / 2}, rested: time.Minute},
		"the same on a quarter of a core":      {cores: 0.25, overheads: []int64{overheadBurst, overheadRate / 4}, wantWait: time.Second},
		"2 GB of chunks at once":               {cores: 0.25, overheads: []int64{2 << 30}, want: CauseOverhead},
		"unknown cores count as one":           {overheads: []int64{overheadBurst, overheadRate}, wantWait: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Limits: Limits{Cores: tc.cores}}
			now, wait, cause := start, time.Duration(0), Cause("")
			for num, ovh := range tc.overheads {
				if num == len(tc.overheads)-1 {
					now = now.Add(tc.rested)
				}
				wait, cause = Throttle(sta, now, ovh)
			}
			if wait != tc.wantWait || cause != tc.want {
				t.Errorf("wait %v and cause %q, want %v and %q", wait, cause, tc.wantWait, tc.want)
			}
		})
	}
}
