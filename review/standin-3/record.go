//go:build review3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now()}, err
}

// add writes one line with the time since the start of the case.
func (rec *record) add(who, format string, args ...any) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	fmt.Fprintf(rec.file, "%8.3f %-10s %s\n", time.Since(rec.begin).Seconds(), who, fmt.Sprintf(format, args...))
}

func (rec *record) close() { _ = rec.file.Close() }
