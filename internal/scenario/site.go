package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/model"
)

// fabricPlace is the network location of the fabric and the callers.
const fabricPlace standin.Place = "fabric"

var loopback = netip.MustParseAddr("127.0.0.1")

// Site holds the running stand-ins of a scenario.
type Site struct {
	Scenario *Scenario
	Links    *standin.Links
	Entries  []EntryPlan
	Egress   netip.AddrPort

	seed          uint64
	randStreams   uint64
	gateway       netip.AddrPort // receives packets from callers and targets
	fabric        *standin.Fabric
	nodes         []*standin.Node
	fabricNode    *standin.Node
	targets       []*runningTarget
	callers       []*runningCaller
	platforms     map[string]*standin.Platform // by zone
	platformURLs  map[string]string            // URLs of the platform, by zone
	servers       []*http.Server
	assignedPorts map[netip.AddrPort]bool // ports already assigned to daemons

	mu             sync.Mutex
	published      *PublishedLists
	killed         map[string]bool
	changes        []Change
	publishedTexts map[standin.ListName][]byte
}

// Change is one published revision of a list.
type Change struct {
	List     standin.ListName
	Revision uint64
	At       time.Time
}

type runningTarget struct {
	plan    TargetPlan
	machine *standin.Target
	node    *standin.Node
}

type runningCaller struct {
	customer string
	machine  *standin.Caller
	node     *standin.Node
}

// Start starts all stand-ins except the callers and publishes the first lists.
func Start(s *Scenario, seed uint64, network udpio.Network) (*Site, error) {
	site := &Site{
		Scenario:       s,
		seed:           seed,
		platforms:      make(map[string]*standin.Platform),
		platformURLs:   make(map[string]string),
		assignedPorts:  make(map[netip.AddrPort]bool),
		killed:         make(map[string]bool),
		publishedTexts: make(map[standin.ListName][]byte),
	}
	site.Links = standin.NewLinks(network, standin.LinksConfig{Between: s.linkQuality, Rand: site.newRand()})
	if err := site.start(); err != nil {
		site.Close()
		return nil, fmt.Errorf("start scenario %s: %w", s.Name, err)
	}
	return site, nil
}

func (s *Scenario) linkQuality(a, b standin.Place) standin.LinkQuality {
	switch {
	case a == b:
		return standin.LinkQuality{}
	case a == fabricPlace || b == fabricPlace:
		return standin.LinkQuality{Delay: s.Links.ClientDelay, Loss: s.Links.ClientLoss}
	default:
		return standin.LinkQuality{Delay: s.Links.ZoneDelay, Jitter: s.Links.ZoneJitter, Loss: s.Links.ZoneLoss}
	}
}

// newRand returns a new random generator. Each call gets an independent stream derived from the seed.
func (s *Site) newRand() *rand.Rand {
	s.randStreams++
	return rand.New(rand.NewPCG(s.seed, s.randStreams))
}

func (s *Site) start() error {
	if err := s.startFabric(); err != nil {
		return err
	}
	if err := s.startTargets(); err != nil {
		return err
	}
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.allocateEntries(); err != nil {
		return err
	}
	return s.publishInitialLists()
}

func (s *Site) startFabric() error {
	spray := standin.SprayPacket
	if s.Scenario.Spray == "flow" {
		spray = standin.SprayFlow
	}
	s.fabric = standin.NewFabric(standin.FabricConfig{
		Spray:       spray,
		DetectAfter: s.Scenario.DetectionTime,
		ReturnPaths: s.Scenario.returnPaths(),
		CallerPlace: func(a netip.Addr) standin.Place { return standin.Place(s.Scenario.CallerZone(a)) },
		Rand:        s.newRand(),
	})
	s.fabricNode = standin.NewNode(s.Links.Network("fabric", fabricPlace), s.fabric)
	s.nodes = append(s.nodes, s.fabricNode)
	anyPort := netip.AddrPortFrom(loopback, 0)
	var errs [2]error
	s.gateway, errs[0] = s.fabricNode.Listen(anyPort, s.fabric.Handle)
	s.Egress, errs[1] = s.fabricNode.Listen(anyPort, s.fabric.HandleEgress)
	return errors.Join(errs[:]...)
}

// returnPaths maps each service address to the return path of its responses.
func (s *Scenario) returnPaths() map[netip.AddrPort]model.ReturnPath {
	paths := make(map[netip.AddrPort]model.ReturnPath)
	for _, svc := range s.Services {
		path := model.ReturnDirect
		if svc.Return == "through" {
			path = model.ReturnThrough
		}
		for _, a := range svc.Addresses {
			paths[netip.MustParseAddrPort(a)] = path
		}
	}
	return paths
}

// CallerZone returns the zone of a caller's address. Addresses are assigned to the zones in round-robin
// order by their last byte.
func (s *Scenario) CallerZone(a netip.Addr) string {
	last := a.AsSlice()
	return s.zoneOf(int(last[len(last)-1]))
}

func (s *Site) startTargets() error {
	for i := range s.Scenario.Services {
		svc := &s.Scenario.Services[i]
		for n := range svc.Targets {
			if _, err := s.startTarget(s.Scenario.targetPlan(svc, n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetPlan returns the plan of the n-th target of a service, without addresses.
func (s *Scenario) targetPlan(svc *Service, n int) TargetPlan {
	return TargetPlan{
		Name:    fmt.Sprintf("%s-%d", svc.Name, n+1),
		Service: svc.Name,
		Zone:    s.zoneOf(n),
		service: svc,
	}
}

// runningTargets returns a copy of the list of started targets.
func (s *Site) runningTargets() []*runningTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.targets)
}

func (s *Site) startTarget(plan TargetPlan) (*runningTarget, error) {
	svc := plan.service
	shed := standin.ShedAnswer
	if svc.Shed == "reset" {
		shed = standin.ShedReset
	}
	t := &runningTarget{plan: plan}
	t.machine = standin.NewTarget(time.Now(), standin.TargetConfig{
		Name: plan.Name, Gateway: s.gateway, Slots: svc.Slots, MaxConnections: svc.MaxConnections,
		ServiceTime: svc.ServiceTime, ColdFor: svc.ColdFor, Shed: shed, Rand: s.newRand(),
	})
	network := standin.TargetNetwork(s.Links.Network(plan.Name, standin.Place(plan.Zone)), s.fabric, s.fabricNode, s.gateway)
	t.node = standin.NewNode(network, t.machine)
	s.nodes = append(s.nodes, t.node)
	var err error
	if t.plan.Data, err = t.node.Listen(netip.AddrPortFrom(loopback, 0), nil); err != nil {
		return nil, err
	}
	s.fabricNode.Do(func(time.Time) []standin.Datagram {
		s.fabric.SetTarget(t.plan.Data, standin.Place(plan.Zone))
		return nil
	})
	if t.plan.Report, err = s.serve(t.serveReport()); err != nil {
		return nil, err
	}
	s.targets = append(s.targets, t)
	return t, nil
}

// serveReport returns a handler that serves the target's load report as JSON.
func (t *runningTarget) serveReport() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var report standin.LoadReport
		t.node.Do(func(now time.Time) []standin.Datagram {
			report = t.machine.Report(now)
			return nil
		})
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	})
}

// serve starts an HTTP server on a free loopback port.
func (s *Site) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for HTTP: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// startPlatform starts one replica of the platform's service for each zone, so that each zone can be
// disconnected from the platform separately.
func (s *Site) startPlatform() error {
	for _, zone := range s.Scenario.Zones {
		p := standin.NewPlatform(standin.PlatformConfig{Rand: s.newRand()})
		addr, err := s.serve(p)
		if err != nil {
			return err
		}
		s.platforms[zone] = p
		s.platformURLs[zone] = "http://" + addr.String()
	}
	return nil
}

func (s *Site) allocateEntries() error {
	for i := range s.Scenario.Entries {
		e := EntryPlan{Name: fmt.Sprintf("e%d", i+1), Region: s.Scenario.Region, Zone: s.Scenario.zoneOf(i)}
		for _, a := range []*netip.AddrPort{&e.Data, &e.Peer, &e.Bulk, &e.Ops} {
			var err error
			if *a, err = s.freePort(); err != nil {
				return err
			}
		}
		s.Entries = append(s.Entries, e)
	}
	return nil
}

// The ports of daemons are below the ephemeral port range of Linux.
const (
	firstDaemonPort = 20000
	daemonPorts     = 12000
	portTries       = 1000
)

// freePort returns a loopback address whose port is currently free for both TCP and UDP and was not
// returned before. It tries random ports, so that several sites on one machine rarely collide.
func (s *Site) freePort() (netip.AddrPort, error) {
	for range portTries {
		addr := netip.AddrPortFrom(loopback, uint16(firstDaemonPort+rand.IntN(daemonPorts)))
		if !s.assignedPorts[addr] && isFree(addr) {
			s.assignedPorts[addr] = true
			return addr, nil
		}
	}
	return netip.AddrPort{}, errors.New("find a free port: none is free for both TCP and UDP")
}

// isFree reports whether an address can currently be bound for both TCP and UDP.
func isFree(addr netip.AddrPort) bool {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return false
	}
	return u.Close() == nil
}

func (s *Site) publishInitialLists() error {
	plans := make([]TargetPlan, 0, len(s.targets))
	for _, t := range s.targets {
		plans = append(plans, t.plan)
	}
	s.published = newPublishedLists(s.Scenario, s.Entries, plans)
	for _, name := range []standin.ListName{standin.ListCustomers, standin.ListPlans, standin.ListMachines} {
		if err := s.publish(name); err != nil {
			return err
		}
	}
	s.setFabricEntries()
	return nil
}

// publish publishes the next revision of a list on every replica of the platform.
func (s *Site) publish(name standin.ListName) error {
	rev, data, err := s.published.Document(name)
	if err != nil {
		return err
	}
	s.publishedTexts[name] = data
	s.changes = append(s.changes, Change{List: name, Revision: rev, At: time.Now()})
	for _, p := range s.platforms {
		p.Publish(name, rev, data)
	}
	return nil
}

// Changes returns all revisions published so far.
func (s *Site) Changes() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes)
}

// CallerHistory returns the records of the callers only, without those of the targets.
func (s *Site) CallerHistory() history.History {
	var h history.History
	for _, c := range s.callers {
		c.node.Do(func(time.Time) []standin.Datagram {
			h.Add(c.machine.History())
			return nil
		})
	}
	return h
}

// setFabricEntries updates the fabric with the entry VMs that are neither killed nor draining.
func (s *Site) setFabricEntries() {
	var alive []standin.FabricEntry
	for _, e := range s.Entries {
		if !s.killed[e.Name] && !s.published.draining[e.Name] {
			alive = append(alive, standin.FabricEntry{Data: e.Data, Place: standin.Place(e.Zone)})
		}
	}
	s.fabricNode.Do(func(now time.Time) []standin.Datagram {
		s.fabric.SetEntries(now, alive)
		return nil
	})
}

// PlatformURL returns the URL of the platform's service for a zone.
func (s *Site) PlatformURL(zone string) string { return s.platformURLs[zone] }

// StartCallers starts the callers of all customers that have workloads.
func (s *Site) StartCallers() error {
	for i, customer := range s.Scenario.Customers {
		workloads := s.Scenario.workloadsOf(customer.Name)
		if len(workloads) == 0 {
			continue
		}
		c := &runningCaller{customer: customer.Name}
		c.machine = standin.NewCaller(time.Now(), standin.CallerConfig{
			Name: customer.Name, Gateway: s.gateway, Sources: customer.sources(),
			Workloads: workloads, IDBase: uint64(i+1) << 40, Rand: s.newRand(),
		})
		c.node = standin.NewNode(s.Links.Network("callers", fabricPlace), c.machine)
		s.nodes = append(s.nodes, c.node)
		if _, err := c.node.Listen(netip.AddrPortFrom(loopback, 0), nil); err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

func (s *Scenario) workloadsOf(customer string) []standin.Workload {
	var out []standin.Workload
	for _, w := range s.Workloads {
		if w.Customer != customer {
			continue
		}
		out = append(out, standin.Workload{
			Name: w.Name, Kind: w.Kind, Service: netip.MustParseAddrPort(s.service(w.Service).Addresses[0]),
			Rate: w.Rate, Sessions: w.Sessions, Think: w.Think, Interval: w.Interval,
			AnswerBytes: w.AnswerBytes, Deadline: w.Deadline,
		})
	}
	return out
}

// sources returns the callers' source addresses: the first ones of the customer's prefix after its
// network address.
func (c Customer) sources() []netip.Addr {
	count := c.Sources
	if count == 0 {
		count = 4
	}
	addr := netip.MustParsePrefix(c.Prefix).Masked().Addr()
	out := make([]netip.Addr, 0, count)
	for range count {
		addr = addr.Next()
		out = append(out, addr)
	}
	return out
}

// StopCallers stops new sessions and waits for open ones to end, for at most limit. It returns the number
// of flows that are still open.
func (s *Site) StopCallers(limit time.Duration) int {
	for _, c := range s.callers {
		c.node.Do(c.machine.Stop)
	}
	end := time.Now().Add(limit)
	for s.OpenFlows() > 0 && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	return s.OpenFlows()
}

// OpenFlows returns the number of flows that the callers have open.
func (s *Site) OpenFlows() int {
	open := 0
	for _, c := range s.callers {
		c.node.Do(func(time.Time) []standin.Datagram {
			open += c.machine.OpenFlowCount()
			return nil
		})
	}
	return open
}

// TargetLoad is the actual load of a target.
type TargetLoad struct {
	Name, Service, Zone string
	Connections, Busy   int
	// Reported is the target's load report, which may be false under a fault.
	Reported standin.LoadReport
	Draining bool
}

// Loads returns the actual load of every running target.
func (s *Site) Loads() []TargetLoad {
	targets := s.runningTargets()
	loads := make([]TargetLoad, 0, len(targets))
	for _, t := range targets {
		load := TargetLoad{Name: t.plan.Name, Service: t.plan.Service, Zone: t.plan.Zone, Draining: s.draining(t.plan.Name)}
		t.node.Do(func(now time.Time) []standin.Datagram {
			load.Reported = t.machine.Report(now)
			load.Connections = t.machine.Connections()
			load.Busy = t.machine.Busy()
			return nil
		})
		loads = append(loads, load)
	}
	return loads
}

func (s *Site) draining(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published.draining[name]
}

// History returns the records of all callers and targets.
func (s *Site) History() history.History {
	h := s.CallerHistory()
	for _, t := range s.runningTargets() {
		t.node.Do(func(time.Time) []standin.Datagram {
			h.Add(t.machine.History())
			return nil
		})
	}
	return h
}

// PlatformCounts returns the platform's call counters, summed over its replicas.
func (s *Site) PlatformCounts() standin.PlatformCounts {
	var sum standin.PlatformCounts
	for _, p := range s.platforms {
		c := p.Counts()
		sum.Calls += c.Calls
		sum.Reads += c.Reads
		sum.Watches += c.Watches
		sum.OverBudget += c.OverBudget
	}
	return sum
}

// Close stops all stand-ins and their HTTP servers.
func (s *Site) Close() {
	for _, n := range s.nodes {
		n.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
