//go:build review2

// Command review-2 plays the cases of the second review: it starts the project's programs as separate processes on loopback addresses,
// with stand-ins of the platform's store, the executors, the balancer and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts by name. A script returns errBroken, nil if the rule held, or another error if it could not run.
var cases = map[string]func(rec *record, trouble bool) error{
	"foreign-report": foreignReport,
	"foreign-drain":  foreignDrain,
	"stale-label":    staleLabel,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(rec *record, trouble bool) error, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	err = play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		rec.write("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.write("%v", err)
		fmt.Println(err)
		return 1
	default:
		rec.write("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
}
