package rgapi

import (
	"net/http"

	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgtls"
)

// Authorize reports whether the request carries a key of the team. If not, it responds with 401 or 403 and the verdict.
func Authorize(rsp http.ResponseWriter, req *http.Request, keys *rgtls.TeamKeys, team string, vd rgmodel.Verdict) bool {
	err := keys.Check(req.Header.Get("Authorization"), team)
	if err == nil {
		return true
	}
	status := http.StatusForbidden
	if errors.Is(err, errors.Unauthorized) {
		status = http.StatusUnauthorized
		rsp.Header().Set("WWW-Authenticate", "Bearer")
	}
	// The header value is omitted, because it may contain a key.
	WriteJSON(rsp, status, Problem{Field: "Authorization", Reason: err.Error(), Verdict: vd})
	return false
}
