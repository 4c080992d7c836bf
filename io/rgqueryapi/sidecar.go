package rgqueryapi

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgsidecar"
)

// SidecarRoutes serves operators' queries from the state of a sidecar. If Metrics is nil, there is no metrics route.
type SidecarRoutes struct {
	Sidecar *rgsidecar.Process
	Metrics http.Handler
}

// Register adds the routes to the router.
func (rts SidecarRoutes) Register(rtr *httprouter.Router) {
	rtr.GET("/health", rts.health)
	if rts.Metrics != nil {
		rtr.Handler(http.MethodGet, "/metrics", rts.Metrics)
	}
}

// health responds with 503 while the sidecar drains or no entry is connected.
func (rts SidecarRoutes) health(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	sts := rts.Sidecar.Status()
	code := http.StatusOK
	if !sts.Usable() {
		code = http.StatusServiceUnavailable
	}
	rgapi.WriteJSON(rsp, code, sts)
}
