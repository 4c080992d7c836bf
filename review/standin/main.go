//go:build review

// Command standin starts a small deployment of the project's own programs with stand-ins for the store, the executors and the
// callers, plays a case and exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 110 * time.Second

var cases = map[string]struct {
	rule string
	play func(jud *judge, dir, binary string, trouble bool) error
}{
	"antiAffinity":   {"ROUTE", playAntiAffinity},
	"lateStart":      {"TWICE", playLateStart},
	"planned":        {"LOST", playPlanned},
	"crowd":          {"RECOVER", playCrowd},
	"explore":        {"TWICE", playExplore},
	"hupDuringDrain": {"LOST", playHupDuringDrain},
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD DIR BINARY")
		os.Exit(2)
	}
	cas, found := cases[os.Args[1]]
	jud, err := newJudge(os.Args[2])
	if !found || err != nil {
		fmt.Fprintln(os.Stderr, "standin:", os.Args[1], err)
		os.Exit(2)
	}
	time.AfterFunc(maxCaseTime, func() {
		jud.fatal("the case did not end in time")
		// The processes end with this one (Pdeathsig).
		os.Exit(2)
	})
	if err := cas.play(jud, os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0"); err != nil {
		jud.fatal("%v", err)
	}
	code := jud.exitCode(cas.rule)
	fmt.Printf("%s: exit %d, rules broken: %v\n", os.Args[1], code, jud.breaks)
	os.Exit(code)
}
