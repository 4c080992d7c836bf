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
	const jobs, perJob = 5_000, 9
	var from, to runtime.MemStats
	sta := newReadyState(perJob)
	runtime.GC()
	runtime.ReadMemStats(&from)
	for num := range jobs {
		rgqueue.Accept(sta, batch(fmt.Sprintf("%036d", num), "k", perJob), epoch)
		for _, stt := range rgqueue.StartNext(sta, epoch).Started {
			out := succeeded(stt)
			out.Result = make(rgmodel.Payload, 64)
			rgqueue.Finish(sta, stt, out, time.Millisecond)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&to)
	b.ReportMetric(float64(to.HeapAlloc-from.HeapAlloc)/(jobs*perJob), "bytes/task")
	runtime.KeepAlive(sta)
}
