package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/bench"
	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
)

// newBenchCommand returns the command that runs scenarios and reports measurements.
func newBenchCommand() *cli.Command {
	return &cli.Command{
		Name:      "bench",
		Usage:     "run scenarios against the daemons and two baselines and measure them",
		ArgsUsage: "SCENARIO...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "variant", Usage: "daemon, table (per-daemon tables, plain hash) or hash (plain hash alone); repeat to compare", Value: []string{string(fleet.VariantDaemon)}},
			&cli.Uint64SliceFlag{Name: "seed", Usage: "seed; repeat for several runs", Value: []uint64{1}},
			&cli.DurationFlag{Name: "warmup", Usage: "time before counting; 0 is the scenario's own"},
			&cli.DurationFlag{Name: "duration", Usage: "counted time; 0 is the scenario's own"},
			&cli.BoolFlag{Name: "json", Usage: "write one JSON object a run"},
			&cli.BoolFlag{Name: "samples", Usage: "keep the samples in the JSON"},
			&cli.StringFlag{Name: "plot", Usage: "draw the imbalance over time to `FILE`, .png or .svg"},
			&cli.StringFlag{Name: "log", Usage: "`FILE` for the daemons' log lines"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return fmt.Errorf("bench needs at least one scenario: a file or the name of one in scenarios/")
	}
	var results []*bench.Result
	for _, path := range c.Args().Slice() {
		for _, seed := range c.Uint64Slice("seed") {
			for _, variant := range c.StringSlice("variant") {
				r, err := benchOnce(ctx, c, path, fleet.Variant(variant), seed)
				if err != nil {
					return err
				}
				results = append(results, r)
			}
		}
	}
	if path := c.String("plot"); path != "" {
		return bench.Plot(path, results)
	}
	return nil
}

// benchOnce runs one scenario with one variant and one seed and writes its result.
func benchOnce(ctx context.Context, c *cli.Command, path string, v fleet.Variant, seed uint64) (*bench.Result, error) {
	s, err := scenario.Load(path)
	if err != nil {
		return nil, err
	}
	overrideDuration(&s.Warmup, c.Duration("warmup"))
	overrideDuration(&s.Duration, c.Duration("duration"))
	log, err := openLog(c.String("log"))
	if err != nil {
		return nil, err
	}
	r, err := bench.Run(ctx, bench.Config{Scenario: s, Variant: v, Seed: seed, LogTo: log})
	if err != nil {
		return nil, err
	}
	if c.Bool("json") {
		return r, writeJSON(r, c.Bool("samples"))
	}
	r.Print(os.Stdout)
	return r, nil
}

// overrideDuration sets t to the given duration if that is positive.
func overrideDuration(t *time.Duration, given time.Duration) {
	if given > 0 {
		*t = given
	}
}

func writeJSON(r *bench.Result, samples bool) error {
	out := *r
	if !samples {
		out.Samples = nil
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}
