// Command fireflypind runs the daemon of one entry VM.
//
// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 if the daemon failed, 2 if its settings or its
// command line are invalid. SIGHUP makes it reload its settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/platform"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks errors in the settings or the command line.
var errUsage = errors.New("invalid settings")

func main() {
	// SIGHUP terminates a process that does not catch it, so the signal is caught before anything else.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand(reloadSignals).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fireflypind:", err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		return exitFailed
	}
}

func newCommand(reloadSignals <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "fireflypind",
		Usage: "balance the packets that the fabric hands to this entry VM",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "config",
				Usage:    "settings `FILE` in YAML",
				Sources:  cli.EnvVars("FIREFLYPIN_BOOT"),
				Required: true,
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, reloadSignals, c.String("config"))
		},
	}
}

// run runs the daemon with the settings at path until ctx ends and returns after the graceful stop.
func run(ctx context.Context, reloadSignals <-chan os.Signal, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return errors.Join(errUsage, err)
	}
	if s.Steering == settings.SteerTags {
		return runTagged(ctx, reloadSignals, s, path)
	}
	p, err := daemon.NewProcess(daemon.Options{Settings: s, LogTo: os.Stderr, Now: time.Now()})
	if err != nil {
		return errors.Join(errUsage, err)
	}
	go reloadOn(ctx, reloadSignals, p, path)
	return p.Run(ctx)
}

// reloadOn reloads the settings on each signal until ctx ends. The daemon logs the result.
func reloadOn(ctx context.Context, signals <-chan os.Signal, p *daemon.Process, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			_ = p.Reload(ctx, path)
		}
	}
}

// runTagged runs the daemon on a transport whose packets carry flow tags, until ctx ends.
func runTagged(ctx context.Context, reloadSignals <-chan os.Signal, s *settings.Settings, path string) error {
	p, err := edge.NewProcess(edge.Options{
		Settings: s,
		Path:     path,
		LogTo:    os.Stdout,
		Now:      time.Now(),
		Adapter:  platform.Provide,
	})
	if err != nil {
		return errors.Join(errUsage, err)
	}
	go func() {
		for range reloadSignals {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}
