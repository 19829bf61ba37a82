package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/flowtrace"
	"github.com/fireflypin/fireflypin/internal/losses"
)

var (
	errNoFiles    = errors.New("no log files given")
	errOneSubject = errors.New("give either --flow or --target")
)

func newTraceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "tell from the daemons' logs what became of a flow, or of a target",
		ArgsUsage: "FILES...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "flow", Usage: "`ID` of the flow: caller>service or caller>service/number"},
			&cli.StringFlag{Name: "target", Usage: "`NAME` of a target: what daemons believed of it and which flows they ended for it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			l, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			var history flowtrace.History
			switch flow, target := c.String("flow"), c.String("target"); {
			case flow != "" && target == "":
				history = l.Trace(flow)
			case target != "" && flow == "":
				history = l.TraceTarget(target)
			default:
				return errOneSubject
			}
			return history.Write(c.Root().Writer)
		},
	}
}

func newLogsCommand() *cli.Command {
	return &cli.Command{
		Name:  "logs",
		Usage: "read the daemons' logs",
		Commands: []*cli.Command{{
			Name:      "summary",
			Usage:     "count outcomes by cause",
			ArgsUsage: "FILES...",
			Action: func(_ context.Context, c *cli.Command) error {
				l, err := readLogs(c.Args().Slice())
				if err != nil {
					return err
				}
				s := l.Summary()
				return s.Write(c.Root().Writer)
			},
		}},
	}
}

func newLossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count from the daemons' logs the flows that callers lost, by cause, second, service, route and zone",
		ArgsUsage: "FILES...",
		Flags:     []cli.Flag{&cli.IntFlag{Name: "most", Usage: "print `N` rows at most", Value: 40}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errNoFiles
			}
			var t losses.Table
			for _, path := range c.Args().Slice() {
				if err := scanLog(&t, path); err != nil {
					return err
				}
			}
			return t.Write(c.Root().Writer, int(c.Int("most")))
		},
	}
}

// scanLog adds a file's lines to a table without keeping them.
func scanLog(t *losses.Table, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	unparsed, err := flowtrace.Scan(f, t.Add)
	t.Unparsed += unparsed
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// readLogs reads all files into one log.
func readLogs(paths []string) (*flowtrace.Log, error) {
	if len(paths) == 0 {
		return nil, errNoFiles
	}
	l := &flowtrace.Log{}
	for _, path := range paths {
		if err := readLog(l, path); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func readLog(l *flowtrace.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	if err := l.Read(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
