package placementlab

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteTable writes means as a table with aligned columns.
func WriteTable(w io.Writer, means []Mean) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workload\tfault\tpolicy\tflows max/mean\tp99/mean\tslots max/mean\tp99/mean\texceptions\tnew/s\twait p99 ms\tunanswered\tlost after s\tlate\trefused")
	for _, m := range means {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f %%\t%.1f\t%.0f\t%d\t%.1f\t%d\t%v\n",
			m.Workload, m.Fault, m.Policy, m.FlowsMax, m.FlowsP99, m.SlotsMax, m.SlotsP99,
			100*m.Exceptions, m.NewExceptions, m.WaitP99, m.Unanswered, m.AvoidedAfter, m.LateFlows, m.Refused)
	}
	return t.Flush()
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotMargins plots imbalance against the fraction of exceptions for each workload, with one point per
// margin. Plain hashing is the point without exceptions. The plot is written to margins.svg in dir.
func PlotMargins(dir string, means []Mean) error {
	p := plot.New()
	p.Title.Text = "Imbalance against exceptions, one point per margin"
	p.X.Label.Text = "exceptions, % of open flows"
	p.Y.Label.Text = "mean max/mean of open flows"
	var lines []any
	for _, w := range workloadsOf(means) {
		var points plotter.XYs
		for _, m := range means {
			if m.Workload == w && m.Fault == Healthy {
				points = append(points, plotter.XY{X: 100 * m.Exceptions, Y: m.FlowsMax})
			}
		}
		lines = append(lines, w, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw plot of margins: %w", err)
	}
	return savePlot(p, filepath.Join(dir, "margins.svg"))
}

// PlotFaults plots the imbalance under every fault as bars, grouped by fault, with one bar per policy. It
// writes one SVG file per workload to dir.
func PlotFaults(dir string, means []Mean) error {
	for _, w := range workloadsOf(means) {
		p, err := faultsPlot(w, means)
		if err != nil {
			return err
		}
		name := "faults-" + strings.ReplaceAll(w, "/", "-") + ".svg"
		if err := savePlot(p, filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func faultsPlot(workload string, means []Mean) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = workload + ": imbalance under faults"
	p.Y.Label.Text = "mean max/mean of open flows, less 1, in %"
	p.Legend.Top = true
	p.Legend.Left = true
	const barWidth = 9
	policies := policiesOf(means)
	for i, policy := range policies {
		var values plotter.Values
		for _, f := range Faults {
			values = append(values, 100*(flowsMax(means, workload, f, policy)-1))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, fmt.Errorf("draw plot of faults for %s: %w", workload, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	var names []string
	for _, f := range Faults {
		names = append(names, string(f))
	}
	p.NominalX(names...)
	return p, nil
}

func flowsMax(means []Mean, workload string, f Fault, policy string) float64 {
	for _, m := range means {
		if m.Workload == workload && m.Fault == f && m.Policy == policy {
			return m.FlowsMax
		}
	}
	return 1
}

func savePlot(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot %s: %w", path, err)
	}
	return nil
}

func workloadsOf(means []Mean) []string {
	return lo.Uniq(lo.Map(means, func(m Mean, _ int) string { return m.Workload }))
}

func policiesOf(means []Mean) []string {
	return lo.Uniq(lo.Map(means, func(m Mean, _ int) string { return m.Policy }))
}
