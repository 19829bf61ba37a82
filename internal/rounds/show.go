package rounds

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// legendSpace is the space for the legend above the lines, in units of the score.
	legendSpace = 0.03
)

// Table prints a table with one line per round.
func Table(w io.Writer, rounds []Round) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %-8s %-22s %6s %6s %-5s %s\n", "time", "commit", "site", "mean", "worst", "gate", "why")
	for _, r := range rounds {
		commit, gate := r.Commit, "no"
		if r.Changed {
			commit += "+"
		}
		if r.Gate {
			gate = "yes"
		}
		fmt.Fprintf(&b, "%-20s %-8s %-22s %6.3f %6.3f %-5s %s\n", r.At.Format("2006-01-02 15:04:05"), commit, r.Site, r.Mean, r.Worst, gate, r.Why)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("print rounds: %w", err)
	}
	return nil
}

// Plot draws the mean score of each site over the measured commits, in the order in which the commits were first
// measured. The extension of path selects the file format. Several measurements of one commit give several points.
func Plot(path string, rounds []Round) error {
	p := plot.New()
	p.Title.Text = "mean worth of the standard days by commit"
	p.Y.Label.Text = "worth"
	p.Add(plotter.NewGrid())
	var commits []string
	sites := make(map[string]plotter.XYs)
	for _, r := range rounds {
		at := slices.Index(commits, r.Commit)
		if at < 0 {
			at = len(commits)
			commits = append(commits, r.Commit)
		}
		sites[r.Site] = append(sites[r.Site], plotter.XY{X: float64(at), Y: r.Mean})
	}
	var lines []any
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		lines = append(lines, site, sites[site])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw plot of rounds: %w", err)
	}
	p.NominalX(commits...)
	p.Legend.Top = true
	p.Y.Max += legendSpace
	p.X.Tick.Label.Rotation = 0.8
	p.X.Tick.Label.XAlign = text.XRight
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot %s: %w", path, err)
	}
	return nil
}
