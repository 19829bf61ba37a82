package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

// newCheckCommand returns the command that checks lists and settings before they are published.
func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check published lists and settings files; exit code 1 with every fault",
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write one JSON object"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("check needs at least one file")
			}
			r, err := checkFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			return r.write(c.Root().Writer, c.Bool("json"))
		},
	}
}

// checkReport is the result of a check.
type checkReport struct {
	// Files are the checked files, each with the kind that it was read as: customers, plans, machines or
	// settings.
	Files    []checkedFile    `json:"files"`
	Findings yamldoc.Findings `json:"findings"`
}

type checkedFile struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Revision is 0 for settings.
	Revision uint64 `json:"revision"`
}

func (r *checkReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	} else {
		r.writeText(w)
	}
	if n := len(r.Findings); n > 0 {
		return fmt.Errorf("check found %d error(s)", n)
	}
	return nil
}

func (r *checkReport) writeText(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f.Error())
	}
	for _, f := range r.Files {
		if f.Kind == kindSettings {
			fmt.Fprintf(w, "read %s: settings\n", f.Name)
			continue
		}
		fmt.Fprintf(w, "read %s: %s, revision %d\n", f.Name, f.Kind, f.Revision)
	}
}

const kindSettings = "settings"

// checkFiles checks each file by itself and, if all are valid, the lists against each other. It returns an
// error only if a file cannot be read.
func checkFiles(paths []string) (*checkReport, error) {
	r := &checkReport{Findings: yamldoc.Findings{}}
	var set listSet
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("check: %w", err)
		}
		r.checkFile(&set, yamldoc.Document{Name: path, Data: data})
	}
	if len(r.Findings) == 0 {
		r.Findings = append(r.Findings, set.checkReferences()...)
	}
	r.Findings.Sort()
	return r, nil
}

// checkFile reads one file, as a list if it has the key "kind", else as settings.
func (r *checkReport) checkFile(set *listSet, d yamldoc.Document) {
	if !lists.HasKind(d) {
		_, err := settings.Parse(d)
		var findings yamldoc.Findings
		errors.As(err, &findings)
		r.add(checkedFile{Name: d.Name, Kind: kindSettings}, findings)
		return
	}
	header, findings := lists.ReadHeader(d)
	file := checkedFile{Name: d.Name, Kind: header.Kind.String(), Revision: header.Revision}
	if len(findings) == 0 {
		findings = set.readList(header.Kind, d)
	}
	r.add(file, findings)
}

func (r *checkReport) add(f checkedFile, findings yamldoc.Findings) {
	r.Files = append(r.Files, f)
	r.Findings = append(r.Findings, findings...)
}

// listSet holds at most one list of each kind.
type listSet struct {
	customers *lists.Customers
	plans     *lists.Plans
	machines  *lists.Machines
}

// readList reads one list, adds it to the set and returns its errors.
func (s *listSet) readList(kind lists.Kind, d lists.Document) lists.Findings {
	var findings lists.Findings
	duplicate := false
	switch kind {
	case lists.KindCustomers:
		duplicate = s.customers != nil
		s.customers, findings = lists.ReadCustomers(d)
	case lists.KindPlans:
		duplicate = s.plans != nil
		s.plans, findings = lists.ReadPlans(d)
	case lists.KindMachines:
		duplicate = s.machines != nil
		s.machines, findings = lists.ReadMachines(d)
	}
	if duplicate {
		findings = append(findings, lists.Finding{File: d.Name, Line: 1, Key: "kind", Message: fmt.Sprintf("a second list of %s", kind)})
	}
	return findings
}

// checkReferences checks the references between the lists of the set. Without plans there is nothing to check,
// because the other lists refer only to plans.
func (s *listSet) checkReferences() lists.Findings {
	if s.plans == nil {
		return nil
	}
	customers, machines := s.customers, s.machines
	if customers == nil {
		customers = &lists.Customers{}
	}
	if machines == nil {
		machines = &lists.Machines{}
	}
	_, findings := lists.Build(customers, s.plans, machines)
	return findings
}
