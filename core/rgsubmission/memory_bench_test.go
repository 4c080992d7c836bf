package rgsubmission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
)

// BenchmarkSubmissionMemory measures the heap that a finished job of 36 tasks on 4 sidecars occupies, with its answer
// and after the answer has been dropped.
func BenchmarkSubmissionMemory(b *testing.B) {
	tests := map[string]int{"answer dropped": 1, "answer kept": 1 << 30}
	for name, limit := range tests {
		b.Run(name, func(b *testing.B) {
			const jobs, tasks = 2_000, 36
			var before, after runtime.MemStats
			sta := &State{MaxAnswerBytes: limit}
			runtime.GC()
			runtime.ReadMemStats(&before)
			for num := range jobs {
				id := rgmodel.SubmissionID(fmt.Sprintf("%036d", num))
				Register(sta, rgmodel.Job{ID: id}, false, rgmodel.RecordRetention, time.Unix(0, 0))
				Finish(sta, succeededAnswer(id, tasks), taskLocations(tasks))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/jobs, "bytes/job")
			runtime.KeepAlive(sta)
		})
	}
}

func succeededAnswer(id rgmodel.SubmissionID, tasks int) rgmodel.Answer {
	ans := rgmodel.Answer{ID: id}
	for idx := range tasks {
		ans.Outcomes = append(ans.Outcomes, rgmodel.Outcome{Index: idx, Verdict: rgmodel.RanOK, Result: make(rgmodel.Payload, 64)})
	}
	return ans
}

func taskLocations(tasks int) []TaskLocation {
	locs := make([]TaskLocation, 4)
	for idx := range tasks {
		loc := &locs[idx%4]
		loc.Sidecar = rgmodel.SidecarKey{Name: "sidecar", Incarnation: "incarnation"}
		loc.Indexes = append(loc.Indexes, idx)
	}
	return locs
}
