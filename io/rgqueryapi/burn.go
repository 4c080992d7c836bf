package rgqueryapi

import (
	"bytes"
	_ "embed" // for the page's template
	"html/template"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"ragwortgap/core/rgburn"
	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgapi"
)

type (
	// Burn is the body of GET /v1/burn: the error budgets of the jobs of which this entry is the home.
	Burn struct {
		Entry string              `json:"entry"`
		Flows []rgburn.FlowReport `json:"flows"`
	}

	// burnPage is what the template of GET /burn shows.
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
	rgapi.WriteJSON(rsp, http.StatusOK, burnBody(rts.Entry.Self().Name, rts.Entry.View().Burn))
}

func (rts Routes) burnPage(rsp http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	raw, err := renderBurn(burnBody(rts.Entry.Self().Name, rts.Entry.View().Burn))
	if err != nil {
		rgapi.WriteJSON(rsp, http.StatusInternalServerError, rgapi.Problem{Reason: err.Error(), Verdict: rgmodel.NotRun})
		return
	}
	rsp.Header().Set("Content-Type", "text/html; charset=utf-8")
	// The page needs nothing but its own style, so that a name in it can never act as a script.
	rsp.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	// A caller that has gone gets nothing, and nobody else is concerned.
	_, _ = rsp.Write(raw)
}

func burnBody(entry string, reps []rgburn.FlowReport) Burn {
	if reps == nil {
		reps = []rgburn.FlowReport{}
	}
	return Burn{Entry: entry, Flows: reps}
}

func renderBurn(bod Burn) ([]byte, error) {
	svg, err := plotBurn(bod.Flows)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	// The plot's library escapes the texts in it.
	err = burnTemplate.Execute(&buf, burnPage{Entry: bod.Entry, Flows: bod.Flows, Plot: template.HTML(svg)})
	return buf.Bytes(), err
}
