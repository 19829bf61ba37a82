package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/fleetstatus"
	"github.com/fireflypin/fireflypin/model"
)

// newStatusCommand returns the command that shows the daemons of a fleet with their lists, targets and flows.
func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what the daemons tell: readiness, revisions, flows and targets",
		Flags: append(fleetFlags(), &cli.BoolFlag{Name: "json", Usage: "write one JSON object"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			ops, err := fleetAddresses(ctx, c)
			if err != nil {
				return err
			}
			client := fleetstatus.NewClient(fleetstatus.Config{})
			defer client.Close()
			return writeStatus(c.Root().Writer, fleetstatus.Summarize(client.Fetch(ctx, ops)), c.Bool("json"))
		},
	}
}

// fleetFlags returns the flags that select the daemons of a fleet.
func fleetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "daemon", Usage: "ops `ADDR:PORT` of a daemon; may be given again, in place of lists"},
		&cli.StringFlag{Name: "customers", Usage: "list `FILE`"},
		&cli.StringFlag{Name: "plans", Usage: "list `FILE`"},
		&cli.StringFlag{Name: "machines", Usage: "list `FILE`"},
		&cli.StringFlag{Name: "platform", Usage: "`URL` to read the lists from, in place of files"},
	}
}

// fleetAddresses returns the ops addresses given by --daemon or, without it, those in the list of machines.
func fleetAddresses(ctx context.Context, c *cli.Command) ([]netip.AddrPort, error) {
	if given := c.StringSlice("daemon"); len(given) > 0 {
		return parseAddresses(given)
	}
	snapshot, err := readLists(ctx, c)
	if err != nil {
		return nil, err
	}
	return opsAddresses(snapshot)
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range texts {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("parse --daemon: %w", err)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

func opsAddresses(s *model.Snapshot) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, e := range s.Entries {
		if e.Ops.IsValid() {
			addresses = append(addresses, e.Ops)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("the list of machines has no ops address of an entry VM; give the daemons with --daemon")
	}
	return addresses, nil
}

func writeStatus(w io.Writer, s fleetstatus.Summary, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(s); err != nil {
			return fmt.Errorf("write status: %w", err)
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DAEMON\tZONE\tSTATE\tCUSTOMERS\tPLANS\tMACHINES\tOWNED\tEXCEPTIONS\tUNACKED\tFORWARDED\tHOPS")
	for _, resp := range s.Daemons {
		writeDaemon(t, resp)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "SERVICE\tTARGET\tZONE\tSTATE\tOPEN\tREPORTED\tASIDE AT\tWHY")
	for _, target := range s.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n",
			target.Service, target.Name, target.Zone, targetState(target), target.OpenFlows,
			reportedText(target.Reported), target.AvoidedBy, strings.Join(target.Reasons, "; "))
	}
	writePositions(t, s.Daemons)
	if len(s.Drains) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "ZONE DRAINED\tAT DAEMONS\tOF")
	}
	for _, d := range s.Drains {
		fmt.Fprintf(t, "%s\t%d\t%d\n", d.Zone, d.Daemons, d.Of)
	}
	if len(s.Differing) > 0 {
		fmt.Fprintln(t)
		fmt.Fprintln(t, "MACHINE\tHELD TO BE\tBY DAEMONS")
	}
	for _, m := range s.Differing {
		fmt.Fprintf(t, "%s\t%s\t%d\n", m.Machine, m.State, m.Daemons)
	}
	return t.Flush()
}

func writeDaemon(w io.Writer, resp fleetstatus.Response) {
	if resp.Report == nil {
		fmt.Fprintf(w, "%s\t\tno answer: %s\n", resp.Ops, resp.Error)
		return
	}
	r := resp.Report
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
		r.Name, r.Zone, daemonState(r), r.Revisions.Customers, r.Revisions.Plans, r.Revisions.Machines,
		r.OwnedFlows, r.Exceptions, r.Unacknowledged, r.ForwardedTotal, r.PeerForwardsSentTotal)
}

func daemonState(r *daemon.Report) string {
	switch {
	case r.Draining:
		return "leaving"
	case r.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// reportedText formats a number of reported connections; a negative number stands for no report.
// writePositions writes how far the daemons with flow tags have followed the platform.
func writePositions(t io.Writer, daemons []fleetstatus.Response) {
	header := "\nDAEMON\tERA\tCOMPLETE\tHELD\n"
	for _, d := range daemons {
		if d.Position == nil {
			continue
		}
		fmt.Fprintf(t, "%s%s\t%d\t%d\t%d\n", header, d.Report.Name, d.Position.Era, d.Position.Complete, d.Position.Held)
		header = ""
	}
}

func reportedText(connections int) string {
	if connections < 0 {
		return "-"
	}
	return strconv.Itoa(connections)
}

func targetState(t fleetstatus.Target) string {
	switch {
	case t.Draining:
		return "leaving"
	case t.ZoneDraining:
		return "zone drained"
	}
	return "live"
}
