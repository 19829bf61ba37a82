package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/explain"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/model"
)

// platformTimeout limits the time for reading all lists from the platform.
const platformTimeout = 10 * time.Second

// newExplainCommand returns the command that shows how a daemon would handle a flow.
func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell customer, plan, service and candidate targets of a flow, or why it is refused",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Usage: "the caller's `ADDR` or ADDR:PORT; the order of targets depends on the port", Required: true},
			&cli.StringFlag{Name: "to", Usage: "the `ADDR:PORT` that is called", Required: true},
			&cli.StringFlag{Name: "customers", Usage: "list `FILE`"},
			&cli.StringFlag{Name: "plans", Usage: "list `FILE`"},
			&cli.StringFlag{Name: "machines", Usage: "list `FILE`"},
			&cli.StringFlag{Name: "platform", Usage: "`URL` to read the lists from, in place of files"},
			&cli.BoolFlag{Name: "json", Usage: "write one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			q, err := parseQuery(c.String("from"), c.String("to"))
			if err != nil {
				return err
			}
			snapshot, err := readLists(ctx, c)
			if err != nil {
				return err
			}
			return writeResult(c.Root().Writer, explain.Flow(snapshot, q), c.Bool("json"))
		},
	}
}

// parseQuery parses the caller, with or without a port, and the destination of a flow.
func parseQuery(from, to string) (explain.Query, error) {
	destination, err := netip.ParseAddrPort(to)
	if err != nil {
		return explain.Query{}, fmt.Errorf("parse --to: %w", err)
	}
	if caller, err := netip.ParseAddrPort(from); err == nil {
		return explain.Query{Caller: caller.Addr(), Port: caller.Port(), Destination: destination}, nil
	}
	caller, err := netip.ParseAddr(from)
	if err != nil {
		return explain.Query{}, fmt.Errorf("parse --from: %w", err)
	}
	return explain.Query{Caller: caller, Destination: destination}, nil
}

// readLists reads the lists from the platform or from files.
func readLists(ctx context.Context, c *cli.Command) (*model.Snapshot, error) {
	if url := c.String("platform"); url != "" {
		return readPlatformLists(ctx, url)
	}
	var docs [3]lists.Document
	for _, kind := range lists.Kinds() {
		path := c.String(kind.String())
		if path == "" {
			return nil, errors.New("no lists given; use --platform, or --customers, --plans and --machines")
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read list: %w", err)
		}
		docs[kind] = lists.Document{Name: path, Data: data}
	}
	return lists.Parse(lists.Documents{Customers: docs[0], Plans: docs[1], Machines: docs[2]})
}

func readPlatformLists(ctx context.Context, url string) (*model.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	source := listsource.NewHTTP(url)
	defer source.Close()
	var docs [3]lists.Document
	for _, kind := range lists.Kinds() {
		_, body, err := source.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		docs[kind] = lists.Document{Name: kind.String(), Data: body}
	}
	return lists.Parse(lists.Documents{Customers: docs[0], Plans: docs[1], Machines: docs[2]})
}

func writeResult(w io.Writer, res explain.Result, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(res); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "lists\tcustomers %d, plans %d, machines %d\n", res.Revisions.Customers, res.Revisions.Plans, res.Revisions.Machines)
	fmt.Fprintf(t, "customer\t%s\n", orNone(res.Customer))
	fmt.Fprintf(t, "plan\t%s\n", orNone(res.Plan))
	fmt.Fprintf(t, "service\t%s\n", orNone(res.Service))
	if !res.Allowed {
		fmt.Fprintf(t, "refused\t%s: %s\n", res.Reason, res.Meaning)
		return t.Flush()
	}
	fmt.Fprintf(t, "allowed\tyes\n")
	fmt.Fprintf(t, "limits\t%s new flows a second, %s open flows, over the whole fleet\n", orUnbounded(res.NewFlowsPerSecond), orUnbounded(res.OpenFlows))
	writeTargets(t, res)
	return t.Flush()
}

func writeTargets(w io.Writer, res explain.Result) {
	if len(res.Targets) == 0 {
		fmt.Fprintln(w, "targets\tnone in the list of machines")
		return
	}
	if res.Port == 0 {
		fmt.Fprintln(w, "targets\tby share of the caller's ports (give --from ADDR:PORT for one flow's order)")
	} else {
		fmt.Fprintln(w, "targets\tin the order in which a new flow tries them while none is full or down")
	}
	for _, t := range res.Targets {
		fmt.Fprintf(w, "\t%s\t%s\t%s\t%s\n", t.Name, t.Zone, t.Data, describeTarget(t, res.Port == 0))
	}
}

func describeTarget(t explain.Target, withShare bool) string {
	text := ""
	if withShare {
		text = fmt.Sprintf("%.1f %%", 100*t.Share)
	}
	if t.Draining {
		text += " leaving: takes no new flows"
	}
	if t.ZoneDraining {
		text += " zone is drained: takes no new flows"
	}
	return text
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func orUnbounded(n uint32) string {
	if n == 0 {
		return "unbounded"
	}
	return fmt.Sprint(n)
}
