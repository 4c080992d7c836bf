package rgqueue_test

import (
	"math"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

const (
	simulatedTime = 100 * time.Second
	slots         = 8
	// tolerance is the largest relative deviation of a share.
	tolerance = 0.05
)

type shareCase struct {
	loads []flowLoad
	// from and until bound the period in which the shares are measured.
	from  time.Duration
	until time.Duration
	// want holds the shares of the slot time by kind.
	want map[string]float64
}

var shareCases = map[string]shareCase{
	"shares follow the weights although declared run times are ten times too long or too short": {
		loads: []flowLoad{
			{kind: "long", weight: 1, declared: time.Second, actual: 100 * time.Millisecond},
			{kind: "short", weight: 3, declared: 10 * time.Millisecond, actual: 100 * time.Millisecond},
			{kind: "right", weight: 2, declared: 400 * time.Millisecond, actual: 400 * time.Millisecond},
		},
		until: simulatedTime,
		want:  map[string]float64{"long": 1. / 6, "short": 3. / 6, "right": 2. / 6},
	},
	"shares follow the weights when all tasks fail and no run time is learned": {
		loads: []flowLoad{
			{kind: "long", weight: 1, declared: time.Second, actual: 100 * time.Millisecond, fails: true},
			{kind: "short", weight: 3, declared: 10 * time.Millisecond, actual: 100 * time.Millisecond, fails: true},
			{kind: "right", weight: 2, declared: 400 * time.Millisecond, actual: 400 * time.Millisecond, fails: true},
		},
		until: simulatedTime,
		want:  map[string]float64{"long": 1. / 6, "short": 3. / 6, "right": 2. / 6},
	},
	"a higher urgency gives no larger share": {
		loads: []flowLoad{
			{kind: "low", weight: 1, urgency: rgmodel.UrgencyLow, actual: 100 * time.Millisecond},
			{kind: "high", weight: 1, urgency: rgmodel.UrgencyHigh, actual: 100 * time.Millisecond},
		},
		until: simulatedTime,
		want:  map[string]float64{"low": 0.5, "high": 0.5},
	},
	"an unused share goes to the flow that has work": {
		loads: []flowLoad{
			{kind: "idle", weight: 9, actual: 100 * time.Millisecond, idleUntil: simulatedTime},
			{kind: "busy", weight: 1, actual: 100 * time.Millisecond},
		},
		until: simulatedTime,
		want:  map[string]float64{"busy": 1},
	},
	"a flow that becomes active for the first time gets no credit": {
		loads: []flowLoad{
			{kind: "new", weight: 1, actual: 100 * time.Millisecond, idleUntil: simulatedTime / 2},
			{kind: "busy", weight: 1, actual: 100 * time.Millisecond},
		},
		from: simulatedTime / 2, until: simulatedTime/2 + 10*time.Second,
		want: map[string]float64{"new": 0.5, "busy": 0.5},
	},
	"a flow that returns after a pause gets no credit": {
		loads: []flowLoad{
			{kind: "back", weight: 1, actual: 100 * time.Millisecond, idleFrom: 10 * time.Second, idleUntil: simulatedTime / 2},
			{kind: "busy", weight: 1, actual: 100 * time.Millisecond},
		},
		from: simulatedTime / 2, until: simulatedTime/2 + 10*time.Second,
		want: map[string]float64{"back": 0.5, "busy": 0.5},
	},
}

// TestShares guards against flows whose share of the slot time does not follow their weight, because of wrong declared times,
// failures, urgency or credit for idle time, and against shares that stay unused.
func TestShares(t *testing.T) {
	for name, tc := range shareCases {
		t.Run(name, func(t *testing.T) {
			got := simulate(t, newReadyState(slots), tc.loads, tc.from, tc.until)
			for kind, want := range tc.want {
				share := got[kind].Seconds() / (tc.until - tc.from).Seconds() / slots
				if math.Abs(share-want) > tolerance*want {
					t.Errorf("%s got a share of %.3f of the slot time, want %.3f", kind, share, want)
				}
			}
		})
	}
}

// TestOrderWithinFlow guards against a queue that ignores urgency, deadline or order of arrival, or applies urgency across flows.
func TestOrderWithinFlow(t *testing.T) {
	type arrival struct {
		id, kind  string
		urgency   rgmodel.Urgency
		remaining time.Duration
	}
	tests := map[string]struct {
		arrivals []arrival
		want     []string
	}{
		"higher urgency first": {
			arrivals: []arrival{
				{id: "low", kind: "k", urgency: rgmodel.UrgencyLow, remaining: time.Second},
				{id: "normal", kind: "k", remaining: time.Second},
				{id: "high", kind: "k", urgency: rgmodel.UrgencyHigh, remaining: time.Minute},
			},
			want: []string{"high", "normal", "low"},
		},
		"same urgency by deadline, then by arrival": {
			arrivals: []arrival{
				{id: "late", kind: "k", remaining: time.Minute},
				{id: "soon", kind: "k", remaining: time.Second},
				{id: "late2", kind: "k", remaining: time.Minute},
			},
			want: []string{"soon", "late", "late2"},
		},
		"urgency does not reorder flows": {
			arrivals: []arrival{
				{id: "first", kind: "a", urgency: rgmodel.UrgencyLow, remaining: time.Minute},
				{id: "second", kind: "b", urgency: rgmodel.UrgencyHigh, remaining: time.Second},
			},
			want: []string{"first", "second"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sta := newReadyState(8)
			for _, arr := range tc.arrivals {
				bat := batch(arr.id, arr.kind, 1)
				bat.Urgency, bat.Remaining.Duration = arr.urgency, arr.remaining
				rgqueue.Accept(sta, bat, epoch)
			}
			stts := rgqueue.StartNext(sta, epoch).Started
			if len(stts) != len(tc.want) {
				t.Fatalf("%d tasks started, want %d", len(stts), len(tc.want))
			}
			for i, stt := range stts {
				if string(stt.ID) != tc.want[i] {
					t.Errorf("start %d is %s, want %s", i, stt.ID, tc.want[i])
				}
			}
		})
	}
}
