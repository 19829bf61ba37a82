package lists

import (
	"math"
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

// Defaults of a target.
const (
	DefaultWeight         = 1
	DefaultMaxConnections = 2000
	DefaultSlots          = 3

	maxWeight = 1000
)

// Machines is a checked document of kind machines.
type Machines struct {
	Revision  uint64
	Name      string // of the document
	entries   []*model.EntryVM
	endpoints []*model.EndpointVM
	targets   []targetRow
}

type targetRow struct {
	target *model.Target
	line   int // of the service's name
	path   yamldoc.Path
}

// addressUse says which key used an address first.
type addressUse struct {
	owner string
	line  int
}

// machineReader holds what must be unique within one document of kind machines.
type machineReader struct {
	machines    *Machines
	vms         names
	targets     names
	machineIDs  map[model.MachineID]string
	targetIDs   map[model.TargetID]string
	udp         map[netip.AddrPort]addressUse
	tcp         map[netip.AddrPort]addressUse
	machineHash func(name string) model.MachineID
	targetHash  func(name string) model.TargetID
}

func newMachineReader(name string) *machineReader {
	return &machineReader{
		machines:    &Machines{Name: name},
		vms:         make(names),
		targets:     make(names),
		machineIDs:  make(map[model.MachineID]string),
		targetIDs:   make(map[model.TargetID]string),
		udp:         make(map[netip.AddrPort]addressUse),
		tcp:         make(map[netip.AddrPort]addressUse),
		machineHash: model.MachineIDOf,
		targetHash:  model.TargetIDOf,
	}
}

// ReadMachines checks a document of kind machines by itself.
func ReadMachines(d Document) (*Machines, Findings) {
	return newMachineReader(d.Name).read(d)
}

func (r *machineReader) read(d Document) (*Machines, Findings) {
	revision, findings := read(d, KindMachines, func(m *yamldoc.Map) {
		m.Each("entries", r.readEntry)
		m.Each("endpoints", r.readEndpoint)
	})
	r.machines.Revision = revision
	return r.machines, findings
}

func readZone(m *yamldoc.Map) model.Zone {
	return model.Zone{Region: m.Name("region"), Name: m.Name("zone")}
}

func readState(m *yamldoc.Map) model.MachineState {
	if m.Choice("state", "live", "leaving") == 1 {
		return model.MachineLeaving
	}
	return model.MachineLive
}

func (r *machineReader) readEntry(m *yamldoc.Map) {
	e := &model.EntryVM{
		Name:  m.Name("name"),
		Zone:  readZone(m),
		State: readState(m),
		Data:  m.NeedAddress("data"),
		Peer:  m.NeedAddress("peer"),
		Bulk:  m.NeedAddress("bulk"),
		Ops:   m.Address("ops"),
	}
	r.vms.add(m, "name", e.Name, "machine")
	e.ID = r.machineHash(e.Name)
	r.checkMachineID(m, e)
	checkAddress(m, r.udp, "data", e.Name, e.Data)
	checkAddress(m, r.udp, "peer", e.Name, e.Peer)
	checkAddress(m, r.tcp, "bulk", e.Name, e.Bulk)
	checkAddress(m, r.tcp, "ops", e.Name, e.Ops)
	r.machines.entries = append(r.machines.entries, e)
}

// checkAddress reports an address on which another socket receives already.
func checkAddress(m *yamldoc.Map, used map[netip.AddrPort]addressUse, key, owner string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	if first, taken := used[a]; taken {
		m.Fault(key, "%s belongs to %q already, in line %d", a, first.owner, first.line)
		return
	}
	used[a] = addressUse{owner: owner, line: m.LineOf(key)}
}

func (r *machineReader) checkMachineID(m *yamldoc.Map, e *model.EntryVM) {
	other, taken := r.machineIDs[e.ID]
	if taken && other != e.Name {
		m.Fault("name", "machines %q and %q get the same id %d; rename one", other, e.Name, e.ID)
		return
	}
	r.machineIDs[e.ID] = e.Name
}

func (r *machineReader) checkTargetID(m *yamldoc.Map, t *model.Target) {
	other, taken := r.targetIDs[t.ID]
	if taken && other != t.Name {
		m.Fault("name", "targets %q and %q get the same id %d; rename one", other, t.Name, t.ID)
		return
	}
	r.targetIDs[t.ID] = t.Name
}

func (r *machineReader) readEndpoint(m *yamldoc.Map) {
	e := &model.EndpointVM{
		Name:    m.Name("name"),
		Zone:    readZone(m),
		State:   readState(m),
		LeaveBy: m.Time("leave_by"),
	}
	if e.State != model.MachineLeaving && m.Has("leave_by") {
		m.Fault("leave_by", "has an effect only with \"state: leaving\"")
	}
	r.vms.add(m, "name", e.Name, "machine")
	m.Each("targets", func(m *yamldoc.Map) {
		t := r.readTarget(m, e)
		e.Targets = append(e.Targets, t)
	})
	r.machines.endpoints = append(r.machines.endpoints, e)
}

func (r *machineReader) readTarget(m *yamldoc.Map, e *model.EndpointVM) *model.Target {
	t := &model.Target{
		Name:           m.Name("name"),
		Service:        m.Name("service"),
		Zone:           e.Zone,
		Leaving:        e.State == model.MachineLeaving,
		LeaveBy:        e.LeaveBy,
		Data:           m.NeedAddress("data"),
		Report:         m.Address("report"),
		Weight:         uint32(m.Uint("weight", DefaultWeight, 1, maxWeight)),
		MaxConnections: uint32(m.Uint("max_connections", DefaultMaxConnections, 1, math.MaxUint32)),
		Slots:          uint32(m.Uint("slots", DefaultSlots, 1, math.MaxUint32)),
	}
	t.ID = r.targetHash(t.Name)
	r.targets.add(m, "name", t.Name, "target")
	r.checkTargetID(m, t)
	checkAddress(m, r.udp, "data", t.Name, t.Data)
	r.machines.targets = append(r.machines.targets, targetRow{target: t, line: m.LineOf("service"), path: m.Path("service")})
	return t
}

// Entries returns the entry VMs of the document. The slice belongs to the document.
func (m *Machines) Entries() []*model.EntryVM {
	return m.entries
}
