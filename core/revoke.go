package core

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// revocations holds the owned flows that the lists no longer allow and whose plan has them reset.
type revocations struct {
	// waiting is the number of flows in resetAt, so that packets seldom take the lock.
	waiting atomic.Int64
	mu      sync.Mutex
	resetAt map[model.FlowHash]time.Time
}

// set notes when a flow is to be reset; an earlier time stays.
func (r *revocations) set(h model.FlowHash, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.resetAt[h]; !known {
		r.resetAt[h] = at
		r.waiting.Store(int64(len(r.resetAt)))
	}
}

// clear forgets a flow that is over or allowed again.
func (r *revocations) clear(h model.FlowHash) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.resetAt, h)
	r.waiting.Store(int64(len(r.resetAt)))
}

// due reports whether a flow is to be reset now.
func (r *revocations) due(now time.Time, h model.FlowHash) bool {
	if r.waiting.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.resetAt[h]
	return known && !now.Before(at)
}

// revoke looks through the owned flows after a change of lists. A flow that is no longer allowed goes on, or
// is reset after a grace, as the customer's plan in force says; where the customer is gone, its plan before
// does.
func (e *Engine) revoke(now time.Time, before, w *world) {
	e.table.Each(func(h model.FlowHash, entry flow.Entry) {
		if !entry.Identified() || entry.State == flow.StateClosing {
			return
		}
		plan, revoked := w.revokedBy(before, entry)
		switch {
		case !revoked:
			e.revoked.clear(h)
		case plan != nil && plan.OnRevoke == model.RevokeReset:
			e.revoked.set(h, now.Add(plan.RevokeGrace))
		}
	})
}

// revokedBy reports whether a flow is no longer allowed, and the plan that says what becomes of it; nil for a
// flow that no known customer has opened.
func (w *world) revokedBy(before *world, entry flow.Entry) (*model.Plan, bool) {
	caller, service := entry.Caller.AddrPort().Addr(), entry.Service.AddrPort()
	customer, svc, kind := w.admitter.Admit(caller, service)
	if kind == errkind.None && w.serves(svc, entry.Target) {
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

// serves reports whether a target belongs to a service; a target that no kept list names counts as one.
func (w *world) serves(svc *model.Service, id model.TargetID) bool {
	t := w.targets[id]
	return t == nil || t.Service == svc.Name
}

// resetRevoked ends a flow whose grace is over: the caller's packet is answered with a reset, and the target
// gets one too.
func (e *Engine) resetRevoked(w *world, a *arrival, id model.TargetID) Verdict {
	e.forget(a.now, a.hash)
	v := e.refuse(errkind.PermissionRevoked, a)
	if t := w.targets[id]; t != nil {
		v.To = t.Data
	}
	return v
}
