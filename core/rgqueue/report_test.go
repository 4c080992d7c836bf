package rgqueue_test

import (
	"fmt"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// TestReportBounds guards against a report that grows with the number of kinds, or lacks the flows with the most queued tasks or
// their learned service times.
func TestReportBounds(t *testing.T) {
	const kinds = 100
	sta := newReadyState(kinds)
	sta.MaxQueued = kinds * kinds
	for i := range kinds {
		rgqueue.Accept(sta, batch(fmt.Sprintf("first%d", i), fmt.Sprintf("k%02d", i), 1), epoch)
	}
	for _, stt := range rgqueue.StartNext(sta, epoch).Started {
		rgqueue.Finish(sta, stt, succeeded(stt), time.Second)
	}
	for i := range kinds {
		rgqueue.Accept(sta, batch(fmt.Sprintf("more%d", i), fmt.Sprintf("k%02d", i), 1+i), epoch)
	}
	rep := rgqueue.NewReport(sta)
	if len(rep.Flows) != rgqueue.MaxReportedFlows || len(rep.ServiceTimes) != rgqueue.MaxReportedTimes {
		t.Fatalf("the report has %d flows and %d service times, which is not the maximum of each", len(rep.Flows), len(rep.ServiceTimes))
	}
	times := map[string]bool{}
	for _, tim := range rep.ServiceTimes {
		times[tim.Kind] = true
	}
	for i, got := range rep.Flows {
		want := rgmodel.FlowLoad{Flow: flow(fmt.Sprintf("k%02d", kinds-1-i)), Queued: kinds - i}
		if got != want || !times[got.Flow.Kind] {
			t.Errorf("flow %d is %v with a learned time: %t, want %v with one", i, got, times[got.Flow.Kind], want)
		}
	}
}
