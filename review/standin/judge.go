//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

type (
	// runningTask is a run that is going on.
	runningTask struct {
		executor string
		number   uint64
		at       time.Time
	}

	// jobRecord is what callers have sent and got for a job.
	jobRecord struct {
		spec     string
		steps    []step
		sends    int
		refusals int
		cancels  time.Time
		starts   int
		done     map[string]bool
	}

	// judge records what was sent, answered and run, and checks the rules that hold in all cases.
	judge struct {
		mutex   sync.Mutex
		began   time.Time
		file    *os.File
		quiet   bool
		jobs    map[string]*jobRecord
		running map[string]map[*executor]runningTask
		breaks  map[string]int
		failed  bool
	}
)

func newJudge(path string) (*judge, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &judge{
		began: time.Now(), file: fil, jobs: map[string]*jobRecord{}, running: map[string]map[*executor]runningTask{}, breaks: map[string]int{},
	}, nil
}

// note writes a line to the record.
func (jud *judge) note(format string, args ...any) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.noteLocked(format, args...)
}

func (jud *judge) noteLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(jud.file, "%8.3f  %s\n", time.Since(jud.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (jud *judge) broken(rule, format string, args ...any) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.brokenLocked(rule, format, args...)
}

func (jud *judge) brokenLocked(rule, format string, args ...any) {
	jud.breaks[rule]++
	jud.noteLocked("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// fatal records that the case cannot run.
func (jud *judge) fatal(format string, args ...any) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.failed = true
	jud.noteLocked("CANNOT RUN: %s", fmt.Sprintf(format, args...))
}

// started records a start. The caller holds the mutex of the executor.
func (jud *judge) started(exe *executor, cur *run, ord orderBody, usedCPU int) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.noteLocked("start %s run %d on %s", cur.task, cur.number, exe.id)
	job, _, _ := strings.Cut(cur.task, ".")
	rec := jud.jobs[job]
	if rec == nil || rec.spec != ord.Spec {
		jud.brokenLocked("UNASKED", "%s on %s with spec %q", cur.task, exe.id, ord.Spec)
		return
	}
	rec.starts++
	if rec.sends > 0 && rec.refusals == rec.sends {
		jud.brokenLocked("REFUSED", "%s starts on %s", cur.task, exe.id)
	}
	for oth, fir := range jud.running[cur.task] {
		jud.brokenLocked("TWICE", "%s run %d starts on %s while run %d runs on %s since %v", cur.task, cur.number, exe.id, fir.number,
			fir.executor, time.Since(fir.at).Round(time.Millisecond))
		_ = oth
	}
	if usedCPU > exe.cpu {
		jud.brokenLocked("LIMIT", "%d of %d on %s", usedCPU, exe.cpu, exe.id)
	}
	if !exe.drainAcked.IsZero() && time.Since(exe.drainAcked) > 2*time.Second {
		jud.brokenLocked("DRAIN", "%s starts on %s %v after the ack", cur.task, exe.id, time.Since(exe.drainAcked))
	}
	jud.checkStep(exe, rec, cur.task)
	if jud.running[cur.task] == nil {
		jud.running[cur.task] = map[*executor]runningTask{}
	}
	jud.running[cur.task][exe] = runningTask{executor: exe.id, number: cur.number, at: time.Now()}
}

// checkStep checks the step of a task that starts: its order, label and anti-affinity.
func (jud *judge) checkStep(exe *executor, rec *jobRecord, task string) {
	var idx, num int
	job, rest, _ := strings.Cut(task, ".")
	_, _ = fmt.Sscanf(rest, "0.%d.%d", &idx, &num)
	if idx >= len(rec.steps) {
		jud.brokenLocked("UNASKED", "%s has no such step", task)
		return
	}
	stp := rec.steps[idx]
	for _, bef := range stp.After {
		for i := range rec.steps[bef].Count {
			if !rec.done[fmt.Sprintf("%s.0.%d.%d", job, bef, i)] {
				jud.brokenLocked("ORDER", "%s starts before step %d is done", task, bef)
			}
		}
	}
	if stp.Requirements != "" && !contains(exe.labels, stp.Requirements) {
		jud.brokenLocked("ROUTE", "%s starts on %s without the label %s", task, exe.id, stp.Requirements)
	}
	if stp.AntiAffinity > 0 {
		beside := 0
		for oth, exes := range jud.running {
			if _, found := exes[exe]; found && oth != task && strings.HasPrefix(oth, fmt.Sprintf("%s.0.%d.", job, idx)) {
				beside++
			}
		}
		if beside+1 > stp.AntiAffinity {
			jud.brokenLocked("ROUTE", "%s is task %d of its step on %s, anti_affinity %d", task, beside+1, exe.id, stp.AntiAffinity)
		}
	}
}

func contains(all []string, one string) bool {
	for _, cur := range all {
		if cur == one {
			return true
		}
	}
	return false
}

// ended records the end of a run. The caller holds the mutex of the executor.
func (jud *judge) ended(exe *executor, task, how string) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	if _, found := jud.running[task][exe]; !found {
		return
	}
	jud.noteLocked("end %s on %s: %s", task, exe.id, how)
	delete(jud.running[task], exe)
	if job, _, _ := strings.Cut(task, "."); how == "done" && jud.jobs[job] != nil {
		jud.jobs[job].done[task] = true
	}
}

// sent records that a caller sends a job.
func (jud *judge) sent(job, spec string, stps []step, to string) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	if jud.jobs[job] == nil {
		jud.jobs[job] = &jobRecord{spec: spec, steps: stps, done: map[string]bool{}}
	}
	jud.jobs[job].sends++
	jud.noteLocked("send %s to %s", job, to)
}

// answered records the answer to a job.
func (jud *judge) answered(job, from, what string) {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.noteLocked("answer %s from %s: %s", job, from, what)
	rec := jud.jobs[job]
	switch {
	case strings.HasPrefix(what, "503") || strings.HasPrefix(what, "429"):
		rec.refusals++
		if rec.refusals == rec.sends && rec.starts > 0 {
			jud.brokenLocked("REFUSED", "%s was refused, and %d starts", job, rec.starts)
		}
	case strings.Contains(what, "completed"):
		want := 0
		for _, stp := range rec.steps {
			want += stp.Count
		}
		if len(rec.done) != want {
			jud.brokenLocked("MIXED", "%s is completed with %d of %d tasks done", job, len(rec.done), want)
		}
	}
}

func (jud *judge) startsOf(job string) int {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	if jud.jobs[job] == nil {
		return 0
	}
	return jud.jobs[job].starts
}

// exitCode returns 2 if the case could not run, 1 if the rule was broken, and else 0.
func (jud *judge) exitCode(rule string) int {
	jud.mutex.Lock()
	defer jud.mutex.Unlock()
	jud.noteLocked("rules broken: %v", jud.breaks)
	switch {
	case jud.failed:
		return 2
	case jud.breaks[rule] > 0:
		return 1
	default:
		return 0
	}
}
