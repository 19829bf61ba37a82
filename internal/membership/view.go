package membership

import (
	"math/bits"
	"slices"

	"github.com/fireflypin/fireflypin/model"
)

// View is who is here at one moment. It is immutable.
type View struct {
	// Version grows with each View that may route in another way.
	Version uint64
	// Digest sums up the machines that may own flows, with their incarnations. It is equal in two Views
	// that give every flow the same owner.
	Digest  uint32
	zones   []zoneView
	members []MemberView
	byID    map[model.MachineID]int
}

// MemberView is what a View tells of a published machine.
type MemberView struct {
	Entry       *model.EntryVM
	State       State
	Incarnation uint64
	// Here is true when the machine can be sent to.
	Here bool
	// Hidden is true when nothing is heard of the machine's zone, so that the machine may be here and be sent to by others. It
	// holds for one of which nothing was ever heard too: this process may have started after the zone fell silent.
	Hidden bool
	// Owner is true when the machine may own new flows.
	Owner bool
	// Direct is false for a machine of the own zone that is only known by witnesses to be here, as when
	// one link is broken.
	Direct bool
}

// zoneView holds the owners of a zone in the order of their ids.
type zoneView struct {
	zone   model.Zone
	salts  []uint64
	owners []*model.EntryVM
}

// Owner returns the machine that owns a flow: the rendezvous choice among the owners of the first
// zone that has any, or nil. It does not allocate.
func (v *View) Owner(h model.FlowHash, zones []model.Zone) *model.EntryVM {
	for _, zone := range zones {
		if z := v.zone(zone); z != nil && len(z.owners) > 0 {
			return z.owner(h)
		}
	}
	return nil
}

// Owners appends to buf the owners of all the zones in the order in which they take over a flow:
// the first is Owner, the second owns the flow once the first is gone, and so on.
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

// Member returns what is known of a published machine.
func (v *View) Member(id model.MachineID) (MemberView, bool) {
	i, ok := v.byID[id]
	if !ok {
		return MemberView{}, false
	}
	return v.members[i], true
}

// Here reports whether a machine can be sent to.
func (v *View) Here(id model.MachineID) bool {
	i, ok := v.byID[id]
	return ok && v.members[i].Here
}

// Members returns all published machines in the order of their ids. The caller must not change the
// slice.
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

// owner returns the member with the highest score; the lower id wins a draw.
func (z *zoneView) owner(h model.FlowHash) *model.EntryVM {
	best, bestScore := 0, score(h, z.salts[0])
	for i := 1; i < len(z.salts); i++ {
		if s := score(h, z.salts[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return z.owners[best]
}

// Score returns the rendezvous weight of a machine for a flow, live or not; among the owners of a zone
// the one with the highest owns the flow.
func Score(h model.FlowHash, id model.MachineID) uint64 {
	return score(h, saltOf(id))
}

// score is the rendezvous weight of a machine for a flow.
func score(h model.FlowHash, salt uint64) uint64 {
	return mix(uint64(h) ^ salt)
}

func saltOf(id model.MachineID) uint64 {
	return mix(uint64(id))
}

// mix spreads the bits of x over the whole word.
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
