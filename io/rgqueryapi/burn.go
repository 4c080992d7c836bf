package rgqueryapi

import (
	"bytes"
	_ "embed" // for the template of the page
	"html/template"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

type (
	// BurnReport is the response body of GET /v1/burn: the error budgets of the jobs whose home is this entry.
	BurnReport struct {
		Entry string              `json:"entry"`
		Flows []rgburn.FlowReport `json:"flows"`
	}

	// burnPage is the data of the template for GET /burn.
	burnPage struct {
		Entry string
		Flows []rgburn.FlowReport
		Plot  template.HTML
	}
)

var (
	//go:embed burn.html
	burnHTML     string
	burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
		"percent": func(val float64) float64 { return 100 * val },
	}).Parse(burnHTML))
)

func (rts Routes) burn(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rgapi.WriteJSON(rsp, http.StatusOK, newBurnReport(rts.Entry.Self().Name, rts.Entry.View().Burn))
}

func (rts Routes) burnPage(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	raw, err := renderBurn(newBurnReport(rts.Entry.Self().Name, rts.Entry.View().Burn))
	if err != nil {
		rgapi.WriteJSON(rsp, http.StatusInternalServerError, rgapi.Problem{Reason: err.Error(), Verdict: rgmodel.NotRun})
		return
	}
	rsp.Header().Set("Content-Type", "text/html; charset=utf-8")
	// The page only needs its own style. The policy keeps the name of a flow from running as a script.
	rsp.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	// A write error only means that the caller has disconnected.
	_, _ = rsp.Write(raw)
}

func newBurnReport(entry string, reps []rgburn.FlowReport) BurnReport {
	if reps == nil {
		reps = []rgburn.FlowReport{}
	}
	return BurnReport{Entry: entry, Flows: reps}
}

func renderBurn(body BurnReport) ([]byte, error) {
	svg, err := plotBurn(body.Flows)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	// The SVG needs no escaping here, because the plot library has escaped its texts.
	err = burnTemplate.Execute(&buf, burnPage{Entry: body.Entry, Flows: body.Flows, Plot: template.HTML(svg)})
	return buf.Bytes(), err
}
