package owners

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// revocations holds the owned flows that the lists no longer allow and that the customer's plan resets.
type revocations struct {
	// pending is the number of flows in resetAt; while it is 0, packets need not take the lock.
	pending atomic.Int64
	mu      sync.Mutex
	resetAt map[model.FlowHash]time.Time
}

// set schedules the reset of a flow; if one is already scheduled, its time is kept.
func (r *revocations) set(h model.FlowHash, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.resetAt[h]; !known {
		r.resetAt[h] = at
		r.pending.Store(int64(len(r.resetAt)))
	}
}

// clear cancels the reset of a flow that has ended or is allowed again.
func (r *revocations) clear(h model.FlowHash) {
	if r.pending.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.resetAt, h)
	r.pending.Store(int64(len(r.resetAt)))
}

// due reports whether a flow's reset is due.
func (r *revocations) due(now time.Time, h model.FlowHash) bool {
	if r.pending.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.resetAt[h]
	return known && !now.Before(at)
}

// revoke checks the owned flows after a change of the lists. A flow that is no longer allowed continues, or
// is reset after a grace period, as the customer's current plan says, or its last plan if the customer was
// removed.
func (e *Engine) revoke(now time.Time, before, rs *routingState) {
	e.table.Each(func(h model.FlowHash, entry flow.Entry) {
		if !entry.Identified() || entry.State == flow.StateClosing {
			return
		}
		plan, revoked := rs.revokedBy(before, entry)
		switch {
		case !revoked:
			e.revoked.clear(h)
		case plan != nil && plan.OnRevoke == model.RevokeReset:
			e.revoked.set(h, now.Add(plan.RevokeGrace))
		}
	})
}

// revokedBy reports whether a flow is no longer allowed, and returns the plan that says whether the flow is
// reset; nil if no known customer opened the flow.
func (rs *routingState) revokedBy(before *routingState, entry flow.Entry) (*model.Plan, bool) {
	caller, service := entry.Caller.AddrPort().Addr(), entry.Service.AddrPort()
	customer, svc, kind := rs.admitter.Admit(caller, service)
	if kind == errkind.None && rs.serves(svc, entry.Target) {
		return nil, false
	}
	if customer == nil {
		customer, _, _ = before.admitter.Admit(caller, service)
	}
	if customer == nil {
		return nil, true
	}
	return customer.Plan, true
}

// serves reports whether a target belongs to a service. It returns true for a target that no retained list
// has.
func (rs *routingState) serves(svc *model.Service, id model.TargetID) bool {
	t := rs.targets[id]
	return t == nil || t.Service == svc.Name
}

// resetRevoked ends a flow whose grace period is over: both the caller and the target get a reset.
func (e *Engine) resetRevoked(rs *routingState, a *arrival, id model.TargetID) Verdict {
	e.removeFlow(a.now, a.hash)
	v := e.refuse(errkind.PermissionRevoked, a)
	if t := rs.targets[id]; t != nil {
		v.To = t.Data
	}
	return v
}
