package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/measure"
	"github.com/fireflypin/fireflypin/internal/relay"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

// newRelayCommand returns the command that runs a relay as the baseline of measurements. It forwards datagrams
// without inspecting them.
func newRelayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "pass UDP datagrams on unseen, as the baseline of the forwarding path",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDR:PORT` to take datagrams at", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`ADDR:PORT` to send them to", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runRelay(ctx, c.String("listen"), c.String("to"))
		},
	}
}

func runRelay(ctx context.Context, listen, to string) error {
	from, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("parse --listen: %w", err)
	}
	sink, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("parse --to: %w", err)
	}
	r, err := relay.New(relay.Config{Network: udpio.System(udpio.Config{}), Listen: from, Destination: sink})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { r.Close() })
	defer stop()
	return r.Run()
}

// newMeasureCommand returns the command that measures forwarders and idle processes.
func newMeasureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure forwarders in other processes over loopback",
		Commands: []*cli.Command{
			newMeasureForwardCommand(),
			newMeasureIdleCommand(),
		},
	}
}

func newMeasureForwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "compare the rate and the added delay of forwarders that take turns",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "path", Usage: "`NAME=ADDR:PORT=PID` of a forwarder; the first is the baseline", Required: true},
			&cli.StringFlag{Name: "sink", Usage: "`ADDR:PORT` that the forwarders send to", Required: true},
			&cli.StringFlag{Name: "service", Usage: "destination `ADDR:PORT` of the inner packets", Value: "192.0.2.10:443"},
			&cli.IntFlag{Name: "flows", Usage: "number of flows", Value: 4096},
			&cli.IntFlag{Name: "payload", Usage: "TCP payload in bytes", Value: 100},
			&cli.IntFlag{Name: "window", Usage: "packets on their way while the rate is measured", Value: 256},
			&cli.IntFlag{Name: "rate", Usage: "packets per second while the delay is measured", Value: 10000},
			&cli.DurationFlag{Name: "round", Usage: "length of one turn", Value: time.Second},
			&cli.IntFlag{Name: "rounds", Usage: "turns of each forwarder", Value: 5},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := forwardConfig(c)
			if err != nil {
				return err
			}
			results, err := measure.Run(cfg)
			if err != nil {
				return err
			}
			return printResults(c.Root().Writer, results)
		},
	}
}

func forwardConfig(c *cli.Command) (measure.Config, error) {
	cfg := measure.Config{
		Network: udpio.System(udpio.Config{}),
		Flows:   c.Int("flows"),
		Payload: c.Int("payload"),
		Window:  c.Int("window"),
		Rate:    c.Int("rate"),
		Round:   c.Duration("round"),
		Rounds:  c.Int("rounds"),
	}
	var err error
	if cfg.Sink, err = netip.ParseAddrPort(c.String("sink")); err != nil {
		return cfg, fmt.Errorf("parse --sink: %w", err)
	}
	if cfg.Service, err = netip.ParseAddrPort(c.String("service")); err != nil {
		return cfg, fmt.Errorf("parse --service: %w", err)
	}
	for _, text := range c.StringSlice("path") {
		p, err := parsePath(text)
		if err != nil {
			return cfg, err
		}
		cfg.Forwarders = append(cfg.Forwarders, p)
	}
	return cfg, nil
}

func parsePath(text string) (measure.Forwarder, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return measure.Forwarder{}, fmt.Errorf("parse --path %q: want NAME=ADDR:PORT=PID", text)
	}
	via, err := netip.ParseAddrPort(parts[1])
	if err != nil {
		return measure.Forwarder{}, fmt.Errorf("parse --path %q: %w", text, err)
	}
	pid, err := strconv.Atoi(parts[2])
	if err != nil {
		return measure.Forwarder{}, fmt.Errorf("parse --path %q: %w", text, err)
	}
	return measure.Forwarder{Name: parts[0], Via: via, PID: pid}, nil
}

// printResults prints a table. Ratios and added delays are relative to the first forwarder.
func printResults(out io.Writer, results []*measure.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "path\tpackets/s\tpackets/s per core\tof baseline\tlost\tp50 µs\tp99 µs\tadded p50 µs\tadded p99 µs\t")
	base := results[0]
	for _, r := range results {
		p50, p99 := delayMicroseconds(r, 50), delayMicroseconds(r, 99)
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.3f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", r.Forwarder.Name,
			r.PerSecond(), r.PerCore(), r.PerCore()/base.PerCore(), r.Lost, p50, p99,
			p50-delayMicroseconds(base, 50), p99-delayMicroseconds(base, 99))
	}
	return w.Flush()
}

// delayMicroseconds returns a percentile, from 0 to 100, of the delay.
func delayMicroseconds(r *measure.Result, percentile float64) float64 {
	return float64(r.Delay.ValueAtQuantile(percentile)) / float64(time.Microsecond)
}

func newMeasureIdleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "watch memory and processor time of processes that have nothing to do",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "pid", Usage: "`PID` of a process", Required: true},
			&cli.DurationFlag{Name: "for", Usage: "time to watch", Value: 30 * time.Second},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			idle, err := measure.MeasureIdle(c.IntSlice("pid"), c.Duration("for"))
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "pid\tresident MB\t% of a core\t")
			for _, i := range idle {
				fmt.Fprintf(w, "%d\t%.1f\t%.2f\t\n", i.PID, float64(i.ResidentBytes)/1e6, i.CPUShare*100)
			}
			return w.Flush()
		},
	}
}
