package placement

import (
	"github.com/fireflypin/fireflypin/model"
)

// anyZone is the zone of a candidateSet that is not limited to one zone.
const anyZone = -1

// candidateSet selects the usable targets of a tier that may take a flow: those of one zone if zone is an index into
// ServiceTable.zones, else those inside or outside the daemon's own zone.
type candidateSet struct {
	tier  healthTier
	zone  int32
	local bool
	// count is the number of targets, at least one.
	count int
}

// candidatesFor returns the targets that may take a flow: those of the own zone or of others.
func (p *Nearest) candidatesFor(h model.FlowHash, st *ServiceTable, tier healthTier, v *evaluation) candidateSet {
	s := &v.tiers[tier]
	if p.keepsLocal(h, st, s) {
		return candidateSet{tier: tier, zone: anyZone, local: true, count: s.local}
	}
	c := candidateSet{tier: tier, zone: anyZone, count: s.remote}
	if st.zoneDraining {
		c.zone, c.count = p.zoneByRoom(h, st, v, tier)
	}
	return c
}

// contains reports whether the target at index i of the table is in the set.
func (c candidateSet) contains(st *ServiceTable, i int, s targetState) bool {
	if !s.usable || s.tier != c.tier {
		return false
	}
	if c.zone != anyZone {
		return st.candidates[i].zone == c.zone
	}
	return s.local == c.local
}

// nthCandidate returns the index of the n-th target of a set, counted from 0. The set must have more than n targets.
func (v *evaluation) nthCandidate(st *ServiceTable, c candidateSet, n int) int {
	for i, s := range v.states {
		if !c.contains(st, i, s) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}
