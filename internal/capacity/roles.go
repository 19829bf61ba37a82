package capacity

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
)

// Size describes the size, traffic and settings of a fleet.
type Size struct {
	Daemons, Regions, ZonesPerRegion int
	Targets, Services, Customers     int
	// Flows is the number of open flows and NewPerSecond the number of new flows per second in the whole fleet.
	Flows, NewPerSecond float64
	// ExceptionsOpen and ExceptionsNew are the fractions of open and of new flows that are exceptions, that is,
	// whose target is not their default target.
	ExceptionsOpen, ExceptionsNew float64
	// ListChangesPerDay counts changes of the customers and plans lists, VMsReplacedPerDay VMs that are restarted or
	// replaced, and VMsFailedPerDay VMs that fail. Each restart, replacement or failure changes the machines
	// list twice.
	ListChangesPerDay, VMsReplacedPerDay, VMsFailedPerDay float64
	// LogInterval and HeartbeatInterval are the daemon's settings.
	LogInterval, HeartbeatInterval time.Duration
	// HealthSectionLimit is the maximum size of the health section of a heartbeat in bytes.
	HealthSectionLimit float64
	// SectionInterval is the interval, in heartbeats, at which a heartbeat carries the limits and health sections.
	SectionInterval float64
	// ProbeInterval is the time between two probes of a target by one daemon.
	ProbeInterval time.Duration
	// HealthTick is the interval between two evaluations of all targets.
	HealthTick time.Duration
}

// TargetSize returns the size that the software must support.
func TargetSize() Size {
	return Size{
		Daemons: 600, Regions: 2, ZonesPerRegion: 4, Targets: 6100, Services: 680, Customers: 1000,
		Flows: 12e6, NewPerSecond: 48_000, ExceptionsOpen: 0.073, ExceptionsNew: 0.057,
		ListChangesPerDay: 2500, VMsReplacedPerDay: 620, VMsFailedPerDay: 13,
		LogInterval: 500 * time.Millisecond, HeartbeatInterval: time.Second,
		HealthSectionLimit: 64, SectionInterval: 1, ProbeInterval: time.Second, HealthTick: time.Second,
	}
}

// Variant is a named size, with settings that may differ from the defaults.
type Variant struct {
	Name string
	Size Size
}

// Variants returns the target size with the default settings, followed by variants with cheaper settings.
// Each variant adds one change to the previous variant.
func Variants() []Variant {
	size := TargetSize()
	all := []Variant{{"defaults", size}}
	size.LogInterval = 2 * time.Second
	all = append(all, Variant{"log interval 2 s", size})
	size.SectionInterval = 3
	all = append(all, Variant{"limits and health on every third heartbeat", size})
	size.ProbeInterval = 2 * time.Second
	all = append(all, Variant{"probes every 2 s", size})
	return all
}

// The limits of a daemon's resource usage for the control plane: a fraction of one core, bytes of memory and
// bytes sent per second.
const (
	CoreLimit   = 0.025
	MemoryLimit = 128e6
	SendLimit   = 21e3
)

const (
	// datagramOverhead is the size of the IPv4 header, the UDP header and the envelope of a datagram between
	// daemons, in bytes.
	datagramOverhead = 20 + 8 + wire.Overhead
	// probersPerTarget is the number of daemons that probe a target.
	probersPerTarget = 2
	// probeBytes is the traffic of one probe over a keep-alive connection, in bytes: request, response, and four
	// packets' TCP/IP headers.
	probeBytes = 110 + 190 + 4*52
	// closingTimeout is how long the flow table keeps a closed flow.
	closingTimeout = time.Minute
	day            = 24 * time.Hour
	// gossipUpdatesPerHeartbeat is the mean number of gossip updates in a heartbeat.
	gossipUpdatesPerHeartbeat = 1
	ticksPerSecond            = 10
	// gcHeapFactor is the heap size per byte in use that the garbage collector allows.
	gcHeapFactor = 2
	// emptyProcessBytes is the memory of an empty daemon process.
	emptyProcessBytes = 14e6
)

// Item is the cost of one function of a role, for one daemon.
type Item struct {
	Role, Name, Mechanism string
	// Memory is the live heap in bytes, Core the fraction of one core used, Sent and Received the bytes per
	// second on the wire, and Messages the datagrams or calls sent per second.
	Memory, Core, Sent, Received, Messages float64
}

// Roles computes the cost of every role at a size. It covers control traffic and state only, not the
// forwarding of callers' packets.
func Roles(s Slopes, size Size) []Item {
	m := costModel{Slopes: s, Size: size}
	items := m.member()
	items = append(items, m.ingress()...)
	items = append(items, m.owner()...)
	items = append(items, m.prober()...)
	return append(items, m.reader()...)
}

// costModel computes the costs of a size from the measured slopes.
type costModel struct {
	Slopes
	Size
}

func (m costModel) zones() float64               { return float64(m.Regions * m.ZonesPerRegion) }
func (m costModel) zoneSize() float64            { return float64(m.Daemons) / m.zones() }
func (m costModel) flowsPerDaemon() float64      { return m.Flows / float64(m.Daemons) }
func (m costModel) newFlowsPerDaemon() float64   { return m.NewPerSecond / float64(m.Daemons) }
func (m costModel) exceptionsPerDaemon() float64 { return m.flowsPerDaemon() * m.ExceptionsOpen }

// logRecordsPerSecond returns the number of log records that an owner writes per second. Each exception has two: one
// when it is added and one when it is removed.
func (m costModel) logRecordsPerSecond() float64 { return 2 * m.newFlowsPerDaemon() * m.ExceptionsNew }

// coreShare converts CPU nanoseconds per second to a fraction of one core.
func coreShare(nanosecondsPerSecond float64) float64 {
	return nanosecondsPerSecond / float64(time.Second)
}

func perDayToPerSecond(n float64) float64 { return n / day.Seconds() }

// marginalCost returns the cost of n additional units, without the fixed cost.
func (m costModel) marginalCost(id ID, n float64) float64 { return m.At(id, n) - m.At(id, 0) }

// member returns the costs of the membership protocol.
func (m costModel) member() []Item {
	rate := m.At(HeartbeatFanout, m.zoneSize()) / m.HeartbeatInterval.Seconds()
	size := datagramOverhead + m.At(HeartbeatBytes, gossipUpdatesPerHeartbeat)
	handling := m.At(Seal, size) + m.At(Open, size) + m.At(HeartbeatHandle, m.zoneSize()) + m.marginalCost(DatagramIO, 1)
	return []Item{{
		Role: "member", Name: "heartbeats", Mechanism: "all of the own zone and two of each other zone, once an interval",
		Memory: m.At(MembershipMemory, m.zoneSize()), Core: coreShare(rate*handling + ticksPerSecond*m.At(MembershipTick, m.zoneSize())),
		Sent: rate * size, Received: rate * size, Messages: rate,
	}}
}

// ingress returns the costs of the state that lets a daemon forward packets directly to their targets.
func (m costModel) ingress() []Item {
	const cacheLimit = 400_000
	cachedFlows := min(m.Flows/float64(m.Regions), cacheLimit)
	owners := m.zoneSize() - 1
	records := m.logRecordsPerSecond() * m.LogInterval.Seconds()
	batches := owners / m.LogInterval.Seconds()
	return []Item{
		{Role: "ingress", Name: "cache of covered flows", Mechanism: "bounded; a flow that is not in it hops", Memory: m.At(CacheMemory, cachedFlows)},
		{
			Role: "ingress", Name: "copies of the zone's logs", Mechanism: "one copy per owner of the zone and backups of another zone",
			Memory: owners * m.At(ReplicaMemory, m.exceptionsPerDaemon()), Core: coreShare(batches * m.At(ReplicaApply, max(records, 1))),
		},
		{
			Role: "ingress", Name: "placement and admission tables", Mechanism: "derived from the lists, two generations held",
			Memory: 2 * (m.At(PlacementMemory, float64(m.Targets)) + m.At(AdmissionMemory, float64(m.Customers))),
		},
	}
}

// owner returns the costs of the flows that a daemon owns.
func (m costModel) owner() []Item {
	peers := m.zoneSize() - 1 + 1
	rate := peers / m.LogInterval.Seconds()
	size := datagramOverhead + m.At(LogBytes, m.logRecordsPerSecond()*m.LogInterval.Seconds())
	return []Item{
		{
			Role: "owner", Name: "flow table", Mechanism: "64 shards, an entry per owned flow",
			Memory: m.At(FlowMemory, m.flowsPerDaemon()+m.newFlowsPerDaemon()*closingTimeout.Seconds()),
		},
		{
			Role: "owner", Name: "exception log to peers", Mechanism: "a batch and an acknowledgement per peer and interval",
			Memory: m.At(LogMemory, m.exceptionsPerDaemon()), Core: coreShare(rate * (m.At(Seal, size) + m.At(Open, size) + m.marginalCost(DatagramIO, 1))),
			Sent: rate * size, Received: rate * size, Messages: rate,
		},
		{
			Role: "owner", Name: "admission and placement of new flows", Mechanism: "policy on published lists, own counts and reports",
			Core: coreShare(m.newFlowsPerDaemon() * (m.At(AdmissionCheck, float64(m.Customers)) + m.At(PolicyChoice, float64(m.Targets)/float64(m.Services)))),
		},
		{
			Role: "owner", Name: "limits of customers", Mechanism: "own use of the most used limits on each heartbeat",
			Memory: m.At(LimitsMemory, float64(m.Customers)), Sent: m.heartbeatSectionRate(m.At(LimitsBytes, float64(m.Customers))),
			Received: m.heartbeatSectionRate(m.At(LimitsBytes, float64(m.Customers))),
		},
	}
}

// heartbeatSectionRate returns the bytes per second of a heartbeat section of the given size.
func (m costModel) heartbeatSectionRate(section float64) float64 {
	return section * m.At(HeartbeatFanout, m.zoneSize()) / m.HeartbeatInterval.Seconds() / m.SectionInterval
}

// prober returns the costs of health checks of targets.
func (m costModel) prober() []Item {
	probed := float64(m.Targets) / m.zones() * probersPerTarget / m.zoneSize()
	probes := probed / m.ProbeInterval.Seconds()
	section := min(m.At(HealthBytes, probed), m.HealthSectionLimit)
	return []Item{
		{
			Role: "prober", Name: "load reports over HTTP", Mechanism: "two daemons of the zone probe a target, by rendezvous order",
			Core: coreShare(m.marginalCost(ProbeIO, probes)), Sent: probes * probeBytes / 2, Received: probes * probeBytes / 2, Messages: probes,
		},
		{
			Role: "prober", Name: "results on heartbeats", Mechanism: "bounded section, targets take turns",
			Sent: m.heartbeatSectionRate(section), Received: m.heartbeatSectionRate(section),
		},
		{
			Role: "prober", Name: "health and load of every target", Mechanism: "judged once a second",
			Memory: m.At(HealthMemory, float64(m.Targets)), Core: coreShare(m.At(HealthTick, float64(m.Targets)) / m.HealthTick.Seconds()),
		},
	}
}

// reader returns the costs of following the published lists.
func (m costModel) reader() []Item {
	const watchWait = 30
	machineChanges := perDayToPerSecond(2 * (m.VMsReplacedPerDay + m.VMsFailedPerDay))
	otherChanges := perDayToPerSecond(m.ListChangesPerDay)
	machineBytes := m.At(MachinesBytes, float64(m.Targets))
	customerBytes := m.At(CustomersBytes, float64(m.Customers))
	recheck := m.At(GenerationSwitch, m.flowsPerDaemon()) + m.At(PlacementBuild, float64(m.Targets))
	return []Item{
		{
			Role: "reader", Name: "watch and fetches", Mechanism: "one waiting watch; a changed list is fetched whole",
			Received: machineChanges*machineBytes + otherChanges*customerBytes,
			Messages: 1.0/watchWait + 2*machineChanges + 2*otherChanges,
		},
		{
			Role: "reader", Name: "lists held", Mechanism: "texts, parsed entries and the snapshot of two generations",
			Memory: machineBytes + customerBytes + 2*(m.At(SnapshotMemory, float64(m.Targets))+m.At(CustomerMemory, float64(m.Customers))),
		},
		{
			Role: "reader", Name: "taking a change", Mechanism: "entries that did not change are not parsed again",
			Core: coreShare(machineChanges*(m.At(MachinesChange, float64(m.Targets))+recheck) +
				otherChanges*(m.At(CustomersChange, float64(m.Customers))+m.At(AdmissionBuild, float64(m.Customers))+recheck)),
		},
	}
}

// OperatorCost computes the cost for the operator's tool of requesting the status of every daemon once: bytes
// received and CPU seconds.
func OperatorCost(s Slopes, size Size) (received, seconds float64) {
	daemons, targets := float64(size.Daemons), float64(size.Targets)
	return daemons * s.At(StatusBytes, targets), daemons * s.At(StatusRead, targets) / float64(time.Second)
}

// Total sums the costs of items. Its memory includes garbage and the empty process.
func Total(items []Item) Item {
	total := Item{Role: "total", Memory: emptyProcessBytes}
	for _, i := range items {
		total.Memory += gcHeapFactor * i.Memory
		total.Core += i.Core
		total.Sent += i.Sent
		total.Received += i.Received
		total.Messages += i.Messages
	}
	total.Name = "memory with garbage and the bare process"
	return total
}
