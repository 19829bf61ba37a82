package owners

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// handleOwned decides on a packet of a flow that this daemon owns.
func (e *Engine) handleOwned(rs *routingState, a *arrival) Verdict {
	if a.opens() {
		return e.openFlow(rs, a)
	}
	entry, ok := e.recordPacket(a)
	switch {
	case !ok:
		return e.handleUnknown(rs, a)
	case !a.closes() && e.revoked.due(a.now, a.hash):
		return e.resetRevoked(rs, a, entry.Target)
	default:
		return e.toTarget(rs, entry.Target)
	}
}

// recordPacket updates a flow of the table from one of its packets.
func (e *Engine) recordPacket(a *arrival) (flow.Progress, bool) {
	entry, before, ok := e.advanceState(a.now, a.hash, a.state())
	if ok {
		e.recordEstablished(a, entry, before)
	}
	if ok && !entry.Identified {
		e.identify(a, entry)
	}
	return entry, ok
}

// identify sets the addresses of a flow that was only known from a log, and counts the flow for its
// customer.
func (e *Engine) identify(a *arrival, p flow.Progress) {
	caller, service := flow.PackAddrPort(a.meta.Src), flow.PackAddrPort(a.meta.Dst)
	e.table.Identify(a.hash, caller, service)
	e.table.SetSeqNumber(a.hash, a.seqKind(), a.meta.Seq)
	if p.State != flow.StateClosing {
		e.countTakenOver(e.routingState.Load(), a.now, a.hash, caller, service)
	}
}

// duplicateSYNWindow is how long after a flow's last packet a SYN still counts as a late duplicate of the
// flow's own one if the sequence numbers are not known. A later SYN opens a new flow.
const duplicateSYNWindow = 5 * time.Second

// isDuplicateSYN reports whether a SYN belongs to the given flow of the table. The sequence numbers decide
// if they are known. The time since the flow's last packet is only a fallback: this daemon receives one
// packet per 10 s of a flow that other daemons send straight to its target.
func (e *Engine) isDuplicateSYN(a *arrival, entry flow.Entry) bool {
	if entry.State == flow.StateClosing {
		return false
	}
	if own, known := entry.OwnsSYN(a.meta.Seq); known {
		return own
	}
	return e.table.Age(a.now, entry.LastSeen) < duplicateSYNWindow
}

// openFlow admits and places a new flow. A duplicate SYN gets the target of the first one.
func (e *Engine) openFlow(rs *routingState, a *arrival) Verdict {
	if !e.leaseValid(a.now) {
		return drop(errkind.NotReady)
	}
	if v, done := e.handleKnownSYN(rs, a); done {
		return v
	}
	customer, service, kind := rs.admitter.Admit(a.meta.Src.Addr(), a.meta.Dst)
	if kind != errkind.None {
		return e.refuse(kind, a)
	}
	ad := core.Admission{Customer: customer, Service: service}
	if kind := e.limits.Open(a.now, ad); kind != errkind.None {
		return e.refuse(kind, a)
	}
	e.placementMu.RLock()
	defer e.placementMu.RUnlock()
	target, kind := e.chooseTarget(rs, a)
	if kind != errkind.None {
		e.limits.Close(a.now, customer)
		return e.refuse(kind, a)
	}
	v, added := e.addFlow(rs, a, target, flow.StateHalfOpen)
	if !added {
		e.limits.Close(a.now, customer)
		return v
	}
	e.countOpened(a.now, a.hash, customer)
	return v
}

// handleKnownSYN decides on a SYN with the addresses of a flow of the table. A duplicate of that flow's
// SYN goes to the flow's target; a duplicate of the SYN of an earlier flow that it replaced is dropped. It
// returns false for the SYN of a new flow, after removing the old flow from the table.
func (e *Engine) handleKnownSYN(rs *routingState, a *arrival) (Verdict, bool) {
	entry, ok := e.table.Get(a.hash)
	if !ok {
		return Verdict{}, false
	}
	e.recordDuplicateSYN(a, entry)
	switch {
	case e.isDuplicateSYN(a, entry):
		return e.toTarget(rs, entry.Target), true
	case entry.ReplacedSYN(a.meta.Seq):
		return drop(errkind.PacketOutdated), true
	}
	if entry.SeqKind == flow.SeqInitial {
		a.replacedSYN = entry.SeqNumber
	}
	e.removeFlow(a.now, a.hash)
	return Verdict{}, false
}

func (e *Engine) refuse(k errkind.Kind, a *arrival) Verdict {
	return refuse(k, a.hash)
}

// chooseTarget chooses the target of a new flow.
func (e *Engine) chooseTarget(rs *routingState, a *arrival) (*model.Target, errkind.Kind) {
	if e.inTransition.Load() {
		// A previous owner may just have placed the flow on its default target, and a daemon that does not
		// know yet that the owners changed derives that target from this daemon's log.
		if t := rs.transitionTarget(e.log.Generation(), a); t != nil {
			return t, errkind.None
		}
	}
	_, st := rs.newestResolver().service(a.meta.Dst)
	if st == nil {
		return nil, errkind.NoTargetReachable
	}
	return e.policy.Choose(a.now, a.hash, st, e.loads)
}

// transitionTarget returns the target that a new flow gets during an ownership transition: its default
// target by the log's generation, or nil if that target accepts no new flows any more.
func (rs *routingState) transitionTarget(g model.Generation, a *arrival) *model.Target {
	resolver := rs.resolverOf(g)
	if resolver == nil {
		resolver = rs.newestResolver()
	}
	t := resolver.defaultTarget(a.meta.Dst, a.hash)
	if t == nil {
		return nil
	}
	if current := rs.snapshot.Target(t.ID); current == nil || !current.TakesNewFlows() {
		return nil
	}
	return t
}

// addFlow adds a flow to the table and, if its target is not the one that other daemons would derive, to the
// log. It returns false if the flow was already in the table.
func (e *Engine) addFlow(rs *routingState, a *arrival, t *model.Target, s flow.State) (v Verdict, added bool) {
	entry, added := e.table.Insert(a.now, a.hash, flow.Entry{
		Caller:  flow.PackAddrPort(a.meta.Src),
		Service: flow.PackAddrPort(a.meta.Dst),
		Target:  t.ID,
		State:   s,

		SeqKind:     a.seqKind(),
		SeqNumber:   a.meta.Seq,
		ReplacedISN: a.replacedSYN,
	})
	if !added {
		return e.toTarget(rs, entry.Target), false
	}
	e.loads.Opened(t.ID)
	if e.needsRecord(rs, a, t.ID) {
		e.table.SetException(a.hash, true)
		e.log.Add(a.hash, t.ID)
	}
	return forwardToTarget(t), true
}

// needsRecord reports whether the log must have a record of the flow: its target differs from the default
// one of the log's generation, or from the one in a previous owner's log.
func (e *Engine) needsRecord(rs *routingState, a *arrival, id model.TargetID) bool {
	if logged, ok := e.replicas.Find(a.hash, e.rank(rs, a.hash)); ok && logged != id {
		return true
	}
	resolver := rs.resolverOf(e.log.Generation())
	if resolver == nil {
		return true
	}
	t := resolver.defaultTarget(a.meta.Dst, a.hash)
	return t == nil || t.ID != id
}

// removeFlow removes a flow from the table.
func (e *Engine) removeFlow(now time.Time, h model.FlowHash) {
	entry, ok := e.table.Remove(h)
	if !ok {
		return
	}
	e.releaseFlow(now, h, entry)
}

// releaseFlow releases what is recorded for a flow that was removed from the table. If this daemon owns the
// flow, the flow has ended for all daemons.
func (e *Engine) releaseFlow(now time.Time, h model.FlowHash, entry flow.Entry) {
	e.releaseLoad(entry)
	e.uncount(now, h)
	e.revoked.clear(h)
	e.log.Remove(h)
	rs := e.routingState.Load()
	if owner := rs.owner(h); owner != nil && owner.ID == e.cfg.Self {
		e.replicas.RemoveFlow(h)
	}
}
