package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/placementlab"
)

func newLabCommand() *cli.Command {
	return &cli.Command{
		Name:     "lab",
		Usage:    "experiments on the decision code in virtual time",
		Commands: []*cli.Command{newLabPlacementCommand()},
	}
}

func newLabPlacementCommand() *cli.Command {
	return &cli.Command{
		Name:  "placement",
		Usage: "compare placement policies under load and faults",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "runs at the same time"},
			&cli.StringFlag{Name: "workload", Usage: "only workloads whose name contains this"},
			&cli.BoolFlag{Name: "margins", Usage: "compare margins of the chosen policy instead of policies, healthy only"},
			&cli.BoolFlag{Name: "large", Usage: "one address of a fleet of 600 daemons and 6,100 targets instead"},
			&cli.BoolFlag{Name: "json", Usage: "print the result of every run as JSON"},
			&cli.StringFlag{Name: "plots", Usage: "directory to write plots to"},
		},
		Action: runLabPlacement,
	}
}

func runLabPlacement(_ context.Context, c *cli.Command) error {
	comparison := placementlab.Comparison{
		Faults:     placementlab.Faults,
		Candidates: placementlab.Candidates(),
		Seeds:      c.Int("seeds"),
		Parallel:   c.Int("parallel"),
	}
	draw := placementlab.PlotFaults
	if c.Bool("margins") {
		comparison.Faults = []placementlab.Fault{placementlab.Healthy}
		comparison.Candidates = placementlab.MarginCurve()
		draw = placementlab.PlotMargins
	}
	for _, w := range placementlab.Workloads {
		if strings.Contains(w.Name, c.String("workload")) {
			comparison.Workloads = append(comparison.Workloads, w)
		}
	}
	if c.Bool("large") {
		comparison.Workloads = []placementlab.Workload{{}}
		comparison.Scenario = func(_ placementlab.Workload, f placementlab.Fault, seed uint64) placementlab.Scenario {
			return placementlab.NewLargeScenario(f, seed)
		}
	}
	results := comparison.Run()
	if err := printLabResults(os.Stdout, results, c.Bool("json")); err != nil {
		return err
	}
	if dir := c.String("plots"); dir != "" {
		return draw(dir, placementlab.Means(results))
	}
	return nil
}

func printLabResults(w io.Writer, results []placementlab.Result, asJSON bool) error {
	if !asJSON {
		return placementlab.WriteTable(w, placementlab.Means(results))
	}
	encoder := json.NewEncoder(w)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("print results: %w", err)
		}
	}
	return nil
}
