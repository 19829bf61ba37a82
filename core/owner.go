package core

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// own decides on a packet of a flow that this daemon owns.
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

// touch notes a packet of a flow of the table.
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

// identify writes the ends of a flow that was known from a log alone, and counts it for its customer.
func (e *Engine) identify(a *arrival, p flow.Progress) {
	caller, service := flow.EndpointOf(a.meta.Src), flow.EndpointOf(a.meta.Dst)
	e.table.Identify(a.hash, caller, service)
	e.table.SetNumber(a.hash, a.numbering(), a.meta.Seq)
	if p.State != flow.StateClosing {
		e.countTakenOver(e.world.Load(), a.now, a.hash, caller, service)
	}
}

// repeatedSYN is how long after a flow's last packet a SYN still counts as a late repetition of the
// flow's own where the numbers do not tell; a later one opens a new flow.
const repeatedSYN = 5 * time.Second

// repeats reports whether a SYN belongs to a flow of the table. The age of the flow's last packet tells little of it: this
// daemon sees one each 10 s of a flow that others send straight to its target.
func (e *Engine) repeats(a *arrival, entry flow.Entry) bool {
	if entry.State == flow.StateClosing {
		return false
	}
	if own, known := entry.OpenedBy(a.meta.Seq); known {
		return own
	}
	return e.table.Age(a.now, entry.LastSeen) < repeatedSYN
}

// open admits and places a new flow. The repetition of a SYN gets the target of the first one.
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

// openAgain decides on a SYN between the ends of a flow of the table: a copy of the flow's own goes to its target, one of a
// flow before it is dropped. It returns false for the SYN of a new flow, which replaces the one of the table.
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
		// A predecessor may have placed the flow on its default target just now, and a daemon that does not
		// know of the change yet derives that target from this daemon's log.
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

// settlingTarget returns a new flow's default target by the log's generation, or nil where it takes no
// new flows any more.
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

// enter writes a flow into the table and, where its target is not the one that others would derive,
// into the log. It returns false for a flow that was there.
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

// needsRecord reports whether the log must name the flow: its target differs from the default of the
// log's generation, or a predecessor's log says otherwise.
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

// forget drops an owned flow.
func (e *Engine) forget(now time.Time, h model.FlowHash) {
	entry, ok := e.table.Remove(h)
	if !ok {
		return
	}
	e.ended(now, h, entry)
}

// ended undoes what enter counted. Where this daemon owns the flow, the flow is over for all daemons.
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
