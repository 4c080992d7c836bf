//go:build review2

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

type (
	// runPlace is a run that an executor works on.
	runPlace struct {
		executor string
		run      uint64
	}

	// record writes record.txt and keeps what a case judges.
	record struct {
		mutex sync.Mutex
		file  *os.File
		out   *bufio.Writer
		began time.Time
		// work is how long each task of a job runs, specs are the specs that were sent.
		work map[string]time.Duration
		// labels are the labels that the tasks of a job require.
		labels map[string]string
		specs  map[string]string
		// running are the runs in progress of each task.
		running map[string][]runPlace
		starts  map[string]int
		// broken are the violations seen in runs: two at the same time, another spec, a task that nobody sent.
		broken []string
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file: file, out: bufio.NewWriter(file), began: time.Now(), work: map[string]time.Duration{}, labels: map[string]string{}, specs: map[string]string{},
		running: map[string][]runPlace{}, starts: map[string]int{},
	}, nil
}

func (rec *record) close() {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	_ = rec.out.Flush()
	_ = rec.file.Close()
}

// write writes a line with the seconds since the start.
func (rec *record) write(format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.writeLocked(format, args...)
}

func (rec *record) writeLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(rec.out, "%9.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// jobSent records a job before its first attempt.
func (rec *record) jobSent(jb *job) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.work[jb.id], rec.specs[jb.id], rec.labels[jb.id] = jb.work, jb.spec, jb.label
}

// runStarted records the start of a run and returns how long it works.
func (rec *record) runStarted(exe, kind, task string, run uint64, spec string) time.Duration {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	job, _, _ := strings.Cut(task, ".")
	rec.writeLocked("%s of kind %s starts run %d of %s", exe, kind, run, task)
	if label := rec.labels[job]; label != "" && label != kind {
		rec.broken = append(rec.broken, fmt.Sprintf("ROUTE: %s of kind %s starts %s, which requires %s", exe, kind, task, label))
		rec.writeLocked("%s requires %s", task, label)
	}
	if sent, found := rec.specs[job]; !found || sent != spec {
		rec.broken = append(rec.broken, fmt.Sprintf("UNASKED: %s starts %s with spec %q", exe, task, spec))
	}
	for _, other := range rec.running[task] {
		rec.broken = append(rec.broken, fmt.Sprintf("TWICE: %s starts run %d of %s beside run %d on %s", exe, run, task, other.run, other.executor))
		rec.writeLocked("two runs of %s at the same time", task)
	}
	rec.running[task] = append(rec.running[task], runPlace{executor: exe, run: run})
	rec.starts[job]++
	return rec.work[job]
}

// violations returns the violations of the rule seen in runs.
func (rec *record) violations(rule string) []string {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	var found []string
	for _, vio := range rec.broken {
		if strings.HasPrefix(vio, rule+":") {
			found = append(found, vio)
		}
	}
	return found
}

// runEnded records the end of a run.
func (rec *record) runEnded(exe, task, how string) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.writeLocked("%s ends a run of %s: %s", exe, task, how)
	kept := rec.running[task][:0]
	for _, run := range rec.running[task] {
		if run.executor != exe {
			kept = append(kept, run)
		}
	}
	rec.running[task] = kept
}
