package bench

import (
	"fmt"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the max/mean ratio of open flows per target over time, one line per result and service. The
// extension of path selects the format, such as .png or .svg.
func Plot(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "open flows: fullest target over the mean"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "max/mean"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, r := range results {
		for i := range r.Imbalance {
			lines = append(lines, string(r.Variant)+" "+r.Imbalance[i].Service, flowsLine(r, i))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot %s: %w", path, err)
	}
	return nil
}

// flowsLine returns the plot points of one service of a result.
func flowsLine(r *Result, service int) plotter.XYs {
	return lo.Map(r.Samples, func(s Sample, _ int) plotter.XY {
		return plotter.XY{X: s.AtSeconds, Y: s.Services[service].FlowsMaxOverMean}
	})
}
