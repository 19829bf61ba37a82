package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/demo"
	"github.com/fireflypin/fireflypin/internal/fleet"
)

// newDemoCommand returns the command that runs a fleet of daemons in this process and shows its state.
func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run 8 daemons in 3 availability zones with both users' services and show a live table",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "scenario `FILE` or name", Value: "both"},
			&cli.StringFlag{Name: "fault", Usage: strings.Join(demo.Faults(), ", "), Value: demo.FaultNone},
			&cli.IntFlag{Name: "seconds", Usage: "counted time; 0 is the scenario's own"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the workloads", Value: 1},
			&cli.StringFlag{Name: "variant", Usage: "what runs on the entry VMs: daemon, table or hash", Value: string(fleet.VariantDaemon)},
			&cli.BoolFlag{Name: "json", Usage: "write one JSON object at the end"},
			&cli.StringFlag{Name: "log", Usage: "`FILE` for the daemons' log lines"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := openLog(c.String("log"))
			if err != nil {
				return err
			}
			return demo.ShowFleet(ctx, demo.FleetConfig{
				Scenario: c.String("scenario"),
				Fault:    c.String("fault"),
				Seconds:  c.Int("seconds"),
				Seed:     c.Uint64("seed"),
				Variant:  fleet.Variant(c.String("variant")),
				JSON:     c.Bool("json"),
				Redraw:   isTerminal(os.Stdout),
				Out:      os.Stdout,
				LogTo:    log,
			})
		},
	}
}

// openLog creates the log file at path. For an empty path it returns a writer that discards the log.
func openLog(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create log file: %w", err)
	}
	return f, nil
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
