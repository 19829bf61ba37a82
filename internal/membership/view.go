package membership

import (
	"math/bits"
	"slices"

	"github.com/fireflypin/fireflypin/model"
)

// View is an immutable snapshot of the published machines, their states and the owners.
type View struct {
	// Version increases with each new View, which may have other owners than the previous one.
	Version uint64
	// Digest is a hash of the ids and incarnations of the owners. Two Views with the same owners and incarnations have
	// equal digests.
	Digest  uint32
	zones   []zoneView
	members []MemberView
	byID    map[model.MachineID]int
}

// MemberView is the state of a published machine in a View.
type MemberView struct {
	Entry       *model.EntryVM
	State       State
	Incarnation uint64
	// Reachable is true when the machine is alive or suspect and its zone is reachable, so that messages can be sent to
	// it.
	Reachable bool
	// MaybePartitioned is true when the machine's zone is unreachable from this machine, but the machine may be running
	// and reachable from others. This includes machines in state Unknown, because this process may have started after
	// the zone became unreachable.
	MaybePartitioned bool
	// Owner is true when the machine may own new flows.
	Owner bool
	// Direct is false for a machine of this machine's zone whose last contact was a confirmation by a witness and not
	// its own heartbeat, for example because the link to it is broken.
	Direct bool
}

// zoneView holds the owners of a zone, sorted by id, and their salts in the same order.
type zoneView struct {
	zone   model.Zone
	salts  []uint64
	owners []*model.EntryVM
}

// Owner returns the machine that owns a flow, or nil if there is none. It is selected by rendezvous hashing among the
// owners of the first of the zones that has any. It does not allocate.
func (v *View) Owner(h model.FlowHash, zones []model.Zone) *model.EntryVM {
	for _, zone := range zones {
		if z := v.zone(zone); z != nil && len(z.owners) > 0 {
			return z.owner(h)
		}
	}
	return nil
}

// Owners appends to buf the owners of all the zones in the order in which they take over a flow: the first is the
// result of Owner, the second owns the flow once the first is no longer an owner, and so on.
func (v *View) Owners(h model.FlowHash, zones []model.Zone, buf []*model.EntryVM) []*model.EntryVM {
	for _, zone := range zones {
		z := v.zone(zone)
		if z == nil {
			continue
		}
		start := len(buf)
		buf = append(buf, z.owners...)
		slices.SortFunc(buf[start:], func(a, b *model.EntryVM) int {
			sa, sb := score(h, saltOf(a.ID)), score(h, saltOf(b.ID))
			if sa != sb {
				return compare(sb, sa)
			}
			return compare(uint64(a.ID), uint64(b.ID))
		})
	}
	return buf
}

// Member returns the state of a published machine, or false if the machine is not published.
func (v *View) Member(id model.MachineID) (MemberView, bool) {
	i, ok := v.byID[id]
	if !ok {
		return MemberView{}, false
	}
	return v.members[i], true
}

// Reachable reports whether messages can be sent to a machine.
func (v *View) Reachable(id model.MachineID) bool {
	i, ok := v.byID[id]
	return ok && v.members[i].Reachable
}

// Members returns all published machines, sorted by id. The caller must not modify the slice.
func (v *View) Members() []MemberView {
	return v.members
}

func (v *View) zone(zone model.Zone) *zoneView {
	for i := range v.zones {
		if v.zones[i].zone == zone {
			return &v.zones[i]
		}
	}
	return nil
}

// owner returns the owner with the highest score. The lower id wins a tie.
func (z *zoneView) owner(h model.FlowHash) *model.EntryVM {
	best, bestScore := 0, score(h, z.salts[0])
	for i := 1; i < len(z.salts); i++ {
		if s := score(h, z.salts[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return z.owners[best]
}

// Score returns the rendezvous hashing weight of a machine for a flow, whether or not the machine is running. Among the
// owners of a zone, the one with the highest weight owns the flow.
func Score(h model.FlowHash, id model.MachineID) uint64 {
	return score(h, saltOf(id))
}

// score returns the rendezvous hashing weight of the machine with the given salt for a flow.
func score(h model.FlowHash, salt uint64) uint64 {
	return mix(uint64(h) ^ salt)
}

// saltOf returns the hash of a machine's id that enters its scores.
func saltOf(id model.MachineID) uint64 {
	return mix(uint64(id))
}

// mix is a 64-bit mixing function: each bit of x affects the whole result.
func mix(x uint64) uint64 {
	const (
		k1 = 0x9e3779b97f4a7c15
		k2 = 0xe7037ed1a0b428db
	)
	hi, lo := bits.Mul64(x^k1, k2)
	x = hi ^ lo
	hi, lo = bits.Mul64(x^k2, k1)
	return hi ^ lo
}
