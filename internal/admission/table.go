package admission

import (
	"net/netip"
	"time"

	"github.com/gaissmai/bart"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

const wordBits = 64

// Table makes the admission decisions for one Snapshot. It is safe for concurrent use.
type Table struct {
	snapshot  *model.Snapshot
	customers bart.Table[*customerAccess]
	services  map[netip.AddrPort]indexedService
}

type customerAccess struct {
	customer *model.Customer
	allowed  serviceSet
}

type indexedService struct {
	service *model.Service
	index   uint32 // index of the service in the Snapshot
}

// serviceSet is a bit set with one bit for each service of the Snapshot.
type serviceSet []uint64

func (s serviceSet) add(i uint32)           { s[i/wordBits] |= 1 << (i % wordBits) }
func (s serviceSet) contains(i uint32) bool { return s[i/wordBits]&(1<<(i%wordBits)) != 0 }

// NewTable returns the table of a Snapshot.
func NewTable(s *model.Snapshot) *Table {
	t := &Table{
		snapshot: s,
		services: make(map[netip.AddrPort]indexedService, len(s.Services)),
	}
	indexes := t.indexServices(s.Services)
	sets := allowedByPlan(s.Plans, indexes)
	for _, c := range s.Customers {
		entry := &customerAccess{customer: c, allowed: sets[c.Plan]}
		for _, p := range c.Prefixes {
			t.customers.Insert(p, entry)
		}
	}
	return t
}

func (t *Table) indexServices(services []*model.Service) map[*model.Service]uint32 {
	indexes := make(map[*model.Service]uint32, len(services))
	for i, s := range services {
		indexes[s] = uint32(i)
		for _, a := range s.Addresses {
			t.services[a] = indexedService{service: s, index: uint32(i)}
		}
	}
	return indexes
}

func allowedByPlan(plans []*model.Plan, indexes map[*model.Service]uint32) map[*model.Plan]serviceSet {
	words := (len(indexes) + wordBits - 1) / wordBits
	sets := make(map[*model.Plan]serviceSet, len(plans))
	for _, p := range plans {
		set := make(serviceSet, words)
		for _, s := range p.Services {
			set.add(indexes[s])
		}
		sets[p] = set
	}
	return sets
}

// Revisions returns the revisions of the lists that the table was built from; zero for a nil table.
func (t *Table) Revisions() model.Revisions {
	if t == nil {
		return model.Revisions{}
	}
	return t.snapshot.Revisions
}

// Admit returns the customer of a caller, the service at a destination, and errkind.None when the customer's plan
// allows the service. Otherwise the returned kind is the reason of the refusal, and the customer and the service
// are nil when they are unknown. A nil table refuses with errkind.NotReady. Admit does not allocate.
func (t *Table) Admit(caller netip.Addr, destination netip.AddrPort) (*model.Customer, *model.Service, errkind.Kind) {
	if t == nil {
		return nil, nil, errkind.NotReady
	}
	to, known := t.services[destination]
	if !known {
		return t.customer(caller), nil, errkind.NoSuchService
	}
	from, known := t.customers.Lookup(caller)
	if !known {
		return nil, to.service, errkind.UnknownCustomer
	}
	if !from.allowed.contains(to.index) {
		return from.customer, to.service, errkind.PlanForbids
	}
	return from.customer, to.service, errkind.None
}

func (t *Table) customer(caller netip.Addr) *model.Customer {
	entry, known := t.customers.Lookup(caller)
	if !known {
		return nil
	}
	return entry.customer
}

// Revocation states how to treat an open flow that the current table no longer allows.
type Revocation struct {
	// Reason is the error kind with which a new flow like this one would be refused now, or
	// errkind.PermissionRevoked when the destination address now belongs to another service.
	Reason errkind.Kind
	// Action is RevokeFinish to let the flow end by itself, or RevokeReset to reset it after Grace.
	Action model.OnRevoke
	Grace  time.Duration
}

// Revoked reports whether a flow that the previous table admitted is no longer allowed by t, and how to treat it.
// The treatment is that of the customer's plan in t, or in previous when t has no such customer.
func (t *Table) Revoked(previous *Table, caller netip.Addr, destination netip.AddrPort) (Revocation, bool) {
	customer, service, reason := t.Admit(caller, destination)
	previousCustomer, previousService, previousReason := previous.Admit(caller, destination)
	if previousReason != errkind.None {
		return Revocation{}, false
	}
	if reason == errkind.None && service.Name == previousService.Name {
		return Revocation{}, false
	}
	if reason == errkind.None {
		// The address belongs to another service now, but the flow is one of the previous service.
		reason = errkind.PermissionRevoked
	}
	plan := previousCustomer.Plan
	if customer != nil {
		plan = customer.Plan
	}
	return Revocation{Reason: reason, Action: plan.OnRevoke, Grace: plan.RevokeGrace}, true
}

// ServiceChanged reports whether a destination belonged to another service in the previous table. If so, its open
// flows must stay with the targets of the previous service.
func (t *Table) ServiceChanged(previous *Table, destination netip.AddrPort) bool {
	if t == nil || previous == nil {
		return false
	}
	old, existed := previous.services[destination]
	current, exists := t.services[destination]
	return existed && exists && old.service.Name != current.service.Name
}
