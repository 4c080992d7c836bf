//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// resend is retransmit_ms of the site.
	resend = 1300 * time.Millisecond
	// callers is the number of clients of a case, and leavers how many of them leave: a share of 0.25, the site has up to 0.4.
	callers = 4
	leavers = 1
	// leaveAfter is when a client leaves. The site has up to 900 ms.
	leaveAfter = 400 * time.Millisecond
	// longWork is the work of a task. The longest of the site takes 3,600 ms.
	longWork = 3 * time.Second
	longWait = 5 * time.Second
)

// leaveAfterSecondRequest checks TWICE. Each client submits a job, and while it waits it asks for the count of its queue over the same
// channel. With the disruption, one of the clients leaves and submits its job again to another entry after the resend delay.
func leaveAfterSecondRequest(sys *system, trouble bool) ([]string, error) {
	if err := sys.start(6); err != nil {
		return nil, err
	}
	ids := make([]string, callers)
	errs := make([]error, callers)
	var wait sync.WaitGroup
	for i := range ids {
		ids[i] = newJobID()
		wait.Go(func() { errs[i] = sys.askWhileWaiting(fmt.Sprint("client", i), ids[i], trouble && i < leavers) })
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	var seen []string
	for _, id := range ids {
		seen = append(seen, overlaps(sys.runsOf(id))...)
	}
	return seen, nil
}

func (sys *system) askWhileWaiting(who, id string, leaves bool) error {
	body := wideJob(2, longWork)
	chn, err := sys.open(who, 0)
	if err != nil {
		return err
	}
	defer chn.close()
	if err := chn.send("POST", prefix+id, longWait, body); err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	if err := chn.send("GET", prefix, longWait, ""); err != nil {
		return err
	}
	if !leaves {
		for range 2 {
			if _, _, err := chn.receive(longWait + time.Second); err != nil {
				return err
			}
		}
		return nil
	}
	time.Sleep(time.Until(began.Add(leaveAfter)))
	chn.close()
	time.Sleep(resend)
	again, err := sys.open(who, 1)
	if err != nil {
		return err
	}
	defer again.close()
	if err := again.send("POST", prefix+id, longWait, body); err != nil {
		return err
	}
	// Any answer, or none, is fine for this rule.
	_, _, _ = again.receive(longWait + time.Second)
	return nil
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func overlaps(runs []taskRun) []string {
	var seen []string
	for i, one := range runs {
		for _, two := range runs[i+1:] {
			if one.task == two.task && one.started.Before(two.endedBy()) && two.started.Before(one.endedBy()) {
				seen = append(seen, fmt.Sprintf("TWICE: %s and %s at the same time for %d ms", one, two, sharedTime(one, two).Milliseconds()))
			}
		}
	}
	return seen
}

func sharedTime(one, two taskRun) time.Duration {
	from, to := one.started, one.endedBy()
	if two.started.After(from) {
		from = two.started
	}
	if two.endedBy().Before(to) {
		to = two.endedBy()
	}
	return to.Sub(from)
}
