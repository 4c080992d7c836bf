package rgjob

import "ragwortgap/core/rgmodel"

// Open begins the ledger of a job. Tasks that the plan neither places nor knows stay at the verdict not run.
func Open(jb rgmodel.Job, pln Plan) *Ledger {
	led := &Ledger{
		Outcomes: make([]rgmodel.Outcome, len(jb.Tasks)),
		Retries:  make([]int, len(jb.Tasks)),
		Tried:    map[rgmodel.SidecarKey]bool{},
		Places:   map[rgmodel.SidecarKey][]int{},
	}
	for i, tsk := range jb.Tasks {
		led.Outcomes[i] = rgmodel.Outcome{Index: tsk.Index, Verdict: rgmodel.NotRun, Reason: rgmodel.ReasonNoUpstream}
	}
	for _, out := range pln.Known {
		led.Outcomes[out.Index] = out
	}
	return led
}

// Settle enters the outcomes of a part and returns the tasks that another sidecar may take.
// If none takes them, the caller calls Fail.
func Settle(led *Ledger, prt Part, outs []rgmodel.Outcome) []rgmodel.Task {
	led.Tried[prt.Sidecar] = true
	var again []rgmodel.Task
	for i, out := range outs {
		led.Outcomes[out.Index] = out
		switch {
		case out.Verdict == rgmodel.RanOK:
			led.Places[prt.Sidecar] = append(led.Places[prt.Sidecar], out.Index)
		case Retryable(out) && led.Retries[out.Index] < MaxRetries:
			led.Retries[out.Index]++
			again = append(again, prt.Tasks[i])
		case out.Verdict == rgmodel.NotRun:
			led.Failed = true
		}
	}
	if led.Failed {
		return nil
	}
	return again
}

// Fail notes that refused tasks cannot be placed elsewhere.
func Fail(led *Ledger) {
	led.Failed = true
}
