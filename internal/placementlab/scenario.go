package placementlab

import (
	"fmt"
	"time"

	"github.com/fireflypin/fireflypin/placement"
)

// Fault is the fault or change that is injected into a run at the start of the measured time.
type Fault string

// The faults.
const (
	// Healthy is a run without a fault.
	Healthy Fault = "healthy"
	// FalselyIdle is a target that passes health probes and reports itself idle, but answers no connection attempt.
	FalselyIdle Fault = "lying"
	// Cold is a target that joins and processes requests at a quarter of the normal speed for one ramp time.
	Cold Fault = "cold"
	// Drain is a target that is announced as draining.
	Drain Fault = "drain"
	// FailedZone is the failure of all targets and owners of one zone. The callers of its flows reconnect with
	// new flows.
	FailedZone Fault = "lost-zone"
)

// Faults lists every fault.
var Faults = []Fault{Healthy, FalselyIdle, Cold, Drain, FailedZone}

// Workload is the traffic of one service.
type Workload struct {
	// Name has the form "user/service".
	Name    string
	Targets int
	// OpenFlows is the number of open flows at the start of the run.
	OpenFlows int
	// NewPerSecond is the mean number of new flows per second.
	NewPerSecond float64
	// Lifetime is the mean lifetime of a flow. LifetimeSpread is 0 for exponentially distributed lifetimes. Otherwise
	// lifetimes are log-normal and LifetimeSpread is the standard deviation of their logarithm.
	Lifetime       time.Duration
	LifetimeSpread float64
	// RequestRate is the mean number of requests per second of a flow. It is log-normal over the flows;
	// RateSpread is the standard deviation of its logarithm.
	RequestRate float64
	RateSpread  float64
	// RequestTime is the time that a request occupies a slot.
	RequestTime time.Duration
	// Burst is the number of additional flows that arrive within BurstDuration from the start of the fault.
	Burst         int
	BurstDuration time.Duration
	// Margin is the published margin of the service; 0 means placement.DefaultMargin.
	Margin float64
}

// Workloads are the services of both users at their current production size.
var Workloads = []Workload{
	{
		Name: "adega/booking", Targets: 14, OpenFlows: 20000, NewPerSecond: 80, Lifetime: 250 * time.Second,
		RequestRate: 0.06, RateSpread: 1, RequestTime: 20 * time.Millisecond,
	},
	{
		Name: "adega/brochure", Targets: 4, OpenFlows: 800, NewPerSecond: 20, Lifetime: 40 * time.Second, LifetimeSpread: 1.2,
		RequestRate: 0.1, RateSpread: 1, RequestTime: 80 * time.Millisecond,
	},
	{
		Name: "umgeni/metering", Targets: 14, OpenFlows: 16000, NewPerSecond: 20, Lifetime: 800 * time.Second, LifetimeSpread: 1.5,
		RequestRate: 0.2, RateSpread: 0.5, RequestTime: 8 * time.Millisecond,
	},
	{
		Name: "umgeni/statement", Targets: 4, OpenFlows: 200, NewPerSecond: 2, Lifetime: 100 * time.Second, LifetimeSpread: 0.5,
		RequestRate: 0.05, RateSpread: 0.5, RequestTime: 100 * time.Millisecond, Burst: 3000, BurstDuration: 60 * time.Second,
	},
}

// Scenario describes a run, except for its policy.
type Scenario struct {
	Workload Workload
	Fault    Fault
	Seed     uint64
	// Owners is the number of daemons; Zones the number of availability zones.
	Owners, Zones int
	// Warmup is the time before measurement starts, Measure the measured time after it. The fault begins at
	// the start of the measured time.
	Warmup, Measure time.Duration
	// ReportInterval is the interval between two reads of a load report. ReportDelay is the delay until other
	// owners receive it.
	ReportInterval, ReportDelay time.Duration
}

// NewScenario returns a scenario at the current production size.
func NewScenario(w Workload, f Fault, seed uint64) Scenario {
	return Scenario{
		Workload: w, Fault: f, Seed: seed,
		Owners: 8, Zones: 3,
		Warmup: 300 * time.Second, Measure: 300 * time.Second,
		ReportInterval: time.Second, ReportDelay: time.Second,
	}
}

// NewLargeScenario returns a scenario for one service address of a fleet of 600 daemons, 6,100 targets,
// 680 addresses, 12 million open flows and 48,000 new flows per second. The address has 9 targets and the
// 300 daemons of one region in four zones.
func NewLargeScenario(f Fault, seed uint64) Scenario {
	sc := NewScenario(Workload{
		Name: "large/address", Targets: 9, OpenFlows: 17650, NewPerSecond: 70.6, Lifetime: 250 * time.Second,
		RequestRate: 0.04, RateSpread: 1, RequestTime: 20 * time.Millisecond,
	}, f, seed)
	sc.Owners, sc.Zones = 300, 4
	return sc
}

// Candidate is a placement policy to compare.
type Candidate struct {
	Name string
	// New returns a new policy for a service table. Each owner gets its own.
	New func(st *placement.ServiceTable) placement.Policy
	// Margin overrides the workload's margin if it is positive.
	Margin float64
}

// Candidates returns the policies to compare. The first is plain rendezvous hashing, "chosen" is the
// load-aware default policy.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "plain", New: func(*placement.ServiceTable) placement.Policy { return placement.Rendezvous{} }},
		{Name: "maglev", New: func(st *placement.ServiceTable) placement.Policy {
			return placement.NewMaglev(st, placement.MaglevSlots)
		}},
		{Name: "margin-0.05", New: func(*placement.ServiceTable) placement.Policy { return placement.Margin{Fraction: 0.05} }},
		{Name: "margin-0.10", New: func(*placement.ServiceTable) placement.Policy { return placement.Margin{Fraction: 0.10} }},
		{Name: "bounded-1.10", New: func(*placement.ServiceTable) placement.Policy { return placement.BoundedLoads{Factor: 1.10} }},
		loadAwareCandidate("chosen", 0),
	}
}

func loadAwareCandidate(name string, margin float64) Candidate {
	return Candidate{Name: name, Margin: margin, New: func(*placement.ServiceTable) placement.Policy {
		return placement.NewLoadAware(placement.LoadAwareConfig{})
	}}
}

// MarginCurve returns plain hashing and the load-aware default policy with a range of margins.
func MarginCurve() []Candidate {
	curve := Candidates()[:1]
	for _, margin := range []float64{0.20, 0.12, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.01} {
		curve = append(curve, loadAwareCandidate(fmt.Sprintf("chosen-%.2f", margin), margin))
	}
	return curve
}
