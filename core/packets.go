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

// maxHops bounds how many daemons may pass a packet on, so that daemons with different views cannot
// send it in circles.
const maxHops = 3

// arrival is one caller's packet on its way through the engine.
type arrival struct {
	now  time.Time
	meta *packet.Meta
	hash model.FlowHash
	// hops is the number of daemons that have passed the packet on.
	hops uint8
	// known is true for a flow that this daemon or the sender of the hop has known since before the
	// present partition.
	known bool
	// declined is true for a packet that came back from the daemon that was asked to decide on it.
	declined bool
	// former is the owner whose log last covered the flow here or at the sender of the hop; 0 for none.
	former flow.Incarnated
	// earlier is the number of the SYN of the flow that this one replaces; 0 for none.
	earlier uint32
}

// opens reports whether the packet asks for a new flow.
func (a *arrival) opens() bool {
	return a.meta.Flags.Has(packet.SYN) && !a.meta.Flags.Has(packet.ACK)
}

// closes reports whether the caller ends the flow.
func (a *arrival) closes() bool {
	return a.meta.Flags&(packet.FIN|packet.RST) != 0
}

// state returns what the packet tells of the flow's progress.
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

// numbering returns what the packet's number tells of a flow that nothing was known of.
func (a *arrival) numbering() flow.Numbering {
	if a.opens() {
		return flow.NumberOpening
	}
	return flow.NumberLater
}

// numbers returns the packet's numbers; a SYN has none that continue a flow.
func (a *arrival) numbers() flow.Numbers {
	if a.opens() || !a.meta.Flags.Has(packet.ACK) {
		return flow.Numbers{}
	}
	return flow.Numbers{Seq: a.meta.Seq, Ack: a.meta.Ack}
}

// FromFabric decides on a packet that the fabric handed to this daemon: a caller's packet, or an
// answer of a target whose service returns through the daemons. from is the outer source address.
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

// FromPeer decides on a caller's packet that another daemon hopped here.
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

// route sends a caller's packet straight to its target, decides as its owner, or hops it.
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

// covered returns the target of a flow of another owner where this daemon's copy of the owner's log
// covers the flow, else nil.
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

// contested reports whether the log of a daemon that is gone gives an unnamed flow another target. The
// present owner may not know such a flow, while the hop that would tell it was lost.
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

// disputed handles a packet that a peer hopped here although this daemon holds another to be the
// owner. A flow known here goes on; anything else is passed on while hops remain.
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

// hopTo returns the verdict for a packet that goes by its owner.
func hopTo(owner *model.EntryVM, a *arrival) Verdict {
	return hopWith(owner, wire.HopMeta{Hops: a.hops + 1, Known: a.known, Former: uint32(a.former)})
}

func hopWith(owner *model.EntryVM, hop wire.HopMeta) Verdict {
	return Verdict{Op: OpHop, To: owner.Peer, Peer: owner.ID, Hop: hop}
}

// toTarget forwards to a target by its id; a target that no kept list names is gone.
func (e *Engine) toTarget(w *world, id model.TargetID) Verdict {
	return e.toTargetOrDrop(w.targets[id])
}

func (e *Engine) toTargetOrDrop(t *model.Target) Verdict {
	if t == nil {
		return drop(errkind.TargetLost)
	}
	return forward(t)
}

// isAnswer reports whether a packet comes from a target and not from a caller: it leaves a service's
// address and does not go to one.
func (w *world) isAnswer(from netip.AddrPort, m *packet.Meta) bool {
	return w.byData[from] != nil && len(w.servedAt[m.Src]) > 0
}
