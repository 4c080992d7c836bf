package rgqueue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgqueue"
)

// BenchmarkRecordMemory measures the heap memory of the record of a final task, with 9 tasks per job on the sidecar and
// results of 64 bytes, below the bound for results.
func BenchmarkRecordMemory(b *testing.B) {
	const jobs, tasksPerJob = 5_000, 9
	var before, after runtime.MemStats
	sta := newReadyState(tasksPerJob)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for num := range jobs {
		rgqueue.Accept(sta, batch(fmt.Sprintf("%036d", num), "k", tasksPerJob), epoch)
		for _, stt := range rgqueue.StartNext(sta, epoch).Started {
			out := succeeded(stt)
			out.Result = make(rgmodel.Payload, 64)
			rgqueue.Finish(sta, stt, out, time.Millisecond)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(jobs*tasksPerJob), "bytes/task")
	runtime.KeepAlive(sta)
}
