package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/capacity"
)

func newCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how costs grow with size and work out the roles of a daemon at the target size",
		Action: func(context.Context, *cli.Command) error {
			writeCapacity(os.Stdout)
			return nil
		},
	}
}

func writeCapacity(w io.Writer) {
	fmt.Fprintln(w, "| cost / size | measured | fixed | per unit | residual |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	slopes := capacity.Measure(func(s capacity.Slope) { capacity.WriteSlope(w, s) })
	fmt.Fprintln(w)
	capacity.WriteRoles(w, capacity.Roles(slopes, capacity.TargetSize()))
	fmt.Fprintln(w)
	capacity.WriteVariants(w, slopes, capacity.Variants())
	received, seconds := capacity.OperatorCost(slopes, capacity.TargetSize())
	fmt.Fprintf(w, "\nOperator's tool, one look at every daemon: %.0f MB received, %.1f s of a core.\n", received/1e6, seconds)
}
