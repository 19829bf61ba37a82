package core

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// delegation holds the flows that this daemon owns and does not know while a change of the members
// settles. Their packets go to the former owners; the flows are taken in when the change has settled.
type delegation struct {
	mu     sync.Mutex
	active bool
	flows  map[model.FlowHash]delegatedFlow
	// appeared names the daemons, this one among them, that became owners in the change.
	appeared []model.MachineID
}

// delegatedFlow is a flow whose packets are left to its former owner.
type delegatedFlow struct {
	key    packet.FlowKey
	former model.MachineID
}

// formerOwner returns the daemon that may know a flow which is unknown here, or nil where this daemon
// has to decide itself.
func (e *Engine) formerOwner(w *world, a *arrival) *model.EntryVM {
	if a.hops >= maxHops {
		return nil
	}
	if !e.fresh(a.now) {
		return e.firstOther(w, a.hash, nil)
	}
	if former := e.delegate(w, a); former != nil {
		return former
	}
	return e.lateOwner(w, a)
}

// delegate notes a flow that is left to its former owner while a change of the members settles, and
// returns that owner. Where only others appeared, one of them may have owned the flow on the other side
// of a partition; where this daemon appeared itself, any other may have.
func (e *Engine) delegate(w *world, a *arrival) *model.EntryVM {
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active {
		return nil
	}
	among := e.delegated.appeared
	if slices.Contains(among, e.cfg.Self) {
		among = nil
	}
	if among == nil && len(e.delegated.appeared) == 0 {
		return nil
	}
	former := e.firstOther(w, a.hash, among)
	if former != nil {
		e.delegated.flows[a.hash] = delegatedFlow{key: a.meta.Key(), former: former.ID}
	}
	return former
}

// firstOther returns the first daemon in a flow's order of owners but for this one; where among is not
// nil, only daemons that it names count.
func (e *Engine) firstOther(w *world, h model.FlowHash, among []model.MachineID) *model.EntryVM {
	var buf [maxOwners]*model.EntryVM
	for _, o := range w.owners(h, buf[:0]) {
		if o.ID != e.cfg.Self && (among == nil || slices.Contains(among, o.ID)) {
			return o
		}
	}
	return nil
}

// unsettle starts the time in which unknown flows are left to their former owners: until every other
// owner's log is known here as it was after the change.
func (e *Engine) unsettle(now time.Time, appeared []model.MachineID) {
	e.log.SetComplete(false)
	e.unsettled.Store(true)
	e.settleBy = now.Add(e.cfg.SettleTime)
	e.settleMark = flow.Mark(e.mark.Load())
	e.delegated.mu.Lock()
	defer e.delegated.mu.Unlock()
	if !e.delegated.active {
		e.delegated.active = true
		e.delegated.flows = make(map[model.FlowHash]delegatedFlow)
		e.delegated.appeared = nil
	}
	e.delegated.appeared = append(e.delegated.appeared, appeared...)
}

// settle takes in the delegated flows once a change of the members has settled, and lets peers rely on
// the log again.
func (e *Engine) settle(now time.Time) {
	if !e.unsettled.Load() || (now.Before(e.settleBy) && !e.current()) {
		return
	}
	e.delegated.mu.Lock()
	flows := e.delegated.flows
	e.delegated.active, e.delegated.flows = false, nil
	e.delegated.mu.Unlock()
	w := e.world.Load()
	for h, f := range flows {
		e.takeIn(w, now, h, f)
	}
	e.unsettled.Store(false)
	e.log.SetComplete(true)
}

// current reports whether the copy of every live owner's log was written after the last change of the
// members was noticed here, and this daemon holds the lists of its generation. It asks the owners that
// are missing.
func (e *Engine) current() bool {
	w := e.world.Load()
	all := true
	owns := func(m membership.MemberView) bool { return m.Owner }
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
	a := arrival{now: now, meta: &meta, hash: h}
	t := e.resolveFrom(w, &a, e.copies.Of(f.former))
	if t == nil {
		return
	}
	e.placing.RLock()
	defer e.placing.RUnlock()
	e.enter(w, &a, t, flow.StateOpening)
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
