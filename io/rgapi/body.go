package rgapi

import (
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgserver"
)

// refusedBodyRetry is the number of seconds after which a caller whose body was refused may send it again. Stalled bodies lose their
// memory to others within that time.
const refusedBodyRetry = 1

// TaskValues holds the payloads of a job. Decoding keeps at most two more than a job may have, because decoded ones take many times the
// size of their JSON.
type TaskValues []jsontext.Value

// UnmarshalJSONFrom decodes the payloads and skips those above the limit.
func (tv *TaskValues) UnmarshalJSONFrom(dec *jsontext.Decoder) error {
	switch dec.PeekKind() {
	case '[':
	case 'n':
		*tv = nil
		return dec.SkipValue()
	default:
		return errors.NotValidf("need an array")
	}
	if _, err := dec.ReadToken(); err != nil {
		return err
	}
	vals := TaskValues{}
	for dec.PeekKind() != ']' {
		if len(vals) == rgmodel.MaxTasks+2 {
			if err := dec.SkipValue(); err != nil {
				return err
			}
			continue
		}
		val, err := dec.ReadValue()
		if err != nil {
			return err
		}
		vals = append(vals, val.Clone())
	}
	*tv = vals
	_, err := dec.ReadToken()
	return err
}

// describe returns the number of tasks.
func (tv TaskValues) describe() string {
	if len(tv) == rgmodel.MaxTasks+2 {
		return strconv.Itoa(len(tv)) + " tasks or more"
	}
	return strconv.Itoa(len(tv)) + " tasks"
}

// RefuseBody responds that a body was not read. The part that was not read may name the id of an earlier submission, so the verdict never
// says that it has not run.
func RefuseBody(rsp http.ResponseWriter, err error) {
	prb := newProblem("body", "", "not readable: "+err.Error())
	prb.Verdict = rgmodel.MayHaveRun
	status := http.StatusBadRequest
	var ref rgserver.RefusedError
	switch {
	case errors.As(err, &ref):
		prb.Reason = err.Error()
		status = http.StatusServiceUnavailable
		rsp.Header().Set("Retry-After", strconv.Itoa(refusedBodyRetry))
	case errors.Is(err, rgserver.ErrTooLarge):
		prb = tooLargeProblem()
	}
	WriteJSON(rsp, status, prb)
}

func tooLargeProblem() *Problem {
	prb := newProblem("body", strconv.Itoa(MaxBodyBytes+1)+" bytes or more", "limit is "+strconv.Itoa(MaxBodyBytes)+" bytes")
	prb.Verdict = rgmodel.MayHaveRun
	return prb
}

// DecodedBytes returns the memory that the payloads of a job hold.
func DecodedBytes(jb rgmodel.Job) int64 {
	num := 0
	for _, tsk := range jb.Tasks {
		num += cap(tsk.Payload)
	}
	return int64(num)
}
