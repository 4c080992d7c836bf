package rgsidecar

import "ragwortgap/core/rgmodel"

// Status is the state of a sidecar at its newest report. It is immutable once published.
type Status struct {
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
	sts := &Status{
		Sidecar:    pro.self,
		RingSize:   len(sta.Queue.Ring.Entries),
		Generation: sta.Queue.MinGeneration,
		Queued:     sta.Queue.Queued,
		Running:    sta.Queue.Running,
		Draining:   sta.Queue.Draining,
	}
	for _, ec := range sta.Conns {
		if ec.Peer != nil {
			sts.Entries++
		}
	}
	pro.status.Store(sts)
	pro.scope.Gauge("tasksQueued").Update(float64(sts.Queued))
	pro.scope.Gauge("slotsInUse").Update(float64(sts.Running))
	pro.scope.Gauge("slots").Update(float64(pro.self.Capacity.Slots))
	pro.scope.Gauge("records").Update(float64(len(sta.Queue.Records)))
	pro.scope.Gauge("entriesConnected").Update(float64(sts.Entries))
	pro.scope.Gauge("ringGeneration").Update(float64(sts.Generation))
	draining := 0.0
	if sts.Draining {
		draining = 1
	}
	pro.scope.Gauge("draining").Update(draining)
}
