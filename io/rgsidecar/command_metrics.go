package rgsidecar

import "ragwortgap/core/rgmodel"

// Health is the state of a sidecar at its newest report. It is immutable once published.
type Health struct {
	Sidecar rgmodel.Sidecar `json:"sidecar"`
	// Entries is the number of connected entries.
	Entries    int    `json:"entries"`
	RingSize   int    `json:"ringSize"`
	Generation uint64 `json:"generation"`
	Queued     int    `json:"queued"`
	Running    int    `json:"running"`
	Draining   bool   `json:"draining"`
}

// updateMetrics updates the gauges and publishes the state for operators.
func (pro *Process) updateMetrics(sta *State) {
	hlt := &Health{
		Sidecar:    pro.self,
		RingSize:   len(sta.Queue.Ring.Entries),
		Generation: sta.Queue.Fence,
		Queued:     sta.Queue.Queued,
		Running:    sta.Queue.Running,
		Draining:   sta.Queue.Draining,
	}
	for _, ec := range sta.Conns {
		if ec.Peer != nil {
			hlt.Entries++
		}
	}
	pro.health.Store(hlt)
	pro.scope.Gauge("tasksQueued").Update(float64(hlt.Queued))
	pro.scope.Gauge("slotsInUse").Update(float64(hlt.Running))
	pro.scope.Gauge("slots").Update(float64(pro.self.Capacity.Slots))
	pro.scope.Gauge("records").Update(float64(len(sta.Queue.Records)))
	pro.scope.Gauge("entriesConnected").Update(float64(hlt.Entries))
	pro.scope.Gauge("ringGeneration").Update(float64(hlt.Generation))
	draining := 0.0
	if hlt.Draining {
		draining = 1
	}
	pro.scope.Gauge("draining").Update(draining)
}
