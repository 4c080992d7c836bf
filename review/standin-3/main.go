//go:build review3

// Command standin-3 plays the cases of the third review: it starts the programs of the project as separate processes on loopback
// addresses, beside stand-ins for the platform's store, its balancer, its executors and its clients, and checks one rule.
//
//	standin-3 CASE DIR
//
// DIR is the folder of the case, in which record.txt is written. The exit code is 0 if the rule held, 1 if it was broken and 2 if the case
// could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseTimeout ends a case that hangs.
	caseTimeout = 110 * time.Second
)

// cases holds the cases by name. Each returns what was seen of the broken rule; nothing means that the rule held.
var cases = map[string]func(sys *system, trouble bool) ([]string, error){
	"leave-after-second-request": leaveAfterSecondRequest,
	"cancel-after-shift":         cancelAfterShift,
	"two-requests-in-shutdown":   twoRequestsInShutdown,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DIR")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	sys := &system{rec: rec}
	defer sys.stop()
	done := make(chan int, 1)
	go func() { done <- play(sys, name, trouble) }()
	select {
	case code := <-done:
		return code
	case <-time.After(caseTimeout):
		rec.add("case", "timed out")
		return exitFailed
	}
}

func play(sys *system, name string, trouble bool) int {
	sys.rec.add("case", "%s, disruption: %v", name, trouble)
	seen, err := cases[name](sys, trouble)
	switch {
	case err != nil:
		sys.rec.add("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case len(seen) > 0:
		for _, txt := range seen {
			sys.rec.add("broken", "%s", txt)
		}
		fmt.Printf("broken, %d times; first: %s\n", len(seen), seen[0])
		return exitBroken
	default:
		sys.rec.add("case", "the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
