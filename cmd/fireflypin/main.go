// Command fireflypin is the command line tool for operators: it checks lists, explains decisions, shows the
// state of a fleet, and runs demos and measurements on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRoot().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fireflypin:", err)
		os.Exit(1)
	}
}

func newRoot() *cli.Command {
	return &cli.Command{
		Name:  "fireflypin",
		Usage: "operate and try out the fireflypin load balancer",

		Version: version(),
		Commands: []*cli.Command{
			newCheckCommand(),
			newExplainCommand(),
			newStatusCommand(),
			newDrainCommand(),
			newBenchCommand(),
			newDemoCommand(),
			newStandinCommand(),
			newRelayCommand(),
			newMeasureCommand(),
			newLabCommand(),
			newCapacityCommand(),
			newTraceCommand(),
			newLogsCommand(),
			newLossesCommand(),
			newSoakCommand(),
			newReportCommand(),
		},
	}
}
