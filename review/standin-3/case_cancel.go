//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cancelTime is cancel_ms of the site.
	cancelTime = 3 * time.Second
	// jobSteps and stepWork make a job of eight seconds, whose steps run one after the other.
	jobSteps  = 40
	stepWork  = 200 * time.Millisecond
	chainWait = 15 * time.Second
	// movers is how many of the clients move: a share of 0.5, as in the site.
	movers = 2
)

// cancelAfterShift checks UNASKED. Each client submits a job, which is answered when it has ended, and cancels it a second later over a new
// channel. With the disruption, half of the clients have moved to another zone in between, so that their new channels go to the entry there.
func cancelAfterShift(sys *system, trouble bool) ([]string, error) {
	if err := sys.start(6); err != nil {
		return nil, err
	}
	seen := make([][]string, callers)
	errs := make([]error, callers)
	var wait sync.WaitGroup
	for i := range seen {
		wait.Go(func() { seen[i], errs[i] = sys.submitAndCancel(fmt.Sprint("client", i), trouble && i < movers) })
	}
	wait.Wait()
	var all []string
	for i := range seen {
		if errs[i] != nil {
			return nil, errs[i]
		}
		all = append(all, seen[i]...)
	}
	return all, nil
}

func (sys *system) submitAndCancel(who string, moves bool) ([]string, error) {
	id := newJobID()
	post, err := sys.open(who, 0)
	if err != nil {
		return nil, err
	}
	defer post.close()
	if err := post.send("POST", prefix+id, chainWait, chainJob(jobSteps, stepWork)); err != nil {
		return nil, err
	}
	go func() { _, _, _ = post.receive(chainWait) }()
	time.Sleep(time.Second)
	if len(sys.runsOf(id)) == 0 {
		return nil, fmt.Errorf("job %s has not begun within a second", id)
	}
	zone := 0
	if moves {
		zone = 1
		sys.rec.add(who, "moves from %s to %s", zones[0], zones[1])
	}
	del, err := sys.open(who, zone)
	if err != nil {
		return nil, err
	}
	defer del.close()
	if err := del.send("DELETE", prefix+id, 2*time.Second, ""); err != nil {
		return nil, err
	}
	status, _, err := del.receive(2 * time.Second)
	if err != nil {
		return nil, err
	}
	if status/100 != 2 && status != http.StatusGone {
		return nil, fmt.Errorf("the cancel of %s was answered %d, which is no ack", id, status)
	}
	acked := time.Now()
	time.Sleep(2 * cancelTime)
	var seen []string
	for _, run := range sys.runsOf(id) {
		if late := run.started.Sub(acked); late > cancelTime {
			seen = append(seen, fmt.Sprintf("UNASKED: %s started %d ms after the ack (%d) of the cancel", run, late.Milliseconds(), status))
		}
	}
	return seen, nil
}
