package owners

import (
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// countedShards is the number of shards of countedFlows.
const countedShards = 64

// countedFlows records for which customer each flow is counted in Limits, so that its end is counted for the
// same customer after the lists have changed. A flow has at most one record; whoever removes the record
// closes the flow in Limits.
type countedFlows struct {
	shards [countedShards]countedShard
	// customers holds one customer per name with only the name set, so that a record does not keep old lists
	// in memory.
	customers sync.Map
}

type countedShard struct {
	mu    sync.Mutex
	flows map[model.FlowHash]*model.Customer
}

func newCountedFlows() *countedFlows {
	c := &countedFlows{}
	for i := range c.shards {
		c.shards[i].flows = make(map[model.FlowHash]*model.Customer)
	}
	return c
}

func (c *countedFlows) shard(h model.FlowHash) *countedShard {
	return &c.shards[h>>58]
}

// add records a flow; it returns false if the flow already has a record.
func (c *countedFlows) add(h model.FlowHash, customer *model.Customer) bool {
	named, _ := c.customers.LoadOrStore(customer.Name, &model.Customer{Name: customer.Name})
	s := c.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[h] != nil {
		return false
	}
	s.flows[h] = named.(*model.Customer)
	return true
}

// remove deletes the record of a flow and returns its customer, or nil if there was none.
func (c *countedFlows) remove(h model.FlowHash) *model.Customer {
	s := c.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	customer := s.flows[h]
	delete(s.flows, h)
	return customer
}

// has reports whether a flow has a record.
func (c *countedFlows) has(h model.FlowHash) bool {
	s := c.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flows[h] != nil
}

// countOpened records a flow of the table that Limits.Open has counted.
func (e *Engine) countOpened(now time.Time, h model.FlowHash, customer *model.Customer) {
	if !e.counted.add(h, customer) {
		e.limits.Close(now, customer)
	}
	e.uncountEnded(now, h)
}

// countTakenOver counts a flow of the table that another owner admitted, if this daemon owns the flow now;
// each flow is counted by its owner. The customer is taken from the current lists; a flow without a customer
// is not counted.
func (e *Engine) countTakenOver(rs *routingState, now time.Time, h model.FlowHash, caller, service flow.PackedAddrPort) {
	if !e.owns(rs, h) {
		return
	}
	customer, _, _ := rs.admitter.Admit(caller.AddrPort().Addr(), service.AddrPort())
	if customer == nil || e.counted.has(h) {
		return
	}
	e.limits.TakeOver(now, customer)
	e.countOpened(now, h, customer)
}

// uncountEnded closes a flow in Limits that ended while it was being counted.
func (e *Engine) uncountEnded(now time.Time, h model.FlowHash) {
	if entry, ok := e.table.Get(h); !ok || entry.State == flow.StateClosing {
		e.uncount(now, h)
	}
}

// uncount closes a flow in Limits, at most once.
func (e *Engine) uncount(now time.Time, h model.FlowHash) {
	if customer := e.counted.remove(h); customer != nil {
		e.limits.Close(now, customer)
	}
}

// owns reports whether this daemon owns a flow.
func (e *Engine) owns(rs *routingState, h model.FlowHash) bool {
	owner := rs.owner(h)
	return owner != nil && owner.ID == e.cfg.Self
}

// recount makes the counted flows match the flows that this daemon owns. After a change of the owners the
// table still holds flows that another owner counts now.
func (e *Engine) recount(now time.Time, rs *routingState) {
	var lost []model.FlowHash
	gained := make(map[model.FlowHash]flow.Entry)
	e.table.Each(func(h model.FlowHash, entry flow.Entry) {
		switch {
		case !e.owns(rs, h):
			lost = append(lost, h)
		case entry.Identified() && entry.State != flow.StateClosing && !e.counted.has(h):
			gained[h] = entry
		}
	})
	for _, h := range lost {
		e.uncount(now, h)
	}
	for h, entry := range gained {
		e.countTakenOver(rs, now, h, entry.Caller, entry.Service)
	}
}
