package core

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// maxHops is the maximum number of daemons that may forward a packet, so that daemons with different views
// cannot forward it in a loop.
const maxHops = 3

// arrival is a caller's packet that the engine decides about.
type arrival struct {
	now  time.Time
	meta *packet.Meta
	hash model.FlowHash
	// hops is the number of daemons that have forwarded the packet.
	hops uint8
	// known is true if this daemon or the one that forwarded the packet has known the flow since before the
	// current partition.
	known bool
	// declined is true if the packet was returned by a daemon that it had been delegated to.
	declined bool
	// former is the owner whose log last covered the flow here or at the daemon that forwarded the packet; 0
	// for none.
	former flow.Incarnated
	// earlier is the sequence number of the SYN of the flow that this one replaces; 0 for none.
	earlier uint32
}

// opens reports whether the packet requests a new flow.
func (a *arrival) opens() bool {
	return a.meta.Flags.Has(packet.SYN) && !a.meta.Flags.Has(packet.ACK)
}

// closes reports whether the caller ends the flow.
func (a *arrival) closes() bool {
	return a.meta.Flags&(packet.FIN|packet.RST) != 0
}

// state returns the flow's state that the packet implies.
func (a *arrival) state() flow.State {
	switch {
	case a.closes():
		return flow.StateClosing
	case a.opens():
		return flow.StateOpening
	default:
		return flow.StateOpen
	}
}

// numbering returns what the packet's sequence number stands for in a new flow table entry.
func (a *arrival) numbering() flow.Numbering {
	if a.opens() {
		return flow.NumberOpening
	}
	return flow.NumberLater
}

// numbers returns the packet's sequence and acknowledgement numbers; none for a SYN or a packet without ACK,
// since they do not continue a flow.
func (a *arrival) numbers() flow.Numbers {
	if a.opens() || !a.meta.Flags.Has(packet.ACK) {
		return flow.Numbers{}
	}
	return flow.Numbers{Seq: a.meta.Seq, Ack: a.meta.Ack}
}

// FromFabric decides about a packet that the network fabric delivered to this daemon: a caller's packet, or
// the response of a target whose service returns through the daemons. from is the outer source address.
func (e *Engine) FromFabric(now time.Time, from netip.AddrPort, m *packet.Meta) Verdict {
	w := e.world.Load()
	if w == nil {
		return drop(errkind.NotReady)
	}
	if w.isAnswer(from, m) {
		return e.answer(w, from, now, m, 0)
	}
	a := arrival{now: now, meta: m, hash: m.Key().Hash()}
	return e.route(w, &a)
}

// FromPeer decides about a caller's packet that another daemon forwarded to this one.
func (e *Engine) FromPeer(now time.Time, from model.MachineID, hop wire.HopMeta, m *packet.Meta) Verdict {
	w := e.world.Load()
	if w == nil {
		return drop(errkind.NotReady)
	}
	a := arrival{now: now, meta: m, hash: m.Key().Hash(), hops: hop.Hops, known: hop.Known, former: flow.Incarnated(hop.Former)}
	if hop.Delegated {
		return e.decideFor(w, &a, from)
	}
	a.declined = hop.Declined
	return e.route(w, &a)
}

// route decides about a caller's packet: it goes straight to its target, is handled here as by its owner, or
// is forwarded to the owner.
func (e *Engine) route(w *world, a *arrival) Verdict {
	owner := w.owner(a.hash)
	if owner == nil {
		return drop(errkind.NotReady)
	}
	if w.hidden != nil && !a.known {
		a.known = e.seen.KnownBefore(a.hash, a.numbers(), w.hidden.mark)
	}
	if owner.ID == e.cfg.Self {
		return e.own(w, a)
	}
	if a.hops > 0 {
		return e.disputed(w, a, owner)
	}
	if t := e.covered(w, a, owner); t != nil {
		return forward(t)
	}
	if _, owned := e.table.Get(a.hash); owned && a.former == 0 {
		a.former = flow.IncarnatedOf(e.cfg.Self, e.cfg.Incarnation)
	}
	return hopTo(owner, a)
}

// covered returns the target of a flow of another owner if this daemon's replica of the owner's log covers
// the flow, else nil.
func (e *Engine) covered(w *world, a *arrival, owner *model.EntryVM) *model.Target {
	if a.opens() || a.closes() {
		e.seen.Forget(a.hash)
		return nil
	}
	cp := e.copies.Of(owner.ID)
	if cp == nil || e.unsettled.Load() || !e.fresh(a.now) {
		a.former = e.seen.Former(a.hash, a.numbers())
		return nil
	}
	r := cp.Route(a.hash)
	if !r.Synced {
		a.former = e.seen.Former(a.hash, a.numbers())
		return nil
	}
	mark := flow.Mark(e.mark.Load())
	direct, former := e.seen.DirectBy(a.now, a.hash, a.numbers(), r.Position, mark)
	if !direct {
		a.former = former
		cp.Want(mark)
		return nil
	}
	if r.Exception {
		return w.targets[r.Target]
	}
	route := w.routeOf(r.Generation)
	if route == nil {
		return nil
	}
	t := route.defaultTarget(a.meta.Dst, a.hash)
	if t == nil || e.contested(w, a, route, t) {
		return nil
	}
	return t
}

// contested reports whether the log of a daemon that is no longer reachable implies another target than t
// for a flow without a record in the owner's log. The current owner may not know such a flow if the
// forwarded packet that would have announced it was lost.
func (e *Engine) contested(w *world, a *arrival, route *route, t *model.Target) bool {
	for _, cp := range e.copies.Retired() {
		r := cp.Route(a.hash)
		if !r.Synced {
			continue
		}
		if r.Exception {
			if r.Target != t.ID {
				return true
			}
			continue
		}
		former := w.routeOf(r.Generation)
		if former == nil || former == route {
			continue
		}
		if other := former.defaultTarget(a.meta.Dst, a.hash); other != nil && other.ID != t.ID {
			return true
		}
	}
	return false
}

// disputed handles a packet that a peer forwarded to this daemon although in this daemon's view another one
// is the owner. The packet of a flow that is known here goes to its target; any other is forwarded until the
// limit is reached.
func (e *Engine) disputed(w *world, a *arrival, owner *model.EntryVM) Verdict {
	if !a.opens() {
		if entry, ok := e.touch(a); ok {
			return e.toTarget(w, entry.Target)
		}
	}
	if a.hops < maxHops {
		return hopTo(owner, a)
	}
	if a.opens() {
		return drop(errkind.PacketLooping)
	}
	t, _ := e.resolve(w, a)
	return e.toTargetOrDrop(t)
}

// hopTo returns the verdict that forwards a packet to the flow's owner.
func hopTo(owner *model.EntryVM, a *arrival) Verdict {
	return hopWith(owner, wire.HopMeta{Hops: a.hops + 1, Known: a.known, Former: uint32(a.former)})
}

func hopWith(owner *model.EntryVM, hop wire.HopMeta) Verdict {
	return Verdict{Op: OpHop, To: owner.Peer, Peer: owner.ID, Hop: hop}
}

// toTarget returns the verdict that sends a packet to a target by ID; it drops the packet if no retained
// list has the target.
func (e *Engine) toTarget(w *world, id model.TargetID) Verdict {
	return e.toTargetOrDrop(w.targets[id])
}

func (e *Engine) toTargetOrDrop(t *model.Target) Verdict {
	if t == nil {
		return drop(errkind.TargetLost)
	}
	return forward(t)
}

// isAnswer reports whether a packet comes from a target and not from a caller: the outer source is a
// target's data address and the inner source is a service's address.
func (w *world) isAnswer(from netip.AddrPort, m *packet.Meta) bool {
	return w.byData[from] != nil && len(w.servedAt[m.Src]) > 0
}
