package core

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// own decides about a packet of a flow that this daemon owns.
func (e *Engine) own(w *world, a *arrival) Verdict {
	if a.opens() {
		return e.open(w, a)
	}
	entry, ok := e.touch(a)
	switch {
	case !ok:
		return e.carryOn(w, a)
	case !a.closes() && e.revoked.due(a.now, a.hash):
		return e.resetRevoked(w, a, entry.Target)
	default:
		return e.toTarget(w, entry.Target)
	}
}

// touch updates a flow of the table from one of its packets.
func (e *Engine) touch(a *arrival) (flow.Progress, bool) {
	entry, before, ok := e.advance(a.now, a.hash, a.state())
	if ok {
		e.noteEstablished(a, entry, before)
	}
	if ok && !entry.Identified {
		e.identify(a, entry)
	}
	return entry, ok
}

// identify sets the addresses of a flow that was only known from a log, and counts the flow for its
// customer.
func (e *Engine) identify(a *arrival, p flow.Progress) {
	caller, service := flow.EndpointOf(a.meta.Src), flow.EndpointOf(a.meta.Dst)
	e.table.Identify(a.hash, caller, service)
	e.table.SetNumber(a.hash, a.numbering(), a.meta.Seq)
	if p.State != flow.StateClosing {
		e.countTakenOver(e.world.Load(), a.now, a.hash, caller, service)
	}
}

// repeatedSYN is how long after a flow's last packet a SYN still counts as a late duplicate of the flow's
// own one if the sequence numbers are not known. A later SYN opens a new flow.
const repeatedSYN = 5 * time.Second

// repeats reports whether a SYN belongs to the given flow of the table. The sequence numbers decide if they
// are known. The time since the flow's last packet is only a fallback: this daemon receives one packet per
// 10 s of a flow that other daemons send straight to its target.
func (e *Engine) repeats(a *arrival, entry flow.Entry) bool {
	if entry.State == flow.StateClosing {
		return false
	}
	if own, known := entry.OpenedBy(a.meta.Seq); known {
		return own
	}
	return e.table.Age(a.now, entry.LastSeen) < repeatedSYN
}

// open admits and places a new flow. A duplicate SYN gets the target of the first one.
func (e *Engine) open(w *world, a *arrival) Verdict {
	if !e.fresh(a.now) {
		return drop(errkind.NotReady)
	}
	if v, done := e.openAgain(w, a); done {
		return v
	}
	customer, service, kind := w.admitter.Admit(a.meta.Src.Addr(), a.meta.Dst)
	if kind != errkind.None {
		return e.refuse(kind, a)
	}
	ad := Admission{Customer: customer, Service: service}
	if kind := e.limits.Open(a.now, ad); kind != errkind.None {
		return e.refuse(kind, a)
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	target, kind := e.place(w, a)
	if kind != errkind.None {
		e.limits.Close(a.now, customer)
		return e.refuse(kind, a)
	}
	v, added := e.enter(w, a, target, flow.StateOpening)
	if !added {
		e.limits.Close(a.now, customer)
		return v
	}
	e.countOpened(a.now, a.hash, customer)
	return v
}

// openAgain decides about a SYN with the addresses of a flow of the table. A duplicate of the flow's own SYN
// goes to its target; a duplicate from the flow that this one replaced is dropped. It returns false for the
// SYN of a new flow, after removing the old flow from the table.
func (e *Engine) openAgain(w *world, a *arrival) (Verdict, bool) {
	entry, ok := e.table.Get(a.hash)
	if !ok {
		return Verdict{}, false
	}
	e.noteRepeatedSYN(a, entry)
	switch {
	case e.repeats(a, entry):
		return e.toTarget(w, entry.Target), true
	case entry.Replaced(a.meta.Seq):
		return drop(errkind.PacketOutdated), true
	}
	if entry.Numbering == flow.NumberOpening {
		a.earlier = entry.Number
	}
	e.forget(a.now, a.hash)
	return Verdict{}, false
}

func (e *Engine) refuse(k errkind.Kind, a *arrival) Verdict {
	return refuse(k, a.hash)
}

// place chooses the target of a new flow.
func (e *Engine) place(w *world, a *arrival) (*model.Target, errkind.Kind) {
	if e.unsettled.Load() {
		// A previous owner may just have placed the flow on its default target, and a daemon that has not
		// yet received the change derives that target from this daemon's log.
		if t := w.settlingTarget(e.log.Generation(), a); t != nil {
			return t, errkind.None
		}
	}
	_, st := w.newest().service(a.meta.Dst)
	if st == nil {
		return nil, errkind.NoTargetReachable
	}
	return e.policy.Choose(a.now, a.hash, st, e.loads)
}

// settlingTarget returns the target that a new flow gets during an ownership transition: its default target
// by the log's generation, or nil if that target accepts no new flows any more.
func (w *world) settlingTarget(g model.Generation, a *arrival) *model.Target {
	route := w.routeOf(g)
	if route == nil {
		route = w.newest()
	}
	t := route.defaultTarget(a.meta.Dst, a.hash)
	if t == nil {
		return nil
	}
	if now := w.snapshot.Target(t.ID); now == nil || now.Leaving {
		return nil
	}
	return t
}

// enter adds a flow to the table and, if its target is not the one that other daemons would derive, to the
// log. It returns false if the flow was already in the table.
func (e *Engine) enter(w *world, a *arrival, t *model.Target, s flow.State) (v Verdict, added bool) {
	entry, added := e.table.Insert(a.now, a.hash, flow.Entry{
		Caller:  flow.EndpointOf(a.meta.Src),
		Service: flow.EndpointOf(a.meta.Dst),
		Target:  t.ID,
		State:   s,

		Numbering: a.numbering(),
		Number:    a.meta.Seq,
		Earlier:   a.earlier,
	})
	if !added {
		return e.toTarget(w, entry.Target), false
	}
	e.loads.Opened(t.ID)
	if e.needsRecord(w, a, t.ID) {
		e.table.SetException(a.hash, true)
		e.log.Add(a.hash, t.ID)
	}
	return forward(t), true
}

// needsRecord reports whether the log must have a record of the flow: its target differs from the default
// one of the log's generation, or from the one in a previous owner's log.
func (e *Engine) needsRecord(w *world, a *arrival, id model.TargetID) bool {
	if told, ok := e.copies.Find(a.hash, e.rank(w, a.hash)); ok && told != id {
		return true
	}
	route := w.routeOf(e.log.Generation())
	if route == nil {
		return true
	}
	t := route.defaultTarget(a.meta.Dst, a.hash)
	return t == nil || t.ID != id
}

// forget removes a flow from the table.
func (e *Engine) forget(now time.Time, h model.FlowHash) {
	entry, ok := e.table.Remove(h)
	if !ok {
		return
	}
	e.ended(now, h, entry)
}

// ended releases what is recorded for a flow that was removed from the table. If this daemon owns the flow,
// the flow has ended for all daemons.
func (e *Engine) ended(now time.Time, h model.FlowHash, entry flow.Entry) {
	e.unload(entry)
	e.uncount(now, h)
	e.revoked.clear(h)
	e.log.Remove(h)
	w := e.world.Load()
	if owner := w.owner(h); owner != nil && owner.ID == e.cfg.Self {
		e.copies.Ended(h)
	}
}
