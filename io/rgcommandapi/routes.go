// Package rgcommandapi serves the HTTP routes that change state: submitting and cancelling jobs.
package rgcommandapi

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgserver"
	"ragwortgap/io/rgtls"
)

// Routes passes the commands of callers to an entry. If Keys is nil, callers need no key.
type Routes struct {
	Entry *rgentry.Process
	Keys  *rgtls.TeamKeys
	// Bodies holds the bodies of the process. Nil means a budget of its own for each request.
	Bodies *rgserver.Bodies
}

// Register adds the routes to the router.
func (rts Routes) Register(rtr *httprouter.Router) {
	rtr.POST("/v1/jobs", rts.submit)
	rtr.DELETE("/v1/jobs/:id", rts.cancel)
}

func (rts Routes) submit(rsp http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	now := time.Now()
	bod, err := rts.Bodies.Read(rsp, req, rgapi.MaxBodyBytes)
	if err != nil {
		rts.refuseBody(rsp, err)
		return
	}
	defer bod.Release()
	if err := bod.ReserveDecoding(); err != nil {
		rts.refuseBody(rsp, err)
		return
	}
	jb, prb := rgapi.DecodeJob(bod.Bytes, now)
	bod.Keep(rgapi.DecodedBytes(jb))
	if prb != nil {
		rts.Entry.CountMalformed()
		rgapi.WriteJSON(rsp, http.StatusBadRequest, prb)
		return
	}
	if !rgapi.Authorize(rsp, req, rts.Keys, jb.Flow.Team, rgapi.RefusalVerdict(jb.ID, now)) {
		rts.Entry.CountUnauthorized()
		return
	}
	generated := jb.ID == ""
	if generated {
		id, err := rts.Entry.NewID()
		if err != nil {
			rgapi.WriteJSON(rsp, http.StatusInternalServerError, rgapi.Problem{Reason: err.Error(), Verdict: rgmodel.NotRun})
			return
		}
		jb.ID = id
	}
	res := rts.Entry.Submit(req.Context(), jb, generated)
	if res.RetryAfter > 0 {
		rsp.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(res.RetryAfter.Seconds()))))
	}
	status, body := rgapi.EncodeAnswer(res.Answer)
	rgapi.WriteJSON(rsp, status, body)
}

func (rts Routes) refuseBody(rsp http.ResponseWriter, err error) {
	var ref rgserver.RefusedError
	if !errors.As(err, &ref) {
		rts.Entry.CountMalformed()
	}
	rgapi.RefuseBody(rsp, err)
}

func (rts Routes) cancel(rsp http.ResponseWriter, req *http.Request, par httprouter.Params) {
	id := rgmodel.SubmissionID(par.ByName("id"))
	if prb := rgapi.CheckSubmissionID(id); prb != nil {
		rts.Entry.CountMalformed()
		rgapi.WriteJSON(rsp, http.StatusBadRequest, prb)
		return
	}
	if rts.Keys != nil && !rts.authorizeCancel(rsp, req, id) {
		return
	}
	found, err := rts.Entry.CancelJob(req.Context(), id)
	switch {
	case err != nil:
		rgapi.WriteJSON(rsp, http.StatusServiceUnavailable, rgapi.Problem{Field: "id", Value: string(id), Reason: err.Error()})
	case !found:
		rgapi.WriteJSON(rsp, http.StatusNotFound, rgapi.Problem{Field: "id", Value: string(id), Reason: "no running job"})
	default:
		rgapi.WriteJSON(rsp, http.StatusAccepted, rgapi.RunningAnswer(id))
	}
}

// authorizeCancel checks the caller's key against the team of the job. If it returns false, it has sent the response.
func (rts Routes) authorizeCancel(rsp http.ResponseWriter, req *http.Request, id rgmodel.SubmissionID) bool {
	rep, err := rts.Entry.JobState(req.Context(), id)
	switch {
	case err != nil:
		rgapi.WriteJSON(rsp, http.StatusServiceUnavailable, rgapi.Problem{Field: "id", Value: string(id), Reason: err.Error()})
		return false
	case !rep.Found:
		rgapi.WriteJSON(rsp, http.StatusNotFound, rgapi.Problem{Field: "id", Value: string(id), Reason: "no running job"})
		return false
	case !rgapi.Authorize(rsp, req, rts.Keys, rep.Team, rgmodel.MayHaveRun):
		rts.Entry.CountUnauthorized()
		return false
	default:
		return true
	}
}
