// Package rgqueryapi serves the HTTP routes that only read state.
package rgqueryapi

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgconfig"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgtls"
)

type (
	// Routes serves queries from the state of an entry. If Metrics is nil, there is no metrics route. If Keys is nil, callers
	// need no key.
	Routes struct {
		Entry   *rgentry.Process
		Keys    *rgtls.TeamKeys
		Metrics http.Handler
	}

	// Status is the response body of GET /v1/status: the state of the system as the entry knows it.
	Status struct {
		Entry    rgmodel.Entry         `json:"entry"`
		Ring     rgmodel.Ring          `json:"ring"`
		Config   rgmodel.ConfigVersion `json:"config"`
		Sidecars []SidecarStatus       `json:"sidecars"`
		// Teams holds the revision in force of each team.
		Teams    map[string]uint64 `json:"teams"`
		Draining bool              `json:"draining"`
	}

	// SidecarStatus is a sidecar with the configuration version in its newest report.
	SidecarStatus struct {
		rgmodel.Sidecar
		Config rgmodel.ConfigVersion `json:"config"`
		// Current means that the sidecar has the same revision of each team's configuration in force as the entry.
		Current bool `json:"current"`
	}
)

// Register adds the routes to the router.
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
	if prb := rgapi.CheckSubmissionID(id); prb != nil {
		rts.Entry.CountMalformed()
		rgapi.WriteJSON(rsp, http.StatusBadRequest, prb)
		return
	}
	rep, err := rts.Entry.JobState(req.Context(), id)
	switch {
	case err != nil:
		rgapi.WriteJSON(rsp, http.StatusServiceUnavailable, rgapi.Problem{Field: "id", Value: string(id), Reason: err.Error()})
	case !rep.Found:
		rgapi.WriteJSON(rsp, http.StatusNotFound, rgapi.Problem{Field: "id", Value: string(id), Reason: "no such job"})
	case !rgapi.Authorize(rsp, req, rts.Keys, rep.Team, rgmodel.MayHaveRun):
		rts.Entry.CountUnauthorized()
	case !rep.Final:
		rgapi.WriteJSON(rsp, http.StatusOK, rgapi.RunningAnswer(id))
	default:
		_, body := rgapi.EncodeAnswer(rep.Answer)
		rgapi.WriteJSON(rsp, http.StatusOK, body)
	}
}

// status responds with 503 while the entry knows no ring yet or drains, so the load balancer sends callers elsewhere.
func (rts Routes) status(rsp http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	versions, err := rts.Entry.SidecarConfigs(req.Context())
	if err != nil {
		rgapi.WriteJSON(rsp, http.StatusServiceUnavailable, rgapi.Problem{Reason: err.Error()})
		return
	}
	vie := rts.Entry.View()
	sta := Status{
		Entry: rts.Entry.Self(), Ring: vie.Ring, Config: vie.Config, Teams: rgconfig.Revisions(vie.Teams), Draining: vie.Draining,
	}
	for _, sc := range vie.Sidecars {
		ver := versions[sc.Key()]
		sta.Sidecars = append(sta.Sidecars, SidecarStatus{Sidecar: sc, Config: ver, Current: ver == vie.Config})
	}
	code := http.StatusOK
	if vie.Draining || vie.Ring.Generation == 0 {
		code = http.StatusServiceUnavailable
	}
	rgapi.WriteJSON(rsp, code, sta)
}
