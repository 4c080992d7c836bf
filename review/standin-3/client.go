//go:build review3

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is an open channel of a client to an entry.
type channel struct {
	conn net.Conn
	buf  *bufio.Reader
	name string
	rec  *record
}

// open opens a new channel of a client in a zone. The platform forwards it to an entry.
func (sys *system) open(who string, zone int) (*channel, error) {
	ent := sys.entryOf(zone)
	con, err := net.DialTimeout("tcp", ent.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	sys.rec.add(who, "channel to %s", ent.name)
	return &channel{conn: con, buf: bufio.NewReader(con), name: who, rec: sys.rec}, nil
}

// send sends a request without waiting for its response.
func (chn *channel) send(method, path string, wait time.Duration, body string) error {
	hdr := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, hostName)
	if wait > 0 {
		hdr += fmt.Sprintf("X-Deadline-Ms: %d\r\n", wait.Milliseconds())
	}
	if body != "" {
		hdr += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	chn.rec.add(chn.name, "%s %s", method, path)
	_, err := io.WriteString(chn.conn, hdr+"\r\n"+body)
	return err
}

// receive waits for the next response and returns its status and body.
func (chn *channel) receive(wait time.Duration) (int, string, error) {
	if err := chn.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, "", err
	}
	rsp, err := http.ReadResponse(chn.buf, nil)
	if err != nil {
		chn.rec.add(chn.name, "no response: %v", err)
		return 0, "", err
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	chn.rec.add(chn.name, "response %d %s", rsp.StatusCode, strings.TrimSpace(string(raw)))
	return rsp.StatusCode, string(raw), err
}

func (chn *channel) close() {
	_ = chn.conn.Close()
	chn.rec.add(chn.name, "channel closed")
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// chainJob returns a job of steps with one task each, of which each needs the one before.
func chainJob(steps int, work time.Duration) string {
	stps := make([]map[string]any, steps)
	for i := range stps {
		stps[i] = map[string]any{"count": 1, "cpu": 3100, "mem_mb": 64, "estimate_ms": work.Milliseconds()}
		if i > 0 {
			stps[i]["after"] = []int{i - 1}
		}
	}
	raw, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d", work.Milliseconds()), "best_effort": true, "steps": stps})
	return string(raw)
}

// wideJob returns a job of one step.
func wideJob(tasks int, work time.Duration) string {
	raw, _ := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("ms=%d", work.Milliseconds()), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": 3100, "mem_mb": 64, "estimate_ms": work.Milliseconds()}},
	})
	return string(raw)
}

// sendTogether submits jobs with one write.
func (chn *channel) sendTogether(ids []string, wait time.Duration, body string) error {
	txt := ""
	for _, id := range ids {
		chn.rec.add(chn.name, "POST %s", prefix+id)
		txt += fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			prefix, id, hostName, wait.Milliseconds(), len(body), body)
	}
	_, err := io.WriteString(chn.conn, txt)
	return err
}
