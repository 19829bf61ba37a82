package placement

import (
	"github.com/fireflypin/fireflypin/model"
)

// Table is the placement table of one Generation. It is immutable and safe for concurrent use.
type Table struct {
	generation model.Generation
	services   map[string]*ServiceTable
}

// NewTable returns the table of a Snapshot. It includes zones that have only entry VMs, so that a flow whose home
// zone has failed still gets an owner.
func NewTable(s *model.Snapshot) *Table {
	zones := entryZones(s.Entries)
	t := &Table{
		generation: s.Generation(),
		services:   make(map[string]*ServiceTable, len(s.Services)),
	}
	for _, svc := range s.Services {
		t.services[svc.Name] = newServiceTable(svc, zones)
	}
	return t
}

// Generation returns the revisions that the table was derived from.
func (t *Table) Generation() model.Generation {
	return t.generation
}

// Service returns the table of the service with the name of s, or nil when the generation has none.
func (t *Table) Service(s *model.Service) *ServiceTable {
	if s == nil {
		return nil
	}
	return t.services[s.Name]
}

// Services calls visit for the table of each service, in no particular order.
func (t *Table) Services(visit func(st *ServiceTable)) {
	for _, st := range t.services {
		visit(st)
	}
}
