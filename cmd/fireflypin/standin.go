package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/demo"
	"github.com/fireflypin/fireflypin/internal/scenario"
)

// newStandinCommand returns the command that simulates a scenario's environment (platform, fabric, targets and
// callers) for daemons in other processes.
func newStandinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run platform, fabric, targets and callers of a scenario for daemons in other processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "scenario `FILE`", Value: "scenarios/first.yaml"},
			&cli.StringFlag{Name: "out", Usage: "`DIR` for the daemons' settings files", Value: "out/run"},
			&cli.StringFlag{Name: "source", Usage: "where daemons read the lists: platform or files", Value: string(scenario.SourcePlatform)},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the workloads", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.RunSeparateDaemons(ctx, demo.SeparateDaemonsConfig{
				Scenario: c.String("scenario"),
				OutDir:   c.String("out"),
				Seed:     c.Uint64("seed"),
				Source:   scenario.Source(c.String("source")),
				Out:      os.Stdout,
			})
		},
	}
}
