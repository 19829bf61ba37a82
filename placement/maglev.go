package placement

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// MaglevSlots is the default number of slots of a Maglev table. It is a prime and gives 100 or more slots to
// each target.
const MaglevSlots = 65537

// Maglev is the lookup table of one service as described in "Maglev: A Fast and Reliable Software Network Load
// Balancer" (Eisenbud et al., NSDI 2016), extended by weights. It is immutable. It exists for comparison with
// rendezvous hashing.
type Maglev struct {
	targets []*model.Target
	slots   []uint16
}

// NewMaglev returns a table with the given number of slots, which must be a prime. Draining targets are
// included.
func NewMaglev(st *ServiceTable, slots int) *Maglev {
	m := &Maglev{targets: st.targets, slots: make([]uint16, slots)}
	if len(m.targets) > 0 {
		m.fill(st.candidates)
	}
	return m
}

const emptySlot = ^uint16(0)

func (m *Maglev) fill(candidates []candidate) {
	for i := range m.slots {
		m.slots[i] = emptySlot
	}
	size := uint64(len(m.slots))
	next := make([]uint64, len(candidates))
	credit := make([]uint64, len(candidates))
	heaviest := uint64(1)
	for _, c := range candidates {
		heaviest = max(heaviest, c.weight)
	}
	filled := 0
	for {
		for i, c := range candidates {
			credit[i] += c.weight
			if credit[i] < heaviest {
				continue
			}
			credit[i] -= heaviest
			m.assignSlot(i, c.seed, &next[i], size)
			filled++
			if filled == len(m.slots) {
				return
			}
		}
	}
}

// assignSlot assigns the next free slot in the permutation of candidate i to it.
func (m *Maglev) assignSlot(i int, seed uint64, next *uint64, size uint64) {
	offset := mix(seed, 1) % size
	skip := mix(seed, 2)%(size-1) + 1
	for {
		slot := (offset + *next*skip) % size
		*next++
		if m.slots[slot] == emptySlot {
			m.slots[slot] = uint16(i)
			return
		}
	}
}

// Default returns the flow's target, or nil when the service has no targets. It does not allocate.
func (m *Maglev) Default(h model.FlowHash) *model.Target {
	if len(m.targets) == 0 {
		return nil
	}
	return m.targets[m.slots[mix(uint64(h), 0)%uint64(len(m.slots))]]
}

// Choose implements Policy. It returns the table's target or, when that is not usable, the first usable target
// of the rendezvous order.
func (m *Maglev) Choose(now time.Time, h model.FlowHash, st *ServiceTable, l Loads) (*model.Target, errkind.Kind) {
	t := m.Default(h)
	if t != nil && usable(now, t, l) {
		return t, errkind.None
	}
	return Rendezvous{}.Choose(now, h, st, l)
}
