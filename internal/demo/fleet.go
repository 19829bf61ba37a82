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

// FaultNone is the value of FleetConfig.Fault for a run without a fault.
const FaultNone = "none"

// Faults returns the valid values of FleetConfig.Fault.
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

// FleetConfig holds the settings of ShowFleet.
type FleetConfig struct {
	// Scenario is the file of a scenario, or the name of a built-in one.
	Scenario string
	// Fault is one of Faults. It starts after a third of the measured time. Faults of limited duration last
	// for another third.
	Fault string
	// Seconds is the measured time in seconds; 0 means the duration of the scenario.
	Seconds int
	Seed    uint64
	Variant fleet.Variant
	// JSON writes one JSON object with all samples instead of the table.
	JSON bool
	// Redraw overwrites the previous table in place, for terminals.
	Redraw bool
	Out    io.Writer
	// LogTo receives the daemons' log lines; nil discards them.
	LogTo io.Writer
}

// ShowFleet runs a scenario with all daemons in the current process and shows a live table, or writes the
// result as JSON.
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

// faultsOf returns the named fault with its start time and duration, or no fault for FaultNone and "".
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
		return nil, fmt.Errorf("unknown fault %q: use one of %v", name, Faults())
	}
	return []scenario.Fault{f}, nil
}
