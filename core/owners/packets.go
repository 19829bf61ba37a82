package owners

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// maxForwards is the maximum number of daemons that may forward a packet, so that daemons with different
// views cannot forward it in a loop.
const maxForwards = 3

// arrival is a caller's packet that the engine decides on.
type arrival struct {
	now  time.Time
	meta *packet.Meta
	hash model.FlowHash
	// forwards is the number of daemons that have forwarded the packet.
	forwards uint8
	// knownBeforePartition is true if this daemon or the one that forwarded the packet has known the flow
	// since before the current partition.
	knownBeforePartition bool
	// declined is true if the packet was returned by a daemon that it had been delegated to.
	declined bool
	// previousOwner is the owner whose log last covered the flow at this daemon or at the one that forwarded
	// the packet or, before any did, the owner that the flow's SYN was forwarded to; 0 for none.
	previousOwner flow.IncarnationID
	// replacedSYN is the sequence number of the SYN of the flow that this one replaces; 0 for none.
	replacedSYN uint32
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
		return flow.StateHalfOpen
	default:
		return flow.StateOpen
	}
}

// seqKind returns what the packet's sequence number stands for in a new flow table entry.
func (a *arrival) seqKind() flow.SeqKind {
	if a.opens() {
		return flow.SeqInitial
	}
	return flow.SeqOfLaterPacket
}

// seqNumbers returns the packet's sequence and acknowledgement numbers; none for a SYN or a packet without ACK,
// since they do not continue a flow.
func (a *arrival) seqNumbers() flow.SeqNumbers {
	if a.opens() || !a.meta.Flags.Has(packet.ACK) {
		return flow.SeqNumbers{}
	}
	return flow.SeqNumbers{Seq: a.meta.Seq, Ack: a.meta.Ack}
}

// FromFabric decides on a packet that the network fabric delivered to this daemon: a caller's packet, or
// the response of a target whose service returns through the daemons. from is the outer source address.
func (e *Engine) FromFabric(now time.Time, from netip.AddrPort, m *packet.Meta) Verdict {
	rs := e.routingState.Load()
	if rs == nil {
		return drop(errkind.NotReady)
	}
	if rs.isResponse(from, m) {
		return e.handleResponse(rs, from, now, m, 0)
	}
	a := arrival{now: now, meta: m, hash: m.Key().Hash()}
	return e.routePacket(rs, &a)
}

// FromPeer decides on a caller's packet that another daemon forwarded to this one.
func (e *Engine) FromPeer(now time.Time, from model.MachineID, fwd wire.ForwardMeta, m *packet.Meta) Verdict {
	rs := e.routingState.Load()
	if rs == nil {
		return drop(errkind.NotReady)
	}
	a := arrival{now: now, meta: m, hash: m.Key().Hash(), forwards: fwd.Hops, knownBeforePartition: fwd.KnownBeforePartition, previousOwner: flow.IncarnationID(fwd.CoveringOwner)}
	if fwd.Delegated {
		return e.decideForOwner(rs, &a, from)
	}
	a.declined = fwd.Declined
	return e.routePacket(rs, &a)
}

// routePacket decides on a caller's packet: this daemon handles it as the flow's owner, sends it straight to its
// target, or forwards it to the owner.
func (e *Engine) routePacket(rs *routingState, a *arrival) Verdict {
	owner := rs.owner(a.hash)
	if owner == nil {
		return drop(errkind.NotReady)
	}
	if rs.unreachablePeers != nil && !a.knownBeforePartition {
		a.knownBeforePartition = e.flowCache.KnownBefore(a.hash, a.seqNumbers(), rs.unreachablePeers.mark)
	}
	if owner.ID == e.cfg.Self {
		return e.handleOwned(rs, a)
	}
	if a.forwards > 0 {
		return e.handleOwnerDispute(rs, a, owner)
	}
	if t := e.replicaTarget(rs, a, owner); t != nil {
		return forwardToTarget(t)
	}
	if _, owned := e.table.Get(a.hash); owned && a.previousOwner == 0 {
		a.previousOwner = flow.IncarnationIDOf(e.cfg.Self, e.cfg.Incarnation)
	}
	return forwardToOwner(owner, a)
}

// replicaTarget returns the target of a flow of another owner if this daemon's replica of the owner's log
// covers the flow, else nil.
func (e *Engine) replicaTarget(rs *routingState, a *arrival, owner *model.EntryVM) *model.Target {
	if a.opens() {
		e.recordForwardedSYN(rs, a, owner)
		return nil
	}
	if a.closes() {
		e.flowCache.Forget(a.hash)
		return nil
	}
	rep := e.replicas.Live(owner.ID)
	if rep == nil || e.inTransition.Load() || !e.leaseValid(a.now) {
		a.previousOwner = e.flowCache.CoveringOwner(a.hash, a.seqNumbers())
		return nil
	}
	r := rep.Route(a.hash)
	if !r.Synced {
		a.previousOwner = e.flowCache.CoveringOwner(a.hash, a.seqNumbers())
		return nil
	}
	mark := flow.Mark(e.mark.Load())
	direct, previousOwner := e.flowCache.AllowsDirectSeq(a.now, a.hash, a.seqNumbers(), r.Position, mark)
	if !direct {
		a.previousOwner = previousOwner
		rep.WaitForMark(mark)
		return nil
	}
	if r.Exception {
		return rs.targets[r.Target]
	}
	resolver := rs.resolverOf(r.Generation)
	if resolver == nil {
		return nil
	}
	t := resolver.defaultTarget(a.meta.Dst, a.hash)
	if t == nil || e.conflictsWithRetired(rs, a, resolver, t) {
		return nil
	}
	return t
}

// recordForwardedSYN records that the SYN of a new flow is forwarded to its owner. Should the owner become
// unreachable before its log covers the flow, the next one resolves the flow from this owner's log.
func (e *Engine) recordForwardedSYN(rs *routingState, a *arrival, owner *model.EntryVM) {
	m, ok := rs.view.Member(owner.ID)
	if !ok {
		e.flowCache.Forget(a.hash)
		return
	}
	e.flowCache.Opened(a.hash, flow.IncarnationIDOf(owner.ID, m.Incarnation), flow.Mark(e.mark.Load()))
}

// conflictsWithRetired reports whether a retired replica (of a daemon that failed, stopped, restarted or became
// unreachable) implies another target than t for a flow without a record in the owner's log. The current owner
// may not know such a flow if the forwarded packet that would have announced it was lost.
func (e *Engine) conflictsWithRetired(rs *routingState, a *arrival, resolver *resolver, t *model.Target) bool {
	for _, rep := range e.replicas.Retired() {
		r := rep.Route(a.hash)
		if !r.Synced {
			continue
		}
		if r.Exception {
			if r.Target != t.ID {
				return true
			}
			continue
		}
		retired := rs.resolverOf(r.Generation)
		if retired == nil || retired == resolver {
			continue
		}
		if other := retired.defaultTarget(a.meta.Dst, a.hash); other != nil && other.ID != t.ID {
			return true
		}
	}
	return false
}

// handleOwnerDispute handles a packet that a peer forwarded to this daemon although in this daemon's view
// another one is the owner. The packet of a flow in this daemon's table goes to its target; any other is
// forwarded until the limit is reached.
func (e *Engine) handleOwnerDispute(rs *routingState, a *arrival, owner *model.EntryVM) Verdict {
	if !a.opens() {
		if entry, ok := e.recordPacket(a); ok {
			return e.toTarget(rs, entry.Target)
		}
	}
	if a.forwards < maxForwards {
		return forwardToOwner(owner, a)
	}
	if a.opens() {
		return drop(errkind.PacketLooping)
	}
	t, _ := e.resolveTarget(rs, a)
	return e.toTargetOrDrop(t)
}

// forwardToOwner returns the verdict that forwards a packet to the flow's owner.
func forwardToOwner(owner *model.EntryVM, a *arrival) Verdict {
	return forwardToPeer(owner, wire.ForwardMeta{Hops: a.forwards + 1, KnownBeforePartition: a.knownBeforePartition, CoveringOwner: uint32(a.previousOwner)})
}

func forwardToPeer(peer *model.EntryVM, fwd wire.ForwardMeta) Verdict {
	return Verdict{Op: core.OpForwardToPeer, To: peer.Peer, Peer: peer.ID, Forward: fwd}
}

// toTarget returns the verdict that sends a packet to a target by ID; it drops the packet if no retained
// list has the target.
func (e *Engine) toTarget(rs *routingState, id model.TargetID) Verdict {
	return e.toTargetOrDrop(rs.targets[id])
}

func (e *Engine) toTargetOrDrop(t *model.Target) Verdict {
	if t == nil {
		return drop(errkind.TargetLost)
	}
	return forwardToTarget(t)
}

// isResponse reports whether a packet comes from a target and not from a caller: the outer source is a
// target's data address and the inner source is a service's address.
func (rs *routingState) isResponse(from netip.AddrPort, m *packet.Meta) bool {
	return rs.targetsByAddr[from] != nil && len(rs.servicesByAddr[m.Src]) > 0
}
