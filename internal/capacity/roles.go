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
	z := TargetSize()
	all := []Variant{{"defaults", z}}
	z.LogInterval = 2 * time.Second
	all = append(all, Variant{"log interval 2 s", z})
	z.SectionInterval = 3
	all = append(all, Variant{"limits and health on every third heartbeat", z})
	z.ProbeInterval = 2 * time.Second
	all = append(all, Variant{"probes every 2 s", z})
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
func Roles(s Slopes, z Size) []Item {
	w := costModel{Slopes: s, Size: z}
	items := w.member()
	items = append(items, w.ingress()...)
	items = append(items, w.owner()...)
	items = append(items, w.prober()...)
	return append(items, w.reader()...)
}

// costModel computes the costs of a size from the measured slopes.
type costModel struct {
	Slopes
	Size
}

func (w costModel) zones() float64               { return float64(w.Regions * w.ZonesPerRegion) }
func (w costModel) zoneSize() float64            { return float64(w.Daemons) / w.zones() }
func (w costModel) flowsPerDaemon() float64      { return w.Flows / float64(w.Daemons) }
func (w costModel) newFlowsPerDaemon() float64   { return w.NewPerSecond / float64(w.Daemons) }
func (w costModel) exceptionsPerDaemon() float64 { return w.flowsPerDaemon() * w.ExceptionsOpen }

// logRecordsPerSecond returns the number of log records that an owner writes per second. Each exception has two: one
// when it is added and one when it is removed.
func (w costModel) logRecordsPerSecond() float64 { return 2 * w.newFlowsPerDaemon() * w.ExceptionsNew }

// coreShare converts CPU nanoseconds per second to a fraction of one core.
func coreShare(nanosecondsPerSecond float64) float64 {
	return nanosecondsPerSecond / float64(time.Second)
}

func perDayToPerSecond(n float64) float64 { return n / day.Seconds() }

// marginalCost returns the cost of n additional units, without the fixed cost.
func (w costModel) marginalCost(id ID, n float64) float64 { return w.At(id, n) - w.At(id, 0) }

// member returns the costs of the membership protocol.
func (w costModel) member() []Item {
	rate := w.At(HeartbeatFanout, w.zoneSize()) / w.HeartbeatInterval.Seconds()
	size := datagramOverhead + w.At(HeartbeatBytes, gossipUpdatesPerHeartbeat)
	handling := w.At(Seal, size) + w.At(Open, size) + w.At(HeartbeatHandle, w.zoneSize()) + w.marginalCost(DatagramIO, 1)
	return []Item{{
		Role: "member", Name: "heartbeats", Mechanism: "all of the own zone and two of each other zone, once an interval",
		Memory: w.At(MembershipMemory, w.zoneSize()), Core: coreShare(rate*handling + ticksPerSecond*w.At(MembershipTick, w.zoneSize())),
		Sent: rate * size, Received: rate * size, Messages: rate,
	}}
}

// ingress returns the costs of the state that lets a daemon forward packets directly to their targets.
func (w costModel) ingress() []Item {
	const cacheLimit = 400_000
	cachedFlows := min(w.Flows/float64(w.Regions), cacheLimit)
	owners := w.zoneSize() - 1
	records := w.logRecordsPerSecond() * w.LogInterval.Seconds()
	batches := owners / w.LogInterval.Seconds()
	return []Item{
		{Role: "ingress", Name: "cache of covered flows", Mechanism: "bounded; a flow that is not in it hops", Memory: w.At(CacheMemory, cachedFlows)},
		{
			Role: "ingress", Name: "copies of the zone's logs", Mechanism: "one copy per owner of the zone and backups of another zone",
			Memory: owners * w.At(ReplicaMemory, w.exceptionsPerDaemon()), Core: coreShare(batches * w.At(ReplicaApply, max(records, 1))),
		},
		{
			Role: "ingress", Name: "placement and admission tables", Mechanism: "derived from the lists, two generations held",
			Memory: 2 * (w.At(PlacementMemory, float64(w.Targets)) + w.At(AdmissionMemory, float64(w.Customers))),
		},
	}
}

// owner returns the costs of the flows that a daemon owns.
func (w costModel) owner() []Item {
	peers := w.zoneSize() - 1 + 1
	rate := peers / w.LogInterval.Seconds()
	size := datagramOverhead + w.At(LogBytes, w.logRecordsPerSecond()*w.LogInterval.Seconds())
	return []Item{
		{
			Role: "owner", Name: "flow table", Mechanism: "64 shards, an entry per owned flow",
			Memory: w.At(FlowMemory, w.flowsPerDaemon()+w.newFlowsPerDaemon()*closingTimeout.Seconds()),
		},
		{
			Role: "owner", Name: "exception log to peers", Mechanism: "a batch and an acknowledgement per peer and interval",
			Memory: w.At(LogMemory, w.exceptionsPerDaemon()), Core: coreShare(rate * (w.At(Seal, size) + w.At(Open, size) + w.marginalCost(DatagramIO, 1))),
			Sent: rate * size, Received: rate * size, Messages: rate,
		},
		{
			Role: "owner", Name: "admission and placement of new flows", Mechanism: "policy on published lists, own counts and reports",
			Core: coreShare(w.newFlowsPerDaemon() * (w.At(AdmissionCheck, float64(w.Customers)) + w.At(PolicyChoice, float64(w.Targets)/float64(w.Services)))),
		},
		{
			Role: "owner", Name: "limits of customers", Mechanism: "own use of the most used limits on each heartbeat",
			Memory: w.At(LimitsMemory, float64(w.Customers)), Sent: w.heartbeatSectionRate(w.At(LimitsBytes, float64(w.Customers))),
			Received: w.heartbeatSectionRate(w.At(LimitsBytes, float64(w.Customers))),
		},
	}
}

// heartbeatSectionRate returns the bytes per second of a heartbeat section of the given size.
func (w costModel) heartbeatSectionRate(section float64) float64 {
	return section * w.At(HeartbeatFanout, w.zoneSize()) / w.HeartbeatInterval.Seconds() / w.SectionInterval
}

// prober returns the costs of health checks of targets.
func (w costModel) prober() []Item {
	probed := float64(w.Targets) / w.zones() * probersPerTarget / w.zoneSize()
	probes := probed / w.ProbeInterval.Seconds()
	section := min(w.At(HealthBytes, probed), w.HealthSectionLimit)
	return []Item{
		{
			Role: "prober", Name: "load reports over HTTP", Mechanism: "two daemons of the zone probe a target, by rendezvous order",
			Core: coreShare(w.marginalCost(ProbeIO, probes)), Sent: probes * probeBytes / 2, Received: probes * probeBytes / 2, Messages: probes,
		},
		{
			Role: "prober", Name: "results on heartbeats", Mechanism: "bounded section, targets take turns",
			Sent: w.heartbeatSectionRate(section), Received: w.heartbeatSectionRate(section),
		},
		{
			Role: "prober", Name: "health and load of every target", Mechanism: "judged once a second",
			Memory: w.At(HealthMemory, float64(w.Targets)), Core: coreShare(w.At(HealthTick, float64(w.Targets)) / w.HealthTick.Seconds()),
		},
	}
}

// reader returns the costs of following the published lists.
func (w costModel) reader() []Item {
	const watchWait = 30
	machineChanges := perDayToPerSecond(2 * (w.VMsReplacedPerDay + w.VMsFailedPerDay))
	otherChanges := perDayToPerSecond(w.ListChangesPerDay)
	machineBytes := w.At(MachinesBytes, float64(w.Targets))
	customerBytes := w.At(CustomersBytes, float64(w.Customers))
	recheck := w.At(GenerationSwitch, w.flowsPerDaemon()) + w.At(PlacementBuild, float64(w.Targets))
	return []Item{
		{
			Role: "reader", Name: "watch and fetches", Mechanism: "one waiting watch; a changed list is fetched whole",
			Received: machineChanges*machineBytes + otherChanges*customerBytes,
			Messages: 1.0/watchWait + 2*machineChanges + 2*otherChanges,
		},
		{
			Role: "reader", Name: "lists held", Mechanism: "texts, parsed entries and the snapshot of two generations",
			Memory: machineBytes + customerBytes + 2*(w.At(SnapshotMemory, float64(w.Targets))+w.At(CustomerMemory, float64(w.Customers))),
		},
		{
			Role: "reader", Name: "taking a change", Mechanism: "entries that did not change are not parsed again",
			Core: coreShare(machineChanges*(w.At(MachinesChange, float64(w.Targets))+recheck) +
				otherChanges*(w.At(CustomersChange, float64(w.Customers))+w.At(AdmissionBuild, float64(w.Customers))+recheck)),
		},
	}
}

// OperatorCost computes the cost for the operator's tool of requesting the status of every daemon once: bytes
// received and CPU seconds.
func OperatorCost(s Slopes, z Size) (received, seconds float64) {
	daemons, targets := float64(z.Daemons), float64(z.Targets)
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
