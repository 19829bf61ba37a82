package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/fireflypin/fireflypin/internal/bench"
	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
)

// FaultNone is the value of FleetConfig.Fault for a run without one.
const FaultNone = "none"

// Faults returns the faults that a demo can show.
func Faults() []string {
	return []string{
		FaultNone,
		string(scenario.FaultKill),
		string(scenario.FaultDrain),
		string(scenario.FaultPartition),
		string(scenario.FaultPlatformDown),
		string(scenario.FaultPause),
		string(scenario.FaultReplace),
	}
}

// FleetConfig configures ShowFleet.
type FleetConfig struct {
	// Scenario is a scenario's file or name.
	Scenario string
	// Fault is one of Faults; it starts after a third of the time and, where it ends, lasts a third.
	Fault string
	// Seconds is the counted time; 0 means the scenario's own.
	Seconds int
	Seed    uint64
	Variant fleet.Variant
	// JSON writes one JSON object with all samples in place of the table.
	JSON bool
	// Redraw draws the table over the last one, for terminals.
	Redraw bool
	Out    io.Writer
	// LogTo receives the daemons' log lines; nil means nowhere.
	LogTo io.Writer
}

// ShowFleet runs a scenario with all daemons in this process and shows a live table.
func ShowFleet(ctx context.Context, cfg FleetConfig) error {
	s, err := scenario.Load(cfg.Scenario)
	if err != nil {
		return err
	}
	if cfg.Seconds > 0 {
		s.Duration = time.Duration(cfg.Seconds) * time.Second
	}
	if s.Faults, err = faultsOf(cfg.Fault, s); err != nil {
		return err
	}
	t := newTable(cfg.Out, cfg.Redraw)
	run := bench.Config{
		Scenario:    s,
		Variant:     cfg.Variant,
		Seed:        cfg.Seed,
		SampleEvery: time.Second,
		LogTo:       cfg.LogTo,
	}
	if !cfg.JSON {
		fmt.Fprintf(cfg.Out, "starting %d daemons in %d zones\n", s.Entries, len(s.Zones))
		run.OnSample = t.draw
		run.OnFault = t.noteFault
	}
	result, err := bench.Run(ctx, run)
	if err != nil {
		return err
	}
	if cfg.JSON {
		return json.NewEncoder(cfg.Out).Encode(result)
	}
	result.Print(cfg.Out)
	return nil
}

// faultsOf returns the fault of a demo with its times.
func faultsOf(name string, s *scenario.Scenario) ([]scenario.Fault, error) {
	third := s.Duration / 3
	f := scenario.Fault{Kind: scenario.FaultKind(name), At: third}
	switch f.Kind {
	case "", FaultNone:
		return nil, nil
	case scenario.FaultKill, scenario.FaultDrain, scenario.FaultReplace:
		f.Name = "e2"
	case scenario.FaultPause:
		f.Name, f.For = "e2", third
	case scenario.FaultPartition:
		f.Name, f.For = s.Zones[len(s.Zones)-1], third
	case scenario.FaultPlatformDown:
		f.For = third
	default:
		return nil, fmt.Errorf("show fault %q: choose one of %v", name, Faults())
	}
	return []scenario.Fault{f}, nil
}
