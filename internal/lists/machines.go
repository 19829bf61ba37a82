package lists

import (
	"fmt"
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
	endpoints []located[endpointRow]
	// drainingZones are the zones that operators drain, sorted.
	drainingZones []model.Zone

	cachedEntries   cache[entryRow]
	cachedEndpoints cache[endpointRow]
}

// Entries returns the entry VMs of the document. The caller must not change the slice.
func (m *Machines) Entries() []*model.EntryVM {
	return m.entries
}

// entryRow is one parsed entry for an entry VM. Lines count from the entry's first line.
type entryRow struct {
	vm                                              model.EntryVM
	nameLine, dataLine, peerLine, bulkLine, opsLine int
}

// endpointRow is one parsed entry for an endpoint VM. Lines count from the entry's first line.
type endpointRow struct {
	vm       model.EndpointVM
	nameLine int
	targets  []targetRow
}

type targetRow struct {
	target                          *model.Target
	nameLine, serviceLine, dataLine int
}

// ReadMachines checks a document of kind machines by itself.
func ReadMachines(d Document) (*Machines, Findings) {
	return NextMachines(d, nil)
}

// NextMachines is like ReadMachines, for a document that replaces an earlier one: entries whose
// text is in both are not parsed again, and the documents share their objects. previous may be nil.
func NextMachines(d Document, previous *Machines) (*Machines, Findings) {
	return newMachineReader(d.Name, previous).read(d)
}

// machineReader reads one document of kind machines and tracks the values that must be unique in it.
type machineReader struct {
	machines *Machines
	previous *Machines

	vms         nameLines
	targets     nameLines
	machineIDs  map[model.MachineID]string
	targetIDs   map[model.TargetID]string
	udp         map[netip.AddrPort]firstUse
	tcp         map[netip.AddrPort]firstUse
	machineHash func(name string) model.MachineID
	targetHash  func(name string) model.TargetID
}

func newMachineReader(name string, previous *Machines) *machineReader {
	if previous == nil {
		previous = &Machines{}
	}
	return &machineReader{
		machines: &Machines{
			Name:            name,
			cachedEntries:   newCache[entryRow](),
			cachedEndpoints: newCache[endpointRow](),
		},
		previous:    previous,
		vms:         make(nameLines),
		targets:     make(nameLines),
		machineIDs:  make(map[model.MachineID]string),
		targetIDs:   make(map[model.TargetID]string),
		udp:         make(map[netip.AddrPort]firstUse),
		tcp:         make(map[netip.AddrPort]firstUse),
		machineHash: model.MachineIDOf,
		targetHash:  model.TargetIDOf,
	}
}

func (r *machineReader) read(d Document) (*Machines, Findings) {
	revision, findings := read(d, KindMachines, func(m *yamldoc.Map) {
		m.Entries("entries", r.addEntry)
		m.Entries("endpoints", r.addEndpoint)
		r.readDrainingZones(m)
	})
	r.machines.Revision = revision
	return r.machines, findings
}

func (r *machineReader) addEntry(e *yamldoc.Entry) {
	row := r.machines.cachedEntries.read(r.previous.cachedEntries, e, r.readEntry)
	r.checkEntry(e, row)
	r.machines.entries = append(r.machines.entries, &row.vm)
}

func (r *machineReader) addEndpoint(e *yamldoc.Entry) {
	row := r.machines.cachedEndpoints.read(r.previous.cachedEndpoints, e, r.readEndpoint)
	r.checkEndpoint(e, row)
	r.machines.endpoints = append(r.machines.endpoints, located[endpointRow]{row: row, line: e.Line()})
}

func readZone(m *yamldoc.Map) model.Zone {
	return model.Zone{Region: m.Name("region"), Name: m.Name("zone")}
}

func readState(m *yamldoc.Map) model.MachineState {
	if m.Choice("state", "live", "leaving") == 1 {
		return model.MachineDraining
	}
	return model.MachineLive
}

func (r *machineReader) readEntry(e *yamldoc.Entry, m *yamldoc.Map) *entryRow {
	row := &entryRow{
		vm: model.EntryVM{
			Name:  m.Name("name"),
			Zone:  readZone(m),
			State: readState(m),
			Data:  m.RequiredAddress("data"),
			Peer:  m.RequiredAddress("peer"),
			Bulk:  m.RequiredAddress("bulk"),
			Ops:   m.Address("ops"),
		},
		nameLine: m.LineOf("name") - e.Line(),
		dataLine: m.LineOf("data") - e.Line(),
		peerLine: m.LineOf("peer") - e.Line(),
		bulkLine: m.LineOf("bulk") - e.Line(),
		opsLine:  m.LineOf("ops") - e.Line(),
	}
	row.vm.ID = r.machineHash(row.vm.Name)
	return row
}

func (r *machineReader) readEndpoint(e *yamldoc.Entry, m *yamldoc.Map) *endpointRow {
	row := &endpointRow{
		vm: model.EndpointVM{
			Name:    m.Name("name"),
			Zone:    readZone(m),
			State:   readState(m),
			LeaveBy: m.Time("leave_by"),
		},
		nameLine: m.LineOf("name") - e.Line(),
	}
	if row.vm.State != model.MachineDraining && m.Has("leave_by") {
		m.AddFinding("leave_by", "has an effect only with \"state: leaving\"")
	}
	m.Each("targets", func(m *yamldoc.Map) {
		t := r.readTarget(e, m, &row.vm)
		row.targets = append(row.targets, t)
		row.vm.Targets = append(row.vm.Targets, t.target)
	})
	return row
}

func (r *machineReader) readTarget(e *yamldoc.Entry, m *yamldoc.Map, vm *model.EndpointVM) targetRow {
	t := &model.Target{
		Name:           m.Name("name"),
		Service:        m.Name("service"),
		Zone:           vm.Zone,
		Draining:       vm.State == model.MachineDraining,
		LeaveBy:        vm.LeaveBy,
		Data:           m.RequiredAddress("data"),
		Report:         m.Address("report"),
		Weight:         uint32(m.Uint("weight", DefaultWeight, 1, maxWeight)),
		MaxConnections: uint32(m.Uint("max_connections", DefaultMaxConnections, 1, math.MaxUint32)),
		Slots:          uint32(m.Uint("slots", DefaultSlots, 1, math.MaxUint32)),
	}
	t.ID = r.targetHash(t.Name)
	return targetRow{
		target:      t,
		nameLine:    m.LineOf("name") - e.Line(),
		serviceLine: m.LineOf("service") - e.Line(),
		dataLine:    m.LineOf("data") - e.Line(),
	}
}

func (r *machineReader) checkEntry(e *yamldoc.Entry, row *entryRow) {
	vm, line := &row.vm, e.Line()
	r.vms.add(e, line+row.nameLine, "name", vm.Name, "machine")
	if other, taken := r.machineIDs[vm.ID]; taken && other != vm.Name {
		e.AddFinding(line+row.nameLine, "name", "machines %q and %q have the same id %d; rename one", other, vm.Name, vm.ID)
	} else {
		r.machineIDs[vm.ID] = vm.Name
	}
	checkAddress(e, r.udp, line+row.dataLine, "data", vm.Name, vm.Data)
	checkAddress(e, r.udp, line+row.peerLine, "peer", vm.Name, vm.Peer)
	checkAddress(e, r.tcp, line+row.bulkLine, "bulk", vm.Name, vm.Bulk)
	checkAddress(e, r.tcp, line+row.opsLine, "ops", vm.Name, vm.Ops)
}

func (r *machineReader) checkEndpoint(e *yamldoc.Entry, row *endpointRow) {
	r.vms.add(e, e.Line()+row.nameLine, "name", row.vm.Name, "machine")
	for i := range row.targets {
		r.checkTarget(e, i, &row.targets[i])
	}
}

func (r *machineReader) checkTarget(e *yamldoc.Entry, i int, row *targetRow) {
	t, line := row.target, e.Line()
	key := func(name string) string { return fmt.Sprintf("targets[%d].%s", i, name) }
	if first, seen := r.targets[t.Name]; seen && t.Name != "" {
		e.AddFinding(line+row.nameLine, key("name"), "target %q appears twice; first in line %d", t.Name, first)
	} else {
		r.targets[t.Name] = line + row.nameLine
	}
	if other, taken := r.targetIDs[t.ID]; taken && other != t.Name {
		e.AddFinding(line+row.nameLine, key("name"), "targets %q and %q have the same id %d; rename one", other, t.Name, t.ID)
	} else {
		r.targetIDs[t.ID] = t.Name
	}
	if first, taken := r.udp[t.Data]; taken {
		e.AddFinding(line+row.dataLine, key("data"), "%s already belongs to %q, in line %d", t.Data, first.owner, first.line)
	} else if t.Data.IsValid() {
		r.udp[t.Data] = firstUse{owner: t.Name, line: line + row.dataLine}
	}
}

// checkAddress records the address of a socket and reports an error if another socket already has it.
func checkAddress(e *yamldoc.Entry, used map[netip.AddrPort]firstUse, line int, key, owner string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	if first, taken := used[a]; taken {
		e.AddFinding(line, key, "%s already belongs to %q, in line %d", a, first.owner, first.line)
		return
	}
	used[a] = firstUse{owner: owner, line: line}
}
