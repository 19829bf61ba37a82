package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/fleetstatus"
	"github.com/fireflypin/fireflypin/model"
)

// drainPollInterval is the interval between two status requests to the fleet.
const drainPollInterval = time.Second

// newDrainCommand returns the command that prepares a planned stop of a VM and optionally waits until the VM
// may stop.
func newDrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "print what to publish for a planned stop of a VM; with --wait follow it to its end",
		ArgsUsage: "VM",
		Flags: append(fleetFlags(),
			&cli.DurationFlag{Name: "leave-in", Usage: "announced time until an endpoint VM stops; 0 announces none"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the list is in force everywhere and no flow remains"},
			&cli.DurationFlag{Name: "timeout", Value: time.Hour, Usage: "give up --wait after this time"},
		),
		Action: runDrain,
	}
}

func runDrain(ctx context.Context, c *cli.Command) error {
	snapshot, err := readLists(ctx, c)
	if err != nil {
		return err
	}
	stop, err := planStop(snapshot, c.Args().First())
	if err != nil {
		return err
	}
	w := c.Root().Writer
	var leaveBy time.Time
	if in := c.Duration("leave-in"); in > 0 {
		leaveBy = time.Now().Add(in).UTC().Truncate(time.Second)
	}
	stop.writeEdit(w, leaveBy)
	if !c.Bool("wait") {
		return nil
	}
	ops, err := fleetAddresses(ctx, c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	client := fleetstatus.NewClient(fleetstatus.Config{})
	defer client.Close()
	return stop.wait(ctx, w, func() []fleetstatus.Response { return client.Fetch(ctx, ops) })
}

// plannedStop is the planned stop of one entry VM or endpoint VM.
type plannedStop struct {
	name string
	// entry is set for an entry VM; endpoint for an endpoint VM.
	entry    *model.EntryVM
	endpoint *model.EndpointVM
	// revision is that of the list of machines that announces the stop.
	revision uint64
}

// planStop returns the planned stop of the VM with the given name in the list of machines.
func planStop(s *model.Snapshot, name string) (plannedStop, error) {
	stop := plannedStop{name: name, revision: s.Revisions.Machines + 1}
	for _, e := range s.Entries {
		if e.Name == name {
			stop.entry = e
			return stop.withPublishedRevision(e.State, s), nil
		}
	}
	for _, e := range s.Endpoints {
		if e.Name == name {
			stop.endpoint = e
			return stop.withPublishedRevision(e.State, s), nil
		}
	}
	return plannedStop{}, fmt.Errorf("plan the stop of %q: no such VM in the list of machines", name)
}

// withPublishedRevision returns the planned stop with the list's present revision if the list announces it
// already.
func (p plannedStop) withPublishedRevision(state model.MachineState, s *model.Snapshot) plannedStop {
	if state == model.MachineDraining {
		p.revision = s.Revisions.Machines
	}
	return p
}

// writeEdit prints the change to the list of machines that announces the stop.
func (p plannedStop) writeEdit(w io.Writer, leaveBy time.Time) {
	section := "endpoints"
	if p.entry != nil {
		section = "entries"
	}
	fmt.Fprintf(w, "# In the list of machines:\nrevision: %d\n%s:\n  - name: %s\n    state: leaving\n", p.revision, section, p.name)
	if p.endpoint != nil && !leaveBy.IsZero() {
		fmt.Fprintf(w, "    leave_by: %s\n", leaveBy.Format(time.RFC3339))
	}
	fmt.Fprintln(w, "    # the other keys of the VM stay as they are")
}

// wait polls the fleet until the stop has nothing left to wait for or ctx ends. It prints what is left
// whenever that changes.
func (p plannedStop) wait(ctx context.Context, w io.Writer, poll func() []fleetstatus.Response) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	var last fleetstatus.Remaining
	for first := true; ; first = false {
		left := p.remaining(poll())
		if first || left != last {
			fmt.Fprintf(w, "%s: %d flows remain, %d daemons have an older list, %d do not answer\n", p.name, left.Flows, left.Outdated, left.Unresponsive)
		}
		if left.Done() {
			fmt.Fprintf(w, "%s may stop\n", p.name)
			return nil
		}
		last = left
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the stop of %s: %d flows remain: %w", p.name, left.Flows, ctx.Err())
		case <-ticker.C:
		}
	}
}

// remaining returns what the stop is still waiting for.
func (p plannedStop) remaining(responses []fleetstatus.Response) fleetstatus.Remaining {
	if p.entry != nil {
		return fleetstatus.DaemonRemaining(responses, p.entry.Ops, p.revision)
	}
	var targets []string
	for _, t := range p.endpoint.Targets {
		targets = append(targets, t.Name)
	}
	return fleetstatus.TargetsRemaining(responses, targets, p.revision)
}
