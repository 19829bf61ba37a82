package model

import "net/netip"

// Revisions holds the revision of each published list that a Snapshot was built from. A revision
// never decreases.
type Revisions struct {
	Customers uint64
	Plans     uint64
	Machines  uint64
}

// Covers reports whether r is at least as new as o in every list.
func (r Revisions) Covers(o Revisions) bool {
	return r.Customers >= o.Customers && r.Plans >= o.Plans && r.Machines >= o.Machines
}

// Generation holds the revisions that determine default targets. Two daemons that use the same
// Generation derive the same default target for a flow.
type Generation struct {
	Plans    uint64
	Machines uint64
}

// Parts holds the validated lists of a Snapshot.
type Parts struct {
	Revisions Revisions
	Customers []*Customer
	Plans     []*Plan
	Services  []*Service
	Entries   []*EntryVM
	Endpoints []*EndpointVM
	// Routes say which services take new flows to an address; there is one per address.
	Routes []*Route
	// DrainingZones are the names of the availability zones that operators drain, sorted.
	DrainingZones []string
	// PreviousTargets are targets that are no longer published but may still have open flows.
	PreviousTargets []*Target
}

// Snapshot is one consistent set of the published lists.
type Snapshot struct {
	Parts

	routeByAddress   map[netip.AddrPort]*Route
	serviceByAddress map[netip.AddrPort]*Service
	targetByID       map[TargetID]*Target
	targetByData     map[netip.AddrPort]*Target
	entryByID        map[MachineID]*EntryVM
}

// NewSnapshot indexes validated lists without routes. It takes ownership of the slices: the caller must
// not change them afterwards.
func NewSnapshot(rev Revisions, customers []*Customer, plans []*Plan, services []*Service, entries []*EntryVM, endpoints []*EndpointVM) *Snapshot {
	return NewRoutedSnapshot(Parts{
		Revisions: rev,
		Customers: customers,
		Plans:     plans,
		Services:  services,
		Entries:   entries,
		Endpoints: endpoints,
	})
}

// NewRoutedSnapshot indexes validated lists. It takes ownership of the slices: the caller must not change
// them afterwards.
func NewRoutedSnapshot(p Parts) *Snapshot {
	s := &Snapshot{
		Parts:            p,
		routeByAddress:   make(map[netip.AddrPort]*Route, len(p.Routes)),
		serviceByAddress: make(map[netip.AddrPort]*Service),
		targetByID:       make(map[TargetID]*Target),
		targetByData:     make(map[netip.AddrPort]*Target),
		entryByID:        make(map[MachineID]*EntryVM),
	}
	for _, r := range p.Routes {
		s.routeByAddress[r.Address] = r
	}
	for _, svc := range p.Services {
		s.indexService(svc)
	}
	for _, e := range p.Entries {
		s.entryByID[e.ID] = e
	}
	return s
}

// RouteAt returns the route of a destination, or nil.
func (s *Snapshot) RouteAt(a netip.AddrPort) *Route {
	return s.routeByAddress[a]
}

func (s *Snapshot) indexService(svc *Service) {
	for _, a := range svc.Addresses {
		s.serviceByAddress[a] = svc
	}
	for _, t := range svc.Targets {
		s.targetByID[t.ID] = t
		s.targetByData[t.Data] = t
	}
}

// Generation returns the revisions that determine default targets.
func (s *Snapshot) Generation() Generation {
	return Generation{Plans: s.Revisions.Plans, Machines: s.Revisions.Machines}
}

// ServiceAt returns the service with a destination address, or nil.
func (s *Snapshot) ServiceAt(a netip.AddrPort) *Service {
	return s.serviceByAddress[a]
}

// Target returns the target with an id, or nil.
func (s *Snapshot) Target(id TargetID) *Target {
	return s.targetByID[id]
}

// TargetAt returns the target that receives packets at a data address, or nil.
func (s *Snapshot) TargetAt(a netip.AddrPort) *Target {
	return s.targetByData[a]
}

// Entry returns the entry VM with an id, or nil.
func (s *Snapshot) Entry(id MachineID) *EntryVM {
	return s.entryByID[id]
}
