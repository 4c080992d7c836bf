// Package rgcommandapi serves the HTTP routes that change something.
package rgcommandapi

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
)

// Routes answers commands with the help of an entry.
type Routes struct {
	Entry *rgentry.Process
}

// Register adds the routes to a router.
func (rts Routes) Register(rtr *httprouter.Router) {
	rtr.POST("/v1/jobs", rts.submit)
	rtr.DELETE("/v1/jobs/:id", rts.cancel)
}

func (rts Routes) submit(rsp http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	jb, prb := rgapi.ReadJob(req.Body, time.Now())
	if prb != nil {
		rts.Entry.CountMalformed()
		rgapi.Write(rsp, http.StatusBadRequest, prb)
		return
	}
	own := jb.ID == ""
	if own {
		id, err := rts.Entry.NewID()
		if err != nil {
			rgapi.Write(rsp, http.StatusInternalServerError, rgapi.Problem{Reason: err.Error(), Verdict: rgmodel.NotRun})
			return
		}
		jb.ID = id
	}
	rep := rts.Entry.Submit(req.Context(), jb, own)
	if rep.RetryAfter > 0 {
		rsp.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(rep.RetryAfter.Seconds()))))
	}
	status, body := rgapi.FromAnswer(rep.Answer)
	rgapi.Write(rsp, status, body)
}

func (rts Routes) cancel(rsp http.ResponseWriter, req *http.Request, par httprouter.Params) {
	id := rgmodel.SubmissionID(par.ByName("id"))
	if prb := rgapi.CheckPathID(id); prb != nil {
		rts.Entry.CountMalformed()
		rgapi.Write(rsp, http.StatusBadRequest, prb)
		return
	}
	found, err := rts.Entry.CancelJob(req.Context(), id)
	switch {
	case err != nil:
		rgapi.Write(rsp, http.StatusServiceUnavailable, rgapi.Problem{Field: "id", Value: string(id), Reason: err.Error()})
	case !found:
		rgapi.Write(rsp, http.StatusNotFound, rgapi.Problem{Field: "id", Value: string(id), Reason: "no running job"})
	default:
		rgapi.Write(rsp, http.StatusAccepted, rgapi.Running(id))
	}
}
