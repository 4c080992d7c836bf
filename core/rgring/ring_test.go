package rgring

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ragwortgap/core/rgmodel"
)

var (
	began      = time.UnixMilli(1_800_000_000_000)
	self       = rgmodel.Entry{Name: "self", Incarnation: "self-1"}
	other      = rgmodel.Entry{Name: "other", Incarnation: "other-1"}
	third      = rgmodel.Entry{Name: "third", Incarnation: "third-1"}
	sidecarOne = rgmodel.SidecarKey{Name: "one", Incarnation: "one-1"}
)

func ring(generation uint64, ents ...rgmodel.Entry) rgmodel.Ring {
	return rgmodel.Ring{Generation: generation, Entries: ents}
}

// idWithHome returns an id whose home is the entry in all of the rings.
func idWithHome(t *testing.T, ent rgmodel.Entry, rngs ...rgmodel.Ring) rgmodel.SubmissionID {
	t.Helper()
	for num := range 10_000 {
		id := rgmodel.SubmissionID(time.Unix(int64(num), 0).String())
		match := true
		for _, rng := range rngs {
			hom, _ := Home(rng, id)
			match = match && hom == ent
		}
		if match {
			return id
		}
	}
	t.Fatalf("no id with home %s", ent.Name)
	return ""
}

// idMovedHere returns an id whose home changes from another entry to self with the new ring.
func idMovedHere(t *testing.T, oldRing, newRing rgmodel.Ring) rgmodel.SubmissionID {
	t.Helper()
	for num := range 10_000 {
		id := rgmodel.SubmissionID(time.Unix(int64(num), 0).String())
		oldHome, _ := Home(oldRing, id)
		newHome, _ := Home(newRing, id)
		if oldHome != self && newHome == self {
			return id
		}
	}
	t.Fatal("no id moves")
	return ""
}

// TestTakeover guards against a new home that starts a task before it knows whether the earlier home has started it. It knows
// once all sidecars are sealed or lost and all other entries have confirmed the ring, have ended or no longer hold a ring lease.
func TestTakeover(t *testing.T) {
	oldRing, newRing := ring(1, self, other), ring(2, self, third)
	tests := map[string]struct {
		steps func(sta *State)
		ready bool
	}{
		"neither sealed nor confirmed": {steps: func(*State) {}},
		"sidecar sealed only":          {steps: func(sta *State) { RecordSeal(sta, sidecarOne, 2, nil) }},
		"sealed for an older ring":     {steps: func(sta *State) { confirmAll(sta); RecordSeal(sta, sidecarOne, 1, nil) }},
		"entries confirmed only":       {steps: confirmAll},
		"confirmed an older ring":      {steps: func(sta *State) { RecordSeal(sta, sidecarOne, 2, nil); ConfirmRing(sta, "other-1", 1) }},
		"sealed and confirmed":         {steps: func(sta *State) { RecordSeal(sta, sidecarOne, 2, nil); confirmAll(sta) }, ready: true},
		"sidecar lost, rest confirmed": {steps: func(sta *State) { RemoveSidecar(sta, sidecarOne, began); confirmAll(sta) }, ready: true},
		"entries removed": {ready: true, steps: func(sta *State) {
			RecordSeal(sta, sidecarOne, 2, nil)
			RemoveEntry(sta, "other-1")
			RemoveEntry(sta, "third-1")
		}},
		"ring lease expired": {ready: true, steps: func(sta *State) {
			RecordSeal(sta, sidecarOne, 2, nil)
			ExpireUnconfirmed(sta, began.Add(rgmodel.RingLeaseTime+time.Millisecond))
		}},
		"ring lease not yet expired": {steps: func(sta *State) {
			RecordSeal(sta, sidecarOne, 2, nil)
			ExpireUnconfirmed(sta, began.Add(rgmodel.RingLeaseTime))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Self: self}
			Adopt(sta, oldRing, nil, nil, began)
			RemoveEntry(sta, "other-1")
			Adopt(sta, newRing, []rgmodel.SidecarKey{sidecarOne}, nil, began)
			tc.steps(sta)
			_, notReady := Lookup(sta, idMovedHere(t, oldRing, newRing), began.Add(time.Hour), false).(NotReady)
			if notReady == tc.ready {
				t.Errorf("moved id is ready: %t, want %t", !notReady, tc.ready)
			}
			if _, ok := Lookup(sta, idWithHome(t, self, oldRing, newRing), began.Add(time.Hour), false).(NotStarted); !ok {
				t.Error("an id whose home has not changed is not ready")
			}
		})
	}
}

func confirmAll(sta *State) {
	ConfirmRing(sta, "other-1", 2)
	ConfirmRing(sta, "third-1", 2)
}

// TestRecordSidecarList guards against an entry that relies on the sidecar list of another entry that may not know all sidecars,
// because it has not adopted the ring or joined with the same one.
func TestRecordSidecarList(t *testing.T) {
	tests := map[string]struct {
		generation, since uint64
		want              bool
	}{
		"member before the ring, ring adopted":    {generation: 5, since: 4, want: true},
		"member since the first ring, newer ring": {generation: 6, since: 1, want: true},
		"ring not adopted":                        {generation: 4, since: 1},
		"joined with the same ring":               {generation: 5, since: 5},
		"does not know all sidecars itself":       {generation: 5, since: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Self: self}
			Adopt(sta, ring(5, self, other), nil, nil, began)
			if KnowsAllSidecars(sta) {
				t.Fatal("knows all sidecars although it has missed rings")
			}
			if got := RecordSidecarList(sta, tc.generation, tc.since); got != tc.want || KnowsAllSidecars(sta) != tc.want {
				t.Errorf("sidecar list accepted: %t, knows all sidecars: %t, want %t", got, KnowsAllSidecars(sta), tc.want)
			}
		})
	}
}

// TestLookup guards against a second start of a task after the record of the first one has been lost, and against ids
// that count as uncertain because of a lost record that cannot concern them.
func TestLookup(t *testing.T) {
	rec := rgmodel.Record{Digest: 7}
	tests := map[string]struct {
		steps         func(sta *State, id rgmodel.SubmissionID)
		created       time.Time
		generatedHere bool
		want          LookupResult
	}{
		"not recorded": {created: began, want: NotStarted{}},
		"recorded": {
			created: began,
			steps: func(sta *State, id rgmodel.SubmissionID) {
				RecordSeal(sta, sidecarOne, 1, []rgmodel.Record{{ID: id, Digest: rec.Digest}})
			},
			want: Recorded{},
		},
		"created before a loss":        {created: began, steps: loseRecords, want: RecordsLost{}},
		"created after a loss":         {created: began.Add(rgmodel.ClockSkewLimit), steps: loseRecords, want: NotStarted{}},
		"generated here, after a loss": {created: began, generatedHere: true, steps: loseRecords, want: NotStarted{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Self: self}
			Adopt(sta, ring(1, self), []rgmodel.SidecarKey{sidecarOne}, nil, began)
			id := rgmodel.SubmissionID("any")
			if tc.steps != nil {
				tc.steps(sta, id)
			}
			RecordSeal(sta, sidecarOne, 1, nil)
			got := Lookup(sta, id, tc.created, tc.generatedHere)
			switch tc.want.(type) {
			case NotStarted:
				_, ok := got.(NotStarted)
				checkType(t, ok, got)
			case Recorded:
				_, ok := got.(Recorded)
				checkType(t, ok, got)
			case RecordsLost:
				_, ok := got.(RecordsLost)
				checkType(t, ok, got)
			}
		})
	}
}

func loseRecords(sta *State, _ rgmodel.SubmissionID) {
	RemoveSidecar(sta, sidecarOne, began)
}

func checkType(t *testing.T, ok bool, got LookupResult) {
	t.Helper()
	if !ok {
		t.Errorf("got %T", got)
	}
}

// TestHoldsRingLease guards against the answer "not run" from an entry that another one may have replaced as the home, because it
// has not read its own ring from the store recently.
func TestHoldsRingLease(t *testing.T) {
	tests := map[string]struct {
		generation uint64
		after      time.Duration
		want       bool
	}{
		"just read":       {generation: 1, after: time.Second, want: true},
		"lease expired":   {generation: 1, after: rgmodel.RingLeaseTime},
		"older ring read": {generation: 0, after: time.Second},
		"newer ring read": {generation: 2, after: time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := &State{Self: self}
			Adopt(sta, ring(1, self), nil, nil, began)
			RenewRingLease(sta, tc.generation, began)
			if got := HoldsRingLease(sta, began.Add(tc.after)); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestHomeProperties guards against ids that move between entries that stay in the ring, which would cause a needless takeover,
// and against homes that depend on the order of the entries.
func TestHomeProperties(t *testing.T) {
	par := gopter.DefaultTestParametersWithSeed(1)
	pps := gopter.NewProperties(par)
	pps.Property("an id moves only from or to an entry that leaves or joins", prop.ForAll(func(txt string) bool {
		id := rgmodel.SubmissionID(txt)
		homeOfThree, _ := Home(ring(1, self, other, third), id)
		homeOfTwo, _ := Home(ring(2, self, other), id)
		return homeOfThree == third || homeOfThree == homeOfTwo
	}, gen.AnyString()))
	pps.Property("the order of the entries does not matter", prop.ForAll(func(txt string) bool {
		fst, _ := Home(ring(1, self, other, third), rgmodel.SubmissionID(txt))
		snd, _ := Home(ring(1, third, self, other), rgmodel.SubmissionID(txt))
		return fst == snd
	}, gen.AnyString()))
	pps.TestingRun(t)
}
