// Package rgqueryapi serves the HTTP routes that only read.
package rgqueryapi

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgtls"
)

type (
	// Routes answers queries with the help of an entry. Metrics may be nil. Without Keys, callers need no key.
	Routes struct {
		Entry   *rgentry.Process
		Keys    *rgtls.TeamKeys
		Metrics http.Handler
	}

	// Status is what an entry knows of the system.
	Status struct {
		Entry    rgmodel.Entry     `json:"entry"`
		Ring     rgmodel.Ring      `json:"ring"`
		Sidecars []rgmodel.Sidecar `json:"sidecars"`
		Teams    map[string]uint64 `json:"teams"`
		Draining bool              `json:"draining"`
	}
)

// Register adds the routes to a router.
func (rts Routes) Register(rtr *httprouter.Router) {
	rtr.GET("/v1/jobs/:id", rts.job)
	rtr.GET("/v1/status", rts.status)
	rtr.GET("/v1/burn", rts.burn)
	rtr.GET("/burn", rts.burnPage)
	if rts.Metrics != nil {
		rtr.Handler(http.MethodGet, "/metrics", rts.Metrics)
	}
}

func (rts Routes) job(rsp http.ResponseWriter, req *http.Request, par httprouter.Params) {
	id := rgmodel.SubmissionID(par.ByName("id"))
	if prb := rgapi.CheckPathID(id); prb != nil {
		rts.Entry.CountMalformed()
		rgapi.Write(rsp, http.StatusBadRequest, prb)
		return
	}
	rep, err := rts.Entry.JobState(req.Context(), id)
	switch {
	case err != nil:
		rgapi.Write(rsp, http.StatusServiceUnavailable, rgapi.Problem{Field: "id", Value: string(id), Reason: err.Error()})
	case !rep.Found:
		rgapi.Write(rsp, http.StatusNotFound, rgapi.Problem{Field: "id", Value: string(id), Reason: "no such job"})
	case !rgapi.Admit(rsp, req, rts.Keys, rep.Team, rgmodel.MayHaveRun):
		rts.Entry.CountUnauthorized()
	case !rep.Final:
		rgapi.Write(rsp, http.StatusOK, rgapi.Running(id))
	default:
		_, body := rgapi.FromAnswer(rep.Answer)
		rgapi.Write(rsp, http.StatusOK, body)
	}
}

// status answers 503 while the entry is not in the ring or drains, so that the balancer can send callers elsewhere.
func (rts Routes) status(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	vie := rts.Entry.View()
	sta := Status{Entry: rts.Entry.Self(), Ring: vie.Ring, Sidecars: vie.Sidecars, Teams: map[string]uint64{}, Draining: vie.Draining}
	for name, tc := range vie.Teams {
		sta.Teams[name] = tc.Revision
	}
	code := http.StatusOK
	if vie.Draining || vie.Ring.Generation == 0 {
		code = http.StatusServiceUnavailable
	}
	rgapi.Write(rsp, code, sta)
}
