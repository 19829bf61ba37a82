package scenario

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/scenarios"
)

// Scenario describes one test run.
type Scenario struct {
	Name   string   `yaml:"name"`
	Region string   `yaml:"region"`
	Zones  []string `yaml:"zones"`
	// Entries is the number of daemons, assigned to the zones in round-robin order.
	Entries int `yaml:"entries"`
	// Warmup is the time before measurement starts, Duration the measured time.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	Links    Links         `yaml:"links"`
	// Spray is whether the fabric chooses an entry VM per packet or per flow: "packet" (default) or
	// "flow".
	Spray string `yaml:"spray"`
	// DetectionTime is how long the fabric keeps sending packets to a failed entry VM; default 1 s.
	DetectionTime time.Duration `yaml:"detect"`
	Services      []Service     `yaml:"services"`
	Plans         []Plan        `yaml:"plans"`
	Customers     []Customer    `yaml:"customers"`
	Workloads     []Workload    `yaml:"workloads"`
	Faults        []Fault       `yaml:"faults"`
}

// Links describes the network between the zones and between callers and zones.
type Links struct {
	// ZoneDelay is the one-way delay between two zones, ZoneJitter the maximum random addition to it.
	ZoneDelay  time.Duration `yaml:"zone_delay"`
	ZoneJitter time.Duration `yaml:"zone_jitter"`
	// ZoneLoss is the fraction of datagrams lost between two zones, 0 to 1.
	ZoneLoss float64 `yaml:"zone_loss"`
	// ClientDelay is the one-way delay between the fabric and a zone.
	ClientDelay time.Duration `yaml:"client_delay"`
	// ClientLoss is the fraction of datagrams lost between the fabric and a zone, 0 to 1.
	ClientLoss float64 `yaml:"client_loss"`
}

// Service is a published service and the targets that serve it.
type Service struct {
	Name      string   `yaml:"name"`
	Addresses []string `yaml:"addresses"`
	// Return is the return path of responses: "direct" to the caller or "through" the daemons.
	Return string `yaml:"return"`
	// Margin and Ramp are published as they are; nil and 0 leave them out of the list.
	Margin *float64      `yaml:"margin"`
	Ramp   time.Duration `yaml:"ramp"`
	// Targets is the number of targets, assigned to the zones in round-robin order.
	Targets int `yaml:"targets"`
	// Slots is the number of requests that a target processes concurrently, MaxConnections its maximum number
	// of open connections. 0 means the default of standin.TargetConfig.
	Slots          int `yaml:"slots"`
	MaxConnections int `yaml:"max_connections"`
	// ServiceTime is the mean time to process a request. ColdFor is the time after the start during which a
	// target is slower.
	ServiceTime time.Duration `yaml:"service_time"`
	ColdFor     time.Duration `yaml:"cold_for"`
	// Shed is how an overloaded target rejects work: "answer" (default) or "reset".
	Shed string `yaml:"shed"`
}

// Plan is a published plan: the services that its customers may use, and their limits (0 means no limit).
type Plan struct {
	Name              string   `yaml:"name"`
	Services          []string `yaml:"services"`
	NewFlowsPerSecond int      `yaml:"new_flows_per_second"`
	OpenFlows         int      `yaml:"open_flows"`
}

// Customer is a published customer and the addresses of its callers.
type Customer struct {
	Name   string `yaml:"name"`
	Plan   string `yaml:"plan"`
	Prefix string `yaml:"prefix"`
	// Sources is the number of addresses in the prefix that callers use; default 4.
	Sources int `yaml:"sources"`
}

// Workload is the traffic of one customer's callers to one service. standin.Workload describes the fields and
// their defaults.
type Workload struct {
	Name        string               `yaml:"name"`
	Customer    string               `yaml:"customer"`
	Service     string               `yaml:"service"`
	Kind        standin.WorkloadKind `yaml:"kind"`
	Rate        float64              `yaml:"rate"`
	Sessions    int                  `yaml:"sessions"`
	Think       time.Duration        `yaml:"think"`
	Interval    time.Duration        `yaml:"interval"`
	AnswerBytes int                  `yaml:"answer_bytes"`
	Deadline    time.Duration        `yaml:"deadline"`
}

// FaultKind is a kind of injected fault or planned change.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill terminates a daemon without a graceful stop.
	FaultKill FaultKind = "kill"
	// FaultDrain announces that an entry VM is draining and then stops its daemon gracefully.
	FaultDrain FaultKind = "drain"
	// FaultReplace drains an entry VM and starts a new daemon with the same name and addresses.
	FaultReplace FaultKind = "replace"
	// FaultPause suspends a daemon for a time.
	FaultPause FaultKind = "pause"
	// FaultPartition disconnects a zone from the other zones and from the platform for a time. Callers can
	// still reach the zone.
	FaultPartition FaultKind = "partition"
	// FaultPlatformDown makes the platform's service fail for a time.
	FaultPlatformDown FaultKind = "platform-down"
	// FaultDrainTarget announces that the endpoint VM of a target is draining.
	FaultDrainTarget FaultKind = "leave"
	// FaultAddTarget starts an additional target of a service.
	FaultAddTarget FaultKind = "add-target"
	// FaultTargetReportsIdle and FaultTargetReportsFull make a target report a false load: idle or full.
	FaultTargetReportsIdle FaultKind = "lie-idle"
	FaultTargetReportsFull FaultKind = "lie-full"
	// FaultTargetUnresponsive makes a target stop answering packets while its load report still looks healthy.
	FaultTargetUnresponsive FaultKind = "silent"
	// FaultTargetDropsFlows makes a target permanently drop the state of every tenth open flow.
	FaultTargetDropsFlows FaultKind = "silent-flows"
)

// Fault is a fault or change that is injected during a run.
type Fault struct {
	Kind FaultKind `yaml:"kind"`
	// At is the time since the end of the warm-up.
	At time.Duration `yaml:"at"`
	// For is the duration of FaultPause, FaultPartition, FaultPlatformDown, FaultTargetReportsIdle,
	// FaultTargetReportsFull and FaultTargetUnresponsive; 0 means until the end of the run. For
	// FaultDrainTarget it is the time until the announced deadline; 0 means no deadline. Other faults ignore
	// it.
	For time.Duration `yaml:"for"`
	// Name is the entry VM, target, service or zone that the fault applies to.
	Name string `yaml:"name"`
}

// Load reads a scenario from a file. If the file does not exist, path is taken as the name of a scenario
// that is built into fireflypin.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		data, err = scenarios.Files.ReadFile(path + ".yaml")
	}
	if err != nil {
		return nil, fmt.Errorf("read scenario %q: %w", path, err)
	}
	return parse(path, data)
}

func parse(path string, data []byte) (*Scenario, error) {
	var s Scenario
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("read scenario %s: %w", path, err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("check scenario %s: %w", path, err)
	}
	return &s, nil
}

// validate validates a scenario and returns all errors joined.
func (s *Scenario) validate() error {
	var errs []error
	if len(s.Zones) == 0 || s.Entries < 1 || s.Duration <= 0 {
		errs = append(errs, errors.New("zones, entries and duration are required"))
	}
	for _, svc := range s.Services {
		for _, a := range svc.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil {
				errs = append(errs, fmt.Errorf("service %s: %w", svc.Name, err))
			}
		}
		if len(svc.Addresses) == 0 || svc.Targets < 1 {
			errs = append(errs, fmt.Errorf("service %s: addresses and targets are required", svc.Name))
		}
	}
	for _, c := range s.Customers {
		if _, err := netip.ParsePrefix(c.Prefix); err != nil {
			errs = append(errs, fmt.Errorf("customer %s: %w", c.Name, err))
		}
	}
	for _, w := range s.Workloads {
		if s.service(w.Service) == nil || !s.hasCustomer(w.Customer) {
			errs = append(errs, fmt.Errorf("workload %s: unknown service %q or unknown customer %q", w.Name, w.Service, w.Customer))
		}
	}
	return errors.Join(errs...)
}

func (s *Scenario) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

func (s *Scenario) hasCustomer(name string) bool {
	for _, c := range s.Customers {
		if c.Name == name {
			return true
		}
	}
	return false
}

// zoneOf returns the zone of the i-th machine of a kind, in round-robin order.
func (s *Scenario) zoneOf(i int) string {
	return s.Zones[i%len(s.Zones)]
}
