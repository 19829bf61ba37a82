package core

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// delegation holds the flows that this daemon owns and does not know while a change of the members
// settles. Their packets go to the former owners; the flows are taken in when the change has settled.
type delegation struct {
	mu sync.Mutex
	// active is true while further flows may be added.
	active bool
	flows  map[model.FlowHash]delegatedFlow
	// appeared names the daemons, this one among them, that became owners in the change.
	appeared []model.MachineID
	// ceased names the daemons that were owners before the change.
	ceased []flow.Peer
}

// delegatedFlow is a flow whose packets are left to its former owner.
type delegatedFlow struct {
	key packet.FlowKey
	// former is 0 where the flow's order alone tells.
	former model.MachineID
	// covered is the owner whose log last covered the flow at the daemon that met it; 0 for none.
	covered flow.Incarnated
}

// delegate leaves a packet of a flow that is unknown here to the daemon that may know the flow. It
// returns false where this daemon has to decide itself.
func (e *Engine) delegate(w *world, a *arrival) (Verdict, bool) {
	if a.hops >= maxHops {
		return Verdict{}, false
	}
	if !e.fresh(a.now) {
		return e.delegateStale(w, a)
	}
	if former := e.formerOwner(w, a); former != nil {
		return delegateTo(former, a), true
	}
	if late := e.lateOwner(w, a); late != nil {
		return hopTo(late, a), true
	}
	return Verdict{}, false
}

// delegateStale passes a packet on without remembering the flow: this daemon was paused.
func (e *Engine) delegateStale(w *world, a *arrival) (Verdict, bool) {
	other := e.firstOther(w, a.hash, anyone)
	if other == nil {
		return Verdict{}, false
	}
	return delegateTo(other, a), true
}

func delegateTo(former *model.EntryVM, a *arrival) Verdict {
	return hopWith(former, wire.HopMeta{Hops: a.hops + 1, Known: a.known, Delegated: true, Former: uint32(a.former)})
}

// formerOwner notes a flow that is left to its former owner while a change of the members settles, and
// returns that owner. Where only others appeared, one of them may have owned the flow on the other side
// of a partition; where this daemon appeared itself, one that did not may have.
func (e *Engine) formerOwner(w *world, a *arrival) *model.EntryVM {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if f, ok := e.delegated.flows[a.hash]; ok && w.view.Here(f.former) {
		return w.snapshot.Entry(f.former)
	}
	if !e.delegated.active {
		return nil
	}
	former := e.coveringOwner(w, a)
	if former == nil {
		former = e.ownerBefore(w, a.hash, 0)
	}
	if former != nil {
		e.delegated.flows[a.hash] = delegatedFlow{key: a.meta.Key(), former: former.ID, covered: a.former}
	}
	return former
}

// ownerBefore returns the daemon that owned a flow before the change, or nil. It is the first in the
// flow's order that was an owner and can be reached: one that still is, or one that leaves and whose log
// may not have arrived here in full. The daemon that asks, 0 for none, does not count. Where this daemon was an owner itself, it is one that comes before it.
func (e *Engine) ownerBefore(w *world, h model.FlowHash, asker model.MachineID) *model.EntryVM {
	appeared := func(id model.MachineID) bool {
		return id != asker && slices.Contains(e.delegated.appeared, id)
	}
	remained := func(id model.MachineID) bool { return id != asker && !appeared(id) }
	if appeared(e.cfg.Self) {
		return e.earlier(w, h, e.firstOther(w, h, remained), e.firstCeased(w, h, lastRank))
	}
	if leaver := e.firstCeased(w, h, w.rank(h, e.cfg.Self)); leaver != nil {
		return leaver
	}
	return e.firstOther(w, h, appeared)
}

// firstCeased returns the daemon that ceased to be an owner in the change, can be reached and comes first
// in the flow's order, before a rank; or nil.
func (e *Engine) firstCeased(w *world, h model.FlowHash, before uint64) *model.EntryVM {
	var first *model.EntryVM
	for _, p := range e.delegated.ceased {
		if r := w.rank(h, p.ID); p.ID != e.cfg.Self && w.runs(p) && r < before {
			first, before = w.snapshot.Entry(p.ID), r
		}
	}
	return first
}

// earlier returns the one of two daemons that comes first in a flow's order; either may be nil.
func (e *Engine) earlier(w *world, h model.FlowHash, a, b *model.EntryVM) *model.EntryVM {
	if a == nil || (b != nil && w.rank(h, b.ID) < w.rank(h, a.ID)) {
		return b
	}
	return a
}

// decideFor decides on a packet of a flow that another daemon owns but does not know. The flow enters
// this daemon's log, from which the owner learns of it.
func (e *Engine) decideFor(w *world, a *arrival, owner model.MachineID) Verdict {
	if entry, ok := e.touch(a); ok {
		return e.toTarget(w, entry.Target)
	}
	if a.former == 0 {
		a.former = e.seen.Former(a.hash)
	}
	rank := func(id model.MachineID) uint64 {
		if id == owner {
			return lastRank
		}
		return w.rank(a.hash, id)
	}
	if _, named := e.copies.Find(a.hash, rank); !named {
		if former := e.formerlyHere(w, a, owner); former != nil {
			return delegateTo(former, a)
		}
	}
	t, sure := e.resolveFrom(w, a, e.predecessor(w, a, rank), rank)
	if !sure && a.hops < maxHops {
		other := e.firstOther(w, a.hash, func(id model.MachineID) bool { return id != owner })
		if other != nil {
			return delegateTo(other, a)
		}
	}
	if !sure && !e.ready.Load() {
		// This daemon has just started; its guess is worse than a repetition of the packet.
		return drop(errkind.NotReady)
	}
	return e.takeOver(w, a, t)
}

// doubt makes peers stop relying on this daemon's log, since it met a flow that it cannot resolve by
// itself.
func (e *Engine) doubt() {
	e.log.SetComplete(false)
	e.doubting.Store(true)
}

// formerlyHere returns the daemon to which this one would leave an unknown flow if it owned it, while
// members settle and hops remain. An owner that has appeared in the change asks the right daemon already.
func (e *Engine) formerlyHere(w *world, a *arrival, owner model.MachineID) *model.EntryVM {
	if a.hops >= maxHops {
		return nil
	}
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active || slices.Contains(e.delegated.appeared, owner) {
		return nil
	}
	return e.ownerBefore(w, a.hash, owner)
}

// coveringOwner returns the daemon whose log last covered the flow, where it is another that is here.
func (e *Engine) coveringOwner(w *world, a *arrival) *model.EntryVM {
	cp := e.copies.OfIncarnation(a.former)
	if cp == nil {
		return nil
	}
	m, ok := w.view.Member(cp.Owner)
	if !ok || !m.Here || m.Incarnation != cp.Incarnation {
		return nil
	}
	return m.Entry
}

// firstOther returns the first daemon in a flow's order of owners that counts, but for this one.
func (e *Engine) firstOther(w *world, h model.FlowHash, counts func(model.MachineID) bool) *model.EntryVM {
	var buf [maxOwners]*model.EntryVM
	for _, o := range w.owners(h, buf[:0]) {
		if o.ID != e.cfg.Self && counts(o.ID) {
			return o
		}
	}
	return nil
}

// anyone counts every daemon.
func anyone(model.MachineID) bool { return true }

// unsettle starts the time in which unknown flows are left to their former owners: until every other
// owner's log is known here as it was after the change.
func (e *Engine) unsettle(now time.Time, appeared []model.MachineID, ceased []flow.Peer) {
	e.log.SetComplete(false)
	e.unsettled.Store(true)
	e.settleBy = now.Add(e.cfg.SettleTime)
	e.settleMark = flow.Mark(e.mark.Load())
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if e.delegated.flows == nil {
		e.delegated.flows = make(map[model.FlowHash]delegatedFlow)
		e.delegated.appeared, e.delegated.ceased = nil, nil
	}
	e.delegated.active = true
	if slices.Contains(appeared, e.cfg.Self) || slices.Contains(e.delegated.appeared, e.cfg.Self) && len(appeared) > 0 {
		// The latest kind of change counts: this daemon's own, or that of others.
		e.delegated.appeared = nil
	}
	e.delegated.appeared = append(e.delegated.appeared, appeared...)
	e.delegated.ceased = lo.Reject(e.delegated.ceased, func(p flow.Peer, _ int) bool {
		return slices.Contains(appeared, p.ID)
	})
	e.delegated.ceased = append(e.delegated.ceased, ceased...)
}

// leaveToFormer adds flows to those that are taken in when the members have settled.
func (e *Engine) leaveToFormer(flows map[model.FlowHash]delegatedFlow) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	for h, f := range flows {
		if e.delegated.active {
			e.delegated.flows[h] = f
		}
	}
}

// settle ends the time after a change of the owners in two steps. Once every other log is known as of
// after the change, no more flows are delegated. Once every other log is known as of after that, it names
// what the former owners decided on, and the delegated flows are taken in.
func (e *Engine) settle(now time.Time) {
	if !e.unsettled.Load() || e.waitsForLate() {
		return
	}
	patient := now.Before(e.settleBy)
	if patient && !e.current() {
		return
	}
	flows, first := e.endDelegation()
	if first && patient && len(flows) > 0 {
		e.settleMark = flow.Mark(e.mark.Load())
		return
	}
	w := e.world.Load()
	for h, f := range flows {
		e.takeIn(w, now, h, f)
	}
	e.delegated.mu.Lock()
	e.delegated.flows = nil
	e.delegated.mu.Unlock()
	e.unsettled.Store(false)
	e.log.SetComplete(true)
	e.switchGeneration(w.snapshot.Generation())
	e.recount(now, w)
}

// endDelegation returns the delegated flows, and whether further ones could be added until now.
func (e *Engine) endDelegation() (flows map[model.FlowHash]delegatedFlow, first bool) {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	first = e.delegated.active
	e.delegated.active = false
	return maps.Clone(e.delegated.flows), first
}

// current reports whether the copy of every live owner's log was written after the last change of the
// members was noticed here, and this daemon holds the lists of its generation. It asks the owners that
// are missing.
func (e *Engine) current() bool {
	w := e.world.Load()
	all := true
	e.delegated.mu.Lock()
	ceased := slices.Clone(e.delegated.ceased)
	e.delegated.mu.Unlock()
	owns := func(m membership.MemberView) bool {
		return m.Owner || (m.Here && slices.Contains(ceased, flow.Peer{ID: m.Entry.ID, Incarnation: m.Incarnation}))
	}
	for _, cp := range e.followed(owns) {
		p := cp.Position()
		if p.Heard > e.settleMark && w.routeOf(p.Generation) != nil {
			continue
		}
		cp.Want(e.settleMark)
		all = false
	}
	return all
}

// takeIn adopts one delegated flow if it is still this daemon's.
func (e *Engine) takeIn(w *world, now time.Time, h model.FlowHash, f delegatedFlow) {
	if owner := w.owner(h); owner == nil || owner.ID != e.cfg.Self {
		return
	}
	if _, known := e.table.Get(h); known {
		return
	}
	meta := packet.Meta{Src: f.key.Caller, Dst: f.key.Service, Flags: packet.ACK}
	a := arrival{now: now, meta: &meta, hash: h, former: f.covered}
	rank := e.rank(w, h)
	former := e.copies.Of(f.former)
	if former == nil {
		former = e.predecessor(w, &a, rank)
	}
	t, sure := e.resolveFrom(w, &a, former, rank)
	if t == nil || !sure {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	e.enterTakenOver(w, &a, t)
}

// inherit takes in every exception of other logs whose flow is this daemon's now, so that its own log
// is complete for the flows that it owns.
func (e *Engine) inherit(now time.Time, w *world) {
	var mine []model.FlowHash
	e.copies.Each(func(h model.FlowHash) {
		if e.inherits(w, h) {
			mine = append(mine, h)
		}
	})
	for _, h := range mine {
		e.inheritFlow(now, w, h)
	}
}

// inheritRecords does the same for records that have just arrived.
func (e *Engine) inheritRecords(now time.Time, w *world, records []wire.Record) {
	for _, r := range records {
		if !r.Remove && e.inherits(w, r.Hash) {
			e.inheritFlow(now, w, r.Hash)
		}
	}
}

func (e *Engine) inherits(w *world, h model.FlowHash) bool {
	owner := w.owner(h)
	if owner == nil || owner.ID != e.cfg.Self {
		return false
	}
	_, known := e.table.Get(h)
	return !known
}

func (e *Engine) inheritFlow(now time.Time, w *world, h model.FlowHash) {
	target, ok := e.copies.Find(h, e.rank(w, h))
	if !ok {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	if _, added := e.table.Insert(now, h, flow.Entry{Target: target, State: flow.StateOpen, Exception: true}); !added {
		return
	}
	e.loads.Opened(target)
	e.log.Add(h, target)
}
