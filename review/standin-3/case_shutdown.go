//go:build review3

package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// lossSlack is loss_slack_ms of the site.
	lossSlack = 200 * time.Millisecond
	shortWork = time.Second
	// sentAfter is when the jobs are sent after the SIGTERM, while the balancer still sends channels to the entry.
	sentAfter = 500 * time.Millisecond
)

// twoRequestsInShutdown checks LOST. A client of each zone sends two jobs over one channel, the second without waiting for the answer to the
// first. With the disruption, the entry of the first zone has got SIGTERM half a second before.
func twoRequestsInShutdown(sys *system, trouble bool) ([]string, error) {
	if err := sys.start(6); err != nil {
		return nil, err
	}
	chns := make([]*channel, len(zones))
	for i := range chns {
		chn, err := sys.open(fmt.Sprint("client", i), i)
		if err != nil {
			return nil, err
		}
		defer chn.close()
		chns[i] = chn
	}
	if trouble {
		sys.rec.add("platform", "SIGTERM to %s", sys.entries[0].name)
		if err := sys.entries[0].process.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(sentAfter)
	seen := make([][]string, len(chns))
	errs := make([]error, len(chns))
	var wait sync.WaitGroup
	for i, chn := range chns {
		wait.Go(func() { seen[i], errs[i] = sendTwo(chn) })
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

// sendTwo sends two jobs at once and reports the one that was read by the entry and not answered.
func sendTwo(chn *channel) ([]string, error) {
	ids := []string{newJobID(), newJobID()}
	if err := chn.sendTogether(ids, longWait, wideJob(2, shortWork)); err != nil {
		return nil, err
	}
	sent := time.Now()
	for _, id := range ids {
		_, _, err := chn.receive(longWait + time.Second)
		after := time.Since(sent)
		switch {
		case err == nil:
		case errors.Is(err, syscall.ECONNRESET):
			// Closing a channel with unread bytes resets it, so the entry may not have read the request.
			return nil, fmt.Errorf("the channel was reset: %w", err)
		case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil, err
		case after > lossSlack:
			return []string{fmt.Sprintf("LOST: the channel ended %d ms after the last byte of job %s was sent, without an answer to it",
				after.Milliseconds(), id)}, nil
		default:
			return nil, fmt.Errorf("the channel ended within the slack, %v after the last byte", after)
		}
	}
	return nil, nil
}
