package daemon

import (
	"net/netip"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// admitter looks customers up in a snapshot.
type admitter struct {
	snapshot *model.Snapshot
}

func newAdmitter(s *model.Snapshot) core.Admitter {
	return admitter{snapshot: s}
}

// Admit implements core.Admitter.
func (a admitter) Admit(caller netip.Addr, service netip.AddrPort) (core.Admission, errkind.Kind) {
	svc := a.snapshot.ServiceAt(service)
	if svc == nil {
		return core.Admission{}, errkind.NoSuchService
	}
	customer := a.customer(caller)
	if customer == nil {
		return core.Admission{}, errkind.UnknownCustomer
	}
	if !customer.Plan.Allows(svc) {
		return core.Admission{}, errkind.PlanForbids
	}
	return core.Admission{Customer: customer, Service: svc}, errkind.None
}

func (a admitter) customer(caller netip.Addr) *model.Customer {
	for _, c := range a.snapshot.Customers {
		for _, p := range c.Prefixes {
			if p.Contains(caller) {
				return c
			}
		}
	}
	return nil
}
