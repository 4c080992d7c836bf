package rgqueryapi

import (
	"bytes"
	"cmp"
	"image/color"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"ragwortgap/core/rgburn"
)

const (
	plotWidth  = 640 * vg.Length(1)
	plotHeight = 320 * vg.Length(1)
	// maxPlotFlows is the number of lines that a reader can still tell apart.
	maxPlotFlows = 8
)

// plotBurn draws the burn rates over the long window of the flows whose rate is highest there, as an SVG element.
func plotBurn(reps []rgburn.FlowReport) ([]byte, error) {
	plt := plot.New()
	plt.Title.Text = "burn rate, in steps of 5 min"
	plt.X.Label.Text = "minutes before now"
	plt.Y.Label.Text = "burn rate"
	plt.X.Min, plt.X.Max = -rgburn.LongWindow.Minutes(), 0
	plt.Y.Min, plt.Y.Max = 0, 1.5
	plt.Legend.Top, plt.Legend.Left = true, true
	sustainable := plotter.NewFunction(func(float64) float64 { return 1 })
	sustainable.Color = color.Gray{Y: 0x80}
	sustainable.Dashes = plotutil.Dashes(1)
	plt.Add(plotter.NewGrid(), sustainable)
	for i, rep := range highestBurnRates(reps) {
		lin, err := plotter.NewLine(burnRatePoints(rep.Intervals))
		if err != nil {
			return nil, errors.Annotatef(err, "plot %s/%s", rep.Flow.Team, rep.Flow.Kind)
		}
		lin.Color = plotutil.Color(i)
		lin.Width = vg.Points(1.5)
		plt.Add(lin)
		plt.Legend.Add(printable(rep.Flow.Team+"/"+rep.Flow.Kind), lin)
	}
	cnv := vgsvg.New(plotWidth, plotHeight)
	plt.Draw(draw.New(cnv))
	var buf bytes.Buffer
	if _, err := cnv.WriteTo(&buf); err != nil {
		return nil, errors.Annotate(err, "write SVG")
	}
	// The XML declaration and the comment before the element are not valid within an HTML page.
	start := bytes.Index(buf.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, errors.NotFoundf("svg element in the plot")
	}
	return buf.Bytes()[start:], nil
}

// printable replaces characters that XML does not allow or that change the direction of the surrounding text.
func printable(txt string) string {
	return strings.Map(func(chr rune) rune {
		if unicode.IsPrint(chr) {
			return chr
		}
		return unicode.ReplacementChar
	}, txt)
}

func highestBurnRates(reps []rgburn.FlowReport) []rgburn.FlowReport {
	reps = slices.Clone(reps)
	slices.SortStableFunc(reps, func(fst, snd rgburn.FlowReport) int {
		return cmp.Compare(snd.Long.BurnRate, fst.Long.BurnRate)
	})
	return reps[:min(maxPlotFlows, len(reps))]
}

func burnRatePoints(itvs []rgburn.Interval) plotter.XYs {
	pts := make(plotter.XYs, len(itvs))
	for i, itv := range itvs {
		back := itvs[len(itvs)-1].End.Sub(itv.End)
		pts[i] = plotter.XY{X: -back.Round(time.Second).Minutes(), Y: itv.BurnRate}
	}
	return pts
}
