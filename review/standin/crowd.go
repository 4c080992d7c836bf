//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// maxDescriptors is limits.max_fds of the pages for entries, and a little less for sidecars.
	maxDescriptors = 4100
	// baseRate is the number of requests a second in a zone with one entry, and burstFactor and burstTime are those of a burst.
	baseRate    = 60
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	burstPause  = 7 * time.Second
	// crowdTime is how long new callers come.
	crowdTime = 62 * time.Second
	// minCallers is the number of connections of callers to an entry that leave it about no descriptor.
	minCallers = maxDescriptors - 200
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
)

// crowd is a set of callers that keep their connections open after an answer, as callers of HTTP/1.1 do.
type crowd struct {
	mutex          sync.Mutex
	conns          []net.Conn
	served, failed int
}

// playCrowd has new callers come at the rate of the site, with bursts, each with one job and a connection that stays open. All sidecars are
// killed in the crowd, and once more as the final fault, when the callers have left. Without the trouble, each caller closes its
// connection after the answer, and the sidecars are killed all the same.
func playCrowd(jud *judge, dir, binary string, trouble bool) error {
	descriptors = maxDescriptors
	fle, err := newFleet(jud, dir, binary, 2, 5, func(int) int { return 32000 }, func(int) []string { return []string{"a"} })
	if err != nil {
		return err
	}
	defer fle.end()
	crd := &crowd{}
	var coming sync.WaitGroup
	for _, ent := range fle.entries {
		coming.Go(func() { crd.come(fle, fle.addr(ent.host, "front"), trouble) })
	}
	coming.Wait()
	jud.note("%d connections of callers are open; %d jobs served, %d not", len(crd.conns), crd.served, crd.failed)
	switch {
	case crd.served*4 < crd.served+crd.failed:
		return errors.New("less than a quarter was served before the fault")
	case trouble && len(crd.conns) < len(fle.entries)*minCallers:
		return errors.New("too few connections of callers could be opened")
	}
	fle.killSidecars()
	time.Sleep(3 * time.Second)
	for _, con := range crd.conns {
		_ = con.Close()
	}
	jud.note("the callers have closed their connections")
	time.Sleep(3 * time.Second)
	fle.killSidecars()
	// The sidecars are back after half a second.
	time.Sleep(recoveryTime + time.Second)
	served, sent := 0, 0
	for range 20 {
		for _, ent := range fle.entries {
			sent++
			if out := fle.submit(fle.addr(ent.host, "front"), routePrefix, newID(), "60,1000", crowdSteps, 1500*time.Millisecond); out.status == http.StatusOK {
				served++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	jud.note("%d of %d requests were served, more than %v after the sidecars were back", served, sent, recoveryTime)
	if served*4 < sent {
		jud.broken("RECOVER", "%d of %d requests were served, more than %v after the sidecars were back and the callers had left", served, sent, recoveryTime)
	}
	return nil
}

// killSidecars kills all sidecars. The platform starts them again.
func (fle *fleet) killSidecars() {
	for _, sid := range fle.sidecars {
		sid.signal(fle, syscall.SIGKILL)
	}
}

var crowdSteps = []step{{Count: 1, CPU: 1000, MemMB: 64, Estimate: 60}}

// come has new callers come to an address until crowdTime is over.
func (crd *crowd) come(fle *fleet, adr string, stay bool) {
	began := time.Now()
	var calls sync.WaitGroup
	for next := time.Duration(0); next < crowdTime; {
		rate := float64(baseRate)
		if next%(burstTime+burstPause) < burstTime {
			rate *= burstFactor
		}
		time.Sleep(time.Until(began.Add(next)))
		calls.Go(func() { crd.call(fle, adr, stay) })
		next += time.Duration(float64(time.Second) / rate)
	}
	calls.Wait()
}

// call sends one job over a new connection, which stays open.
func (crd *crowd) call(fle *fleet, adr string, stay bool) {
	id := newID()
	raw, _ := json.Marshal(map[string]any{"spec": "60,1000", "steps": crowdSteps, "best_effort": true})
	con, err := net.DialTimeout("tcp", adr, time.Second)
	if err != nil {
		crd.add(nil, false)
		return
	}
	fle.judge.sent(id, "60,1000", crowdSteps, adr)
	_ = con.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, err = fmt.Fprintf(con, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		routePrefix, id, routeHost, len(raw), raw)
	var rsp *http.Response
	if err == nil {
		rsp, err = http.ReadResponse(bufio.NewReader(con), nil)
	}
	if err != nil {
		// The caller waits no longer.
		fle.judge.answered(id, adr, fmt.Sprintf("no complete answer: %v", err))
		_ = con.Close()
		crd.add(nil, false)
		return
	}
	_, _ = io.Copy(io.Discard, rsp.Body)
	fle.judge.answered(id, adr, fmt.Sprint(rsp.StatusCode))
	if !stay {
		_ = con.Close()
		con = nil
	}
	crd.add(con, rsp.StatusCode == http.StatusOK)
}

func (crd *crowd) add(con net.Conn, served bool) {
	crd.mutex.Lock()
	defer crd.mutex.Unlock()
	if con != nil {
		crd.conns = append(crd.conns, con)
	}
	if served {
		crd.served++
	} else {
		crd.failed++
	}
}
