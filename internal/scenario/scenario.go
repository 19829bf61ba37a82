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

// Scenario describes one run.
type Scenario struct {
	Name   string   `yaml:"name"`
	Region string   `yaml:"region"`
	Zones  []string `yaml:"zones"`
	// Entries is the number of daemons, spread over the zones in turn.
	Entries int `yaml:"entries"`
	// Warmup is the time before counting starts, Duration the time that is counted.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	Links    Links         `yaml:"links"`
	// Spray is how the fabric picks an entry VM: packet or flow; default packet.
	Spray string `yaml:"spray"`
	// Detect is how long the fabric still sprays to an entry VM that died; default 1 s.
	Detect    time.Duration `yaml:"detect"`
	Services  []Service     `yaml:"services"`
	Plans     []Plan        `yaml:"plans"`
	Customers []Customer    `yaml:"customers"`
	Workloads []Workload    `yaml:"workloads"`
	Faults    []Fault       `yaml:"faults"`
}

// Links describes the network between the zones and between callers and zones.
type Links struct {
	// ZoneDelay is the one-way delay between two zones, ZoneJitter the most that is added to it.
	ZoneDelay  time.Duration `yaml:"zone_delay"`
	ZoneJitter time.Duration `yaml:"zone_jitter"`
	// ZoneLoss is the share of datagrams lost between two zones, 0 to 1.
	ZoneLoss float64 `yaml:"zone_loss"`
	// ClientDelay is the one-way delay between the fabric and a zone.
	ClientDelay time.Duration `yaml:"client_delay"`
	// ClientLoss is the share of datagrams lost between the fabric and a zone, 0 to 1.
	ClientLoss float64 `yaml:"client_loss"`
}

// Service is a published service and the targets that stand behind it.
type Service struct {
	Name      string   `yaml:"name"`
	Addresses []string `yaml:"addresses"`
	// Return is direct or through.
	Return string        `yaml:"return"`
	Margin *float64      `yaml:"margin"`
	Ramp   time.Duration `yaml:"ramp"`
	// Targets is the number of targets, spread over the zones in turn.
	Targets        int           `yaml:"targets"`
	Slots          int           `yaml:"slots"`
	MaxConnections int           `yaml:"max_connections"`
	ServiceTime    time.Duration `yaml:"service_time"`
	ColdFor        time.Duration `yaml:"cold_for"`
	// Shed is answer or reset; default answer.
	Shed string `yaml:"shed"`
}

// Plan is a published plan.
type Plan struct {
	Name              string   `yaml:"name"`
	Services          []string `yaml:"services"`
	NewFlowsPerSecond int      `yaml:"new_flows_per_second"`
	OpenFlows         int      `yaml:"open_flows"`
}

// Customer is a published customer and where its callers are.
type Customer struct {
	Name   string `yaml:"name"`
	Plan   string `yaml:"plan"`
	Prefix string `yaml:"prefix"`
	// Sources is the number of addresses of the prefix that callers use; default 4.
	Sources int `yaml:"sources"`
}

// Workload is what one customer's callers do.
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

// FaultKind names what happens to a site.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill ends a daemon without warning.
	FaultKill FaultKind = "kill"
	// FaultDrain announces that an entry VM leaves and then stops its daemon gracefully.
	FaultDrain FaultKind = "drain"
	// FaultReplace drains an entry VM and starts a new daemon under its name and addresses.
	FaultReplace FaultKind = "replace"
	// FaultPause holds a daemon for a time.
	FaultPause FaultKind = "pause"
	// FaultPartition cuts a zone from the others and from the platform for a time; callers still reach it.
	FaultPartition FaultKind = "partition"
	// FaultPlatformDown makes the platform's service fail for a time.
	FaultPlatformDown FaultKind = "platform-down"
	// FaultLeave announces that the endpoint VM of a target leaves.
	FaultLeave FaultKind = "leave"
	// FaultAddTarget starts one more target of a service.
	FaultAddTarget FaultKind = "add-target"
	// FaultLieIdle and FaultLieFull make a target's load report lie.
	FaultLieIdle FaultKind = "lie-idle"
	FaultLieFull FaultKind = "lie-full"
	// FaultSilent makes a target answer nothing, while its report looks well.
	FaultSilent FaultKind = "silent"
	// FaultSilentFlows makes a target lose track of every tenth of its open flows, for good.
	FaultSilentFlows FaultKind = "silent-flows"
)

// Fault is something that happens during a run.
type Fault struct {
	Kind FaultKind `yaml:"kind"`
	// At is the time since the end of the warm-up.
	At time.Duration `yaml:"at"`
	// For is how long it lasts; used with pause, partition, platform-down and the target's faults, where
	// 0 means to the end.
	For time.Duration `yaml:"for"`
	// Name is the entry VM, target, service or zone.
	Name string `yaml:"name"`
}

// Load reads a scenario: a file, or by its name one that comes with fireflypin.
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
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("check scenario %s: %w", path, err)
	}
	return &s, nil
}

// check returns everything that is wrong with a scenario.
func (s *Scenario) check() error {
	var errs []error
	if len(s.Zones) == 0 || s.Entries < 1 || s.Duration <= 0 {
		errs = append(errs, errors.New("zones, entries and duration are needed"))
	}
	for _, svc := range s.Services {
		for _, a := range svc.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil {
				errs = append(errs, fmt.Errorf("service %s: %w", svc.Name, err))
			}
		}
		if len(svc.Addresses) == 0 || svc.Targets < 1 {
			errs = append(errs, fmt.Errorf("service %s: addresses and targets are needed", svc.Name))
		}
	}
	for _, c := range s.Customers {
		if _, err := netip.ParsePrefix(c.Prefix); err != nil {
			errs = append(errs, fmt.Errorf("customer %s: %w", c.Name, err))
		}
	}
	for _, w := range s.Workloads {
		if s.service(w.Service) == nil || !s.hasCustomer(w.Customer) {
			errs = append(errs, fmt.Errorf("workload %s: no service %q or no customer %q", w.Name, w.Service, w.Customer))
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

// zoneOf returns the zone of the i-th machine of a kind.
func (s *Scenario) zoneOf(i int) string {
	return s.Zones[i%len(s.Zones)]
}
