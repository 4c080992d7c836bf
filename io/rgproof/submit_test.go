package rgproof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/google/uuid"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
	"ragwortgap/io/rgapi"
)

// newID returns a submission id created at the time given.
func newID(at time.Time) rgmodel.SubmissionID {
	uid := uuid.Must(uuid.NewV7())
	for i := range 6 {
		uid[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return rgmodel.SubmissionID(uid.String())
}

// submit submits a job with a deadline of 5 s and records the attempt.
func (sys *system) submit(entry int, id rgmodel.SubmissionID, body string, tasks int) attempt {
	return sys.submitWithin(entry, id, body, tasks, 5*time.Second)
}

// submitWithin submits a job with the given deadline and records the attempt.
func (sys *system) submitWithin(entry int, id rgmodel.SubmissionID, body string, tasks int, deadline time.Duration) attempt {
	req := rgapi.JobRequest{SubmissionID: string(id), Team: "team", Kind: "work", Deadline: rgmodel.Duration{Duration: deadline}}
	req.Tasks = taskValues(body, tasks)
	return sys.send(entry, id, body, req)
}

// taskValues returns the payloads of tasks of a job with the given body.
func taskValues(body string, tasks int) []jsontext.Value {
	vals := make([]jsontext.Value, tasks)
	for i := range vals {
		vals[i], _ = json.Marshal(payload{Body: body, Index: i})
	}
	return vals
}

// isRefused reports whether the connection was refused, so the request was never accepted.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// send sends a job request to an entry and records the attempt.
func (sys *system) send(entry int, id rgmodel.SubmissionID, body string, job rgapi.JobRequest) attempt {
	att := attempt{id: id, body: body, tasks: len(job.Tasks), entry: entry, began: time.Now()}
	raw, _ := json.Marshal(job)
	ctx, stop := context.WithTimeout(context.Background(), job.Deadline.Duration+5*time.Second)
	defer stop()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, sys.url(entry, "/v1/jobs"), bytes.NewReader(raw))
	rsp, err := sys.client.Do(req)
	if err == nil {
		var bod []byte
		bod, err = io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		att.status = rsp.StatusCode
		if err == nil {
			err = json.Unmarshal(bod, &att.answer)
		}
	}
	att.err, att.ended = err, time.Now()
	sys.mutex.Lock()
	defer sys.mutex.Unlock()
	sys.attempts = append(sys.attempts, att)
	return att
}

// newIDHomedAt returns a new id whose home is the entry in the current ring.
func (sys *system) newIDHomedAt(entry int) rgmodel.SubmissionID {
	sta, ok := sys.status(entry)
	if !ok {
		sys.t.Fatalf("no status of entry %d", entry)
	}
	for {
		id := newID(time.Now())
		if ent, ok := rgring.Home(sta.Ring, id); ok && ent == sta.Entry {
			return id
		}
	}
}

// submitInBackground submits a job in a goroutine and waits until at least one of its tasks has started.
func (sys *system) submitInBackground(entry int, id rgmodel.SubmissionID, tasks int) <-chan attempt {
	atts := make(chan attempt, 1)
	go func() { atts <- sys.submitWithin(entry, id, "first", tasks, 15*time.Second) }()
	sys.waitUntil("start of "+string(id), readyTimeout, func() bool { return sys.startCount(id) > 0 })
	return atts
}
