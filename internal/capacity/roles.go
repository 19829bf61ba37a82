package capacity

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/wire"
)

// Size is the size of a fleet and its traffic.
type Size struct {
	Daemons, Regions, ZonesPerRegion int
	Targets, Services, Customers     int
	// Flows and NewPerSecond are open and new flows of the whole fleet.
	Flows, NewPerSecond float64
	// ExceptionsOpen and ExceptionsNew are the shares of open and of new flows that are exceptions.
	ExceptionsOpen, ExceptionsNew float64
	// ListChanges, Replaced and Failed are numbers a day: changes of customers and plans, VMs that are
	// restarted or replaced, and VMs that fail. Each of the latter changes the list of machines twice.
	ListChanges, Replaced, Failed float64
	// LogInterval and HeartbeatInterval are the daemon's settings.
	LogInterval, HeartbeatInterval time.Duration
	// HealthSection bounds the bytes of health results on one heartbeat.
	HealthSection float64
	// SectionsEvery is the number of heartbeats of which one carries the sections of limits and health.
	SectionsEvery float64
	// ProbeInterval is the time between two probes of a target by one daemon.
	ProbeInterval time.Duration
	// HealthTick is the time between two judgements of all targets.
	HealthTick time.Duration
}

// TargetSize is the size that the fleet has to reach.
func TargetSize() Size {
	return Size{
		Daemons: 600, Regions: 2, ZonesPerRegion: 4, Targets: 6100, Services: 680, Customers: 1000,
		Flows: 12e6, NewPerSecond: 48_000, ExceptionsOpen: 0.073, ExceptionsNew: 0.057,
		ListChanges: 2500, Replaced: 620, Failed: 13,
		LogInterval: 500 * time.Millisecond, HeartbeatInterval: time.Second,
		HealthSection: 64, SectionsEvery: 1, ProbeInterval: time.Second, HealthTick: time.Second,
	}
}

// Variant is a size with other settings.
type Variant struct {
	Name string
	Size Size
}

// Variants are the target size with the default settings, then with settings that cost less, each on
// top of the one before.
func Variants() []Variant {
	z := TargetSize()
	all := []Variant{{"defaults", z}}
	z.LogInterval = 2 * time.Second
	all = append(all, Variant{"log interval 2 s", z})
	z.SectionsEvery = 3
	all = append(all, Variant{"limits and health on every third heartbeat", z})
	z.ProbeInterval = 2 * time.Second
	all = append(all, Variant{"probes every 2 s", z})
	return all
}

// The limits of what a daemon may spend on control.
const (
	CoreLimit   = 0.025
	MemoryLimit = 128e6
	SendLimit   = 21e3
)

const (
	// datagramOverhead is the IPv4 and UDP header of a datagram between daemons, with its envelope.
	datagramOverhead = 20 + 8 + wire.Overhead
	// proberCount is the number of daemons that probe a target.
	proberCount = 2
	// probeBytes is one probe over a kept connection: request, answer, and four TCP/IP headers.
	probeBytes = 110 + 190 + 4*52
	// closingTime is how long the flow table remembers an ended flow.
	closingTime = time.Minute
	day         = 24 * time.Hour
	// heartbeatRumours is the mean number of rumours on a heartbeat.
	heartbeatRumours = 1
	ticksPerSecond   = 10
	// garbage is the heap that the collector lets grow for each byte in use.
	garbage = 2
	// processBytes is a process of the daemon that holds nothing.
	processBytes = 14e6
)

// Item is one line of a role's cost, for one daemon.
type Item struct {
	Role, Name, Mechanism string
	// Memory is live heap in bytes; Core a share of one core; Sent and Received bytes per second on the
	// wire; Messages datagrams or calls sent per second.
	Memory, Core, Sent, Received, Messages float64
}

// Roles works out the cost of every role at a size. Figures of control alone: packets of callers are
// not among them.
func Roles(s Slopes, z Size) []Item {
	w := work{Slopes: s, Size: z}
	items := w.member()
	items = append(items, w.ingress()...)
	items = append(items, w.owner()...)
	items = append(items, w.prober()...)
	return append(items, w.reader()...)
}

// work is a size with the slopes to work it out.
type work struct {
	Slopes
	Size
}

func (w work) zones() float64      { return float64(w.Regions * w.ZonesPerRegion) }
func (w work) zoneSize() float64   { return float64(w.Daemons) / w.zones() }
func (w work) ownFlows() float64   { return w.Flows / float64(w.Daemons) }
func (w work) ownNew() float64     { return w.NewPerSecond / float64(w.Daemons) }
func (w work) exceptions() float64 { return w.ownFlows() * w.ExceptionsOpen }

// logRecords returns the records that an owner writes in a second: each exception begins and ends.
func (w work) logRecords() float64 { return 2 * w.ownNew() * w.ExceptionsNew }

// coreShare turns nanoseconds in each second into a share of a core.
func coreShare(nanosecondsPerSecond float64) float64 {
	return nanosecondsPerSecond / float64(time.Second)
}

func perDay(n float64) float64 { return n / day.Seconds() }

// each returns what n more units cost.
func (w work) each(id ID, n float64) float64 { return w.At(id, n) - w.At(id, 0) }

// member is what every daemon does to know who is here.
func (w work) member() []Item {
	rate := w.At(HeartbeatFanout, w.zoneSize()) / w.HeartbeatInterval.Seconds()
	size := datagramOverhead + w.At(HeartbeatBytes, heartbeatRumours)
	handling := w.At(Seal, size) + w.At(Open, size) + w.At(HeartbeatHandle, w.zoneSize()) + w.each(DatagramIO, 1)
	return []Item{{
		Role: "member", Name: "heartbeats", Mechanism: "all of the own zone and two of each other zone, once an interval",
		Memory: w.At(MembershipMemory, w.zoneSize()), Core: coreShare(rate*handling + ticksPerSecond*w.At(MembershipTick, w.zoneSize())),
		Sent: rate * size, Received: rate * size, Messages: rate,
	}}
}

// ingress is what a daemon keeps to send packets straight to their targets.
func (w work) ingress() []Item {
	const seenLimit = 400_000
	seen := min(w.Flows/float64(w.Regions), seenLimit)
	owners := w.zoneSize() - 1
	records := w.logRecords() * w.LogInterval.Seconds()
	batches := owners / w.LogInterval.Seconds()
	return []Item{
		{Role: "ingress", Name: "cache of covered flows", Mechanism: "bounded; a flow that is not in it hops", Memory: w.At(SeenMemory, seen)},
		{
			Role: "ingress", Name: "copies of the zone's logs", Mechanism: "one copy per owner of the zone and backups of another zone",
			Memory: owners * w.At(CopyMemory, w.exceptions()), Core: coreShare(batches * w.At(CopyApply, max(records, 1))),
		},
		{
			Role: "ingress", Name: "placement and admission tables", Mechanism: "derived from the lists, two generations held",
			Memory: 2 * (w.At(PlacementMemory, float64(w.Targets)) + w.At(AdmissionMemory, float64(w.Customers))),
		},
	}
}

// owner is what a daemon does for the flows that it owns.
func (w work) owner() []Item {
	peers := w.zoneSize() - 1 + 1
	rate := peers / w.LogInterval.Seconds()
	size := datagramOverhead + w.At(LogBytes, w.logRecords()*w.LogInterval.Seconds())
	return []Item{
		{
			Role: "owner", Name: "flow table", Mechanism: "64 shards, an entry per owned flow",
			Memory: w.At(FlowMemory, w.ownFlows()+w.ownNew()*closingTime.Seconds()),
		},
		{
			Role: "owner", Name: "exception log to peers", Mechanism: "a batch and an acknowledgement per peer and interval",
			Memory: w.At(LogMemory, w.exceptions()), Core: coreShare(rate * (w.At(Seal, size) + w.At(Open, size) + w.each(DatagramIO, 1))),
			Sent: rate * size, Received: rate * size, Messages: rate,
		},
		{
			Role: "owner", Name: "admission and placement of new flows", Mechanism: "policy on published lists, own counts and reports",
			Core: coreShare(w.ownNew() * (w.At(AdmissionCheck, float64(w.Customers)) + w.At(PolicyChoice, float64(w.Targets)/float64(w.Services)))),
		},
		{
			Role: "owner", Name: "limits of customers", Mechanism: "own use of the most used limits on each heartbeat",
			Memory: w.At(LimitsMemory, float64(w.Customers)), Sent: w.onHeartbeats(w.At(LimitsBytes, float64(w.Customers))),
			Received: w.onHeartbeats(w.At(LimitsBytes, float64(w.Customers))),
		},
	}
}

// onHeartbeats returns the bytes per second of a section that is on every heartbeat.
func (w work) onHeartbeats(section float64) float64 {
	return section * w.At(HeartbeatFanout, w.zoneSize()) / w.HeartbeatInterval.Seconds() / w.SectionsEvery
}

// prober is what a daemon does to know the targets' health.
func (w work) prober() []Item {
	probed := float64(w.Targets) / w.zones() * proberCount / w.zoneSize()
	probes := probed / w.ProbeInterval.Seconds()
	section := min(w.At(HealthBytes, probed), w.HealthSection)
	return []Item{
		{
			Role: "prober", Name: "load reports over HTTP", Mechanism: "two daemons of the zone probe a target, by rendezvous order",
			Core: coreShare(w.each(ProbeIO, probes)), Sent: probes * probeBytes / 2, Received: probes * probeBytes / 2, Messages: probes,
		},
		{
			Role: "prober", Name: "results on heartbeats", Mechanism: "bounded section, targets take turns",
			Sent: w.onHeartbeats(section), Received: w.onHeartbeats(section),
		},
		{
			Role: "prober", Name: "health and load of every target", Mechanism: "judged once a second",
			Memory: w.At(HealthMemory, float64(w.Targets)), Core: coreShare(w.At(HealthTick, float64(w.Targets)) / w.HealthTick.Seconds()),
		},
	}
}

// reader is what a daemon does to follow the lists.
func (w work) reader() []Item {
	const watchWait = 30
	machineChanges := perDay(2 * (w.Replaced + w.Failed))
	otherChanges := perDay(w.ListChanges)
	machineBytes := w.At(MachinesBytes, float64(w.Targets))
	customerBytes := w.At(CustomersBytes, float64(w.Customers))
	recheck := w.At(GenerationSwitch, w.ownFlows()) + w.At(PlacementBuild, float64(w.Targets))
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

// Operator works out what one look at every daemon costs the operator's tool: bytes received and
// seconds of one core, when each daemon is asked once.
func Operator(s Slopes, z Size) (received, seconds float64) {
	daemons, targets := float64(z.Daemons), float64(z.Targets)
	return daemons * s.At(StatusBytes, targets), daemons * s.At(StatusRead, targets) / float64(time.Second)
}

// Total adds up items.
func Total(items []Item) Item {
	total := Item{Role: "total", Memory: processBytes}
	for _, i := range items {
		total.Memory += garbage * i.Memory
		total.Core += i.Core
		total.Sent += i.Sent
		total.Received += i.Received
		total.Messages += i.Messages
	}
	total.Name = "memory with garbage and the bare process"
	return total
}
