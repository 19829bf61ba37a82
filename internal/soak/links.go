package soak

import "math/rand/v2"

// lossShare is the part of packets that is lost while there is loss, synLossShare that of SYNs, and of answers to them,
// while there is loss of SYNs.
const (
	lossShare    = 0.03
	synLossShare = 0.5
)

// links are the ways between the zones. A cut may be made several times at once.
type links struct {
	// cut counts the cuts around a zone, half those of the way from its daemons to the targets of other zones.
	cut, half map[string]int
	lossy     int
	// synLossy counts the losses of SYNs alone.
	synLossy int
	// copies counts the times in which callers' packets also arrive a second time, late.
	copies int
}

// dropsSYN reports whether a SYN, or an answer to one, is lost.
func (l *links) dropsSYN(r *rand.Rand) bool {
	return l.synLossy > 0 && r.Float64() < synLossShare
}

// drops reports whether a packet between two zones is lost; toTarget is true on the way from a daemon to a target.
func (l *links) drops(r *rand.Rand, from, to string, toTarget bool) bool {
	if l.lossy > 0 && r.Float64() < lossShare {
		return true
	}
	if from == to {
		return false
	}
	return l.cut[from] > 0 || l.cut[to] > 0 || toTarget && l.half[from] > 0
}
