package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/soak"
	"github.com/fireflypin/fireflypin/platform/standin"
)

const (
	// defaultSoakTime is the default time during which faults are injected.
	defaultSoakTime = 60 * time.Second
	// A run uses portsPerSoakRun ports. Seeds use different ports, from firstSoakPort on, so that several runs
	// can take place at the same time. Seeds that are equal modulo soakPortRanges use the same ports.
	firstSoakPort   = 20000
	soakPortRanges  = 1000
	portsPerSoakRun = 4
)

// errSoakFailed is returned if a run violated a guarantee of the daemons.
var errSoakFailed = errors.New("the soak test found a violated guarantee")

func newSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes on loopback, inject faults at random, and check the promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the schedule"},
			&cli.DurationFlag{Name: "for", Value: defaultSoakTime, Usage: "how long faults are injected"},
			&cli.StringFlag{Name: "size", Value: string(soak.Small), Usage: "small, usual or limits"},
			&cli.StringFlag{Name: "replay", Usage: "play the schedule in `FILE`"},
			&cli.BoolFlag{Name: "store-returns", Usage: "let the store return from older copies, too"},
			&cli.IntFlag{Name: "shrink", Usage: "after a failure, drop steps in at most `N` further runs"},
			&cli.StringFlag{Name: "daemon", Value: "bin/fireflypind", Usage: "the daemon's `PROGRAM`"},
			&cli.StringFlag{Name: "out", Value: "out/soak", Usage: "`DIRECTORY` for settings, logs and schedules"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	schedule := soak.Draw(c.Uint64("seed"), soak.Size(c.String("size")), c.Duration("for"))
	if c.Bool("store-returns") {
		schedule = schedule.WithReturns()
	}
	if path := c.String("replay"); path != "" {
		var err error
		if schedule, err = soak.Load(path); err != nil {
			return err
		}
	}
	run := func(s soak.Schedule, name string) (soak.Result, error) {
		dir := filepath.Join(c.String("out"), name)
		if err := os.RemoveAll(dir); err != nil {
			return soak.Result{}, fmt.Errorf("remove the files of an earlier run: %w", err)
		}
		return soak.Run(ctx, soak.Options{
			Dialect: standin.Dialect{}, Binary: c.String("daemon"), Dir: dir,
			Port: firstSoakPort + portsPerSoakRun*int(s.Seed%soakPortRanges),
		}, s)
	}
	name := fmt.Sprintf("seed-%d", schedule.Seed)
	result, err := run(schedule, name)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	fmt.Fprintf(out, "seed %d %s: %d steps, %d attempts ended, %d answered, %d runs, %d stalls of this machine, %d events on open flows excused, %d first packets to warming targets, %d promises broken\n",
		schedule.Seed, schedule.Size, result.Steps, result.Outcomes, result.Answered, result.Runs, result.Stalls, result.Excused, result.WarmingArrivals, len(result.Violations))
	if len(result.Violations) == 0 {
		return nil
	}
	for _, b := range result.Violations {
		fmt.Fprintf(out, "%8.3f s  %s: %s\n", b.At.Seconds(), b.Guarantee, b.Detail)
	}
	schedule = schedule.Shrink(int(c.Int("shrink")), func(s soak.Schedule) bool {
		r, err := run(s, name+"-shrunk")
		return err == nil && len(r.Violations) > 0
	})
	path := filepath.Join(c.String("out"), name, "schedule.json")
	if err := schedule.Save(path); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d steps are left; logs in %s; again: fireflypin soak --replay %s\n", len(schedule.Steps), filepath.Dir(path), path)
	return errSoakFailed
}
