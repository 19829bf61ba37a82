package placementlab

import (
	"fmt"
	"time"

	"github.com/fireflypin/fireflypin/placement"
)

// Fault is what happens to the service halfway through a run.
type Fault string

// The faults.
const (
	Healthy Fault = "healthy"
	// Lying is a target that passes probes and reports itself idle but answers no connection attempt.
	Lying Fault = "lying"
	// Cold is a target that joins; its slots run at a quarter of their speed for one ramp.
	Cold Fault = "cold"
	// Drain is a target whose stop is announced.
	Drain Fault = "drain"
	// LostZone is the loss of the targets and owners of one zone; its flows come back as new ones.
	LostZone Fault = "lost-zone"
)

// Faults lists every fault.
var Faults = []Fault{Healthy, Lying, Cold, Drain, LostZone}

// Workload is the traffic of one service.
type Workload struct {
	// Name is "user/service".
	Name    string
	Targets int
	// Open is the number of open flows at the start.
	Open int
	// NewPerSecond is the rate of new flows.
	NewPerSecond float64
	// Life is a flow's mean life. LifeSpread is 0 for exponential lives, else the deviation of the
	// logarithm of a log-normal life.
	Life       time.Duration
	LifeSpread float64
	// RequestRate is a flow's mean rate of requests per second; RateSpread the deviation of its
	// logarithm between flows.
	RequestRate float64
	RateSpread  float64
	// RequestTime is the time that a request holds a slot.
	RequestTime time.Duration
	// Burst is a number of further flows that arrive within BurstTime of the fault's time.
	Burst     int
	BurstTime time.Duration
	// Margin is the service's published margin.
	Margin float64
}

// Workloads are both users' services at today's size.
var Workloads = []Workload{
	{
		Name: "adega/booking", Targets: 14, Open: 20000, NewPerSecond: 80, Life: 250 * time.Second,
		RequestRate: 0.06, RateSpread: 1, RequestTime: 20 * time.Millisecond,
	},
	{
		Name: "adega/brochure", Targets: 4, Open: 800, NewPerSecond: 20, Life: 40 * time.Second, LifeSpread: 1.2,
		RequestRate: 0.1, RateSpread: 1, RequestTime: 80 * time.Millisecond,
	},
	{
		Name: "umgeni/metering", Targets: 14, Open: 16000, NewPerSecond: 20, Life: 800 * time.Second, LifeSpread: 1.5,
		RequestRate: 0.2, RateSpread: 0.5, RequestTime: 8 * time.Millisecond,
	},
	{
		Name: "umgeni/statement", Targets: 4, Open: 200, NewPerSecond: 2, Life: 100 * time.Second, LifeSpread: 0.5,
		RequestRate: 0.05, RateSpread: 0.5, RequestTime: 100 * time.Millisecond, Burst: 3000, BurstTime: 60 * time.Second,
	},
}

// Scenario is one run but for its policy.
type Scenario struct {
	Workload Workload
	Fault    Fault
	Seed     uint64
	// Owners is the number of daemons; Zones the number of availability zones.
	Owners, Zones int
	// Warmup is the time before anything is measured; Measure the time measured from then. The fault
	// begins with the measured time.
	Warmup, Measure time.Duration
	// ReportEvery is the time between two reads of a load report; ReportLag the time until other owners
	// hear of it.
	ReportEvery, ReportLag time.Duration
}

// NewScenario returns a scenario of today's size.
func NewScenario(w Workload, f Fault, seed uint64) Scenario {
	return Scenario{
		Workload: w, Fault: f, Seed: seed,
		Owners: 8, Zones: 3,
		Warmup: 300 * time.Second, Measure: 300 * time.Second,
		ReportEvery: time.Second, ReportLag: time.Second,
	}
}

// NewLargeScenario returns a scenario of one address of a fleet of 600 daemons, 6,100 targets, 680
// addresses, 12 million open flows and 48,000 new ones a second: 9 targets and the 300 daemons of a
// region in four zones.
func NewLargeScenario(f Fault, seed uint64) Scenario {
	sc := NewScenario(Workload{
		Name: "large/address", Targets: 9, Open: 17650, NewPerSecond: 70.6, Life: 250 * time.Second,
		RequestRate: 0.04, RateSpread: 1, RequestTime: 20 * time.Millisecond,
	}, f, seed)
	sc.Owners, sc.Zones = 300, 4
	return sc
}

// Candidate is a policy under comparison.
type Candidate struct {
	Name string
	// New returns the policy for a service table; owners do not share it.
	New func(st *placement.ServiceTable) placement.Policy
	// Margin replaces the workload's margin while it is positive.
	Margin float64
}

// Candidates are the policies that are compared side by side.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "plain", New: func(*placement.ServiceTable) placement.Policy { return placement.Plain{} }},
		{Name: "maglev", New: func(st *placement.ServiceTable) placement.Policy {
			return placement.NewMaglev(st, placement.MaglevSlots)
		}},
		{Name: "margin-0.05", New: func(*placement.ServiceTable) placement.Policy { return placement.Margin{Fraction: 0.05} }},
		{Name: "margin-0.10", New: func(*placement.ServiceTable) placement.Policy { return placement.Margin{Fraction: 0.10} }},
		{Name: "bounded-1.10", New: func(*placement.ServiceTable) placement.Policy { return placement.Bounded{Factor: 1.10} }},
		chosen("chosen", 0),
	}
}

func chosen(name string, margin float64) Candidate {
	return Candidate{Name: name, Margin: margin, New: func(*placement.ServiceTable) placement.Policy {
		return placement.NewChosen(placement.ChosenConfig{})
	}}
}

// MarginCurve are candidates of the chosen policy over a range of margins, and plain hashing.
func MarginCurve() []Candidate {
	curve := Candidates()[:1]
	for _, margin := range []float64{0.20, 0.12, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.01} {
		curve = append(curve, chosen(fmt.Sprintf("chosen-%.2f", margin), margin))
	}
	return curve
}
