package rgqueryapi

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/io/rgapi"
	"ragwortgap/io/rgsidecar"
)

// SidecarRoutes answers operators' queries with the help of a sidecar. Metrics may be nil.
type SidecarRoutes struct {
	Sidecar *rgsidecar.Process
	Metrics http.Handler
}

// Register adds the routes to a router.
func (rts SidecarRoutes) Register(rtr *httprouter.Router) {
	rtr.GET("/health", rts.health)
	if rts.Metrics != nil {
		rtr.Handler(http.MethodGet, "/metrics", rts.Metrics)
	}
}

// health answers 503 while the sidecar drains or no entry is connected.
func (rts SidecarRoutes) health(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	hlt := rts.Sidecar.Health()
	code := http.StatusOK
	if !hlt.Usable() {
		code = http.StatusServiceUnavailable
	}
	rgapi.WriteJSON(rsp, code, hlt)
}
