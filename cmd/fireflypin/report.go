package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/rounds"
)

// errNoJournal is returned if no directory was given.
var errNoJournal = errors.New("report needs the directory of the journal")

func newReportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "show how the worth of each site moved from commit to commit",
		ArgsUsage: "JOURNAL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "draw a plot to `FILE`, .svg or .png"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return errNoJournal
			}
			all, err := rounds.Read(c.Args().First())
			if err != nil {
				return err
			}
			if path := c.String("plot"); path != "" {
				if err := rounds.Plot(path, all); err != nil {
					return err
				}
			}
			return rounds.Table(c.Root().Writer, all)
		},
	}
}
