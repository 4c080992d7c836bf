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
	// plotFlows is the number of flows that a reader can still tell apart.
	plotFlows = 8
)

// plotBurn draws the burn rates of the flows that burn fastest, over the long window, as an SVG element.
func plotBurn(reps []rgburn.FlowReport) ([]byte, error) {
	plt := plot.New()
	plt.Title.Text = "burn rate, in steps of 5 min"
	plt.X.Label.Text = "minutes before now"
	plt.Y.Label.Text = "burn rate"
	plt.X.Min, plt.X.Max = -rgburn.LongWindow.Minutes(), 0
	plt.Y.Min, plt.Y.Max = 0, 1.5
	plt.Legend.Top, plt.Legend.Left = true, true
	granted := plotter.NewFunction(func(float64) float64 { return 1 })
	granted.Color = color.Gray{Y: 0x80}
	granted.Dashes = plotutil.Dashes(1)
	plt.Add(plotter.NewGrid(), granted)
	for i, rep := range worst(reps) {
		lin, err := plotter.NewLine(points(rep.Steps))
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
	// The XML declaration and the comment before the element have no place within a page.
	start := bytes.Index(buf.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, errors.NotFoundf("svg element in the plot")
	}
	return buf.Bytes()[start:], nil
}

// printable replaces what XML does not allow, or what changes the direction of the text around it.
func printable(txt string) string {
	return strings.Map(func(chr rune) rune {
		if unicode.IsPrint(chr) {
			return chr
		}
		return unicode.ReplacementChar
	}, txt)
}

func worst(reps []rgburn.FlowReport) []rgburn.FlowReport {
	reps = slices.Clone(reps)
	slices.SortStableFunc(reps, func(fst, snd rgburn.FlowReport) int {
		return cmp.Compare(snd.Long.BurnRate, fst.Long.BurnRate)
	})
	return reps[:min(plotFlows, len(reps))]
}

func points(stps []rgburn.Step) plotter.XYs {
	pts := make(plotter.XYs, len(stps))
	for i, stp := range stps {
		back := stps[len(stps)-1].End.Sub(stp.End)
		pts[i] = plotter.XY{X: -back.Round(time.Second).Minutes(), Y: stp.BurnRate}
	}
	return pts
}
