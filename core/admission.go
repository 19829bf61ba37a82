package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// Admission is the customer that opened a flow and the service it was opened to.
type Admission struct {
	Customer *model.Customer
	Service  *model.Service
}

// Admitter decides which callers may use which services. It belongs to one set of lists and is immutable.
type Admitter interface {
	// Admit returns errkind.None with the customer and the service. Otherwise it returns NoSuchService,
	// UnknownCustomer or PlanForbids, with the customer or the service nil if it was not found.
	Admit(caller netip.Addr, service netip.AddrPort) (*model.Customer, *model.Service, errkind.Kind)
}

// Limits enforces customers' limits on flows. It must be safe for concurrent use.
type Limits interface {
	// Open counts a new flow, or returns the kind of the limit that the flow would exceed.
	Open(now time.Time, a Admission) errkind.Kind
	// TakeOver counts a customer's open flow that another owner admitted. It never refuses.
	TakeOver(now time.Time, c *model.Customer)
	// Close counts the end of a flow that Open or TakeOver has counted, once for each. Only the name of the
	// customer is set.
	Close(now time.Time, c *model.Customer)
}

// NoLimits refuses no flow.
type NoLimits struct{}

// Open implements Limits.
func (NoLimits) Open(time.Time, Admission) errkind.Kind { return errkind.None }

// TakeOver implements Limits.
func (NoLimits) TakeOver(time.Time, *model.Customer) {}

// Close implements Limits.
func (NoLimits) Close(time.Time, *model.Customer) {}
