package soak

import "math/rand/v2"

// lossShare is the share (0 to 1) of packets lost during a Loss step, synLossShare the share of SYNs and SYN-ACKs lost
// during a SYNLoss step.
const (
	lossShare    = 0.03
	synLossShare = 0.5
)

// links is the state of the network between the zones. The fields count active faults, because the same fault can be
// active several times at once.
type links struct {
	// partitions counts, by zone, the full partitions, oneWayCuts the cuts only from the zone's daemons to the targets of
	// other zones.
	partitions, oneWayCuts map[string]int
	lossFaults             int
	// synLossFaults counts the faults that affect only SYNs and SYN-ACKs.
	synLossFaults int
	// duplicateFaults counts the faults that deliver callers' packets a second time with a delay.
	duplicateFaults int
}

// dropsSYN reports whether a SYN or a SYN-ACK is lost.
func (l *links) dropsSYN(r *rand.Rand) bool {
	return l.synLossFaults > 0 && r.Float64() < synLossShare
}

// drops reports whether a packet between two zones is lost; toTarget is true for packets from a daemon to a target.
func (l *links) drops(r *rand.Rand, from, to string, toTarget bool) bool {
	if l.lossFaults > 0 && r.Float64() < lossShare {
		return true
	}
	if from == to {
		return false
	}
	return l.partitions[from] > 0 || l.partitions[to] > 0 || toTarget && l.oneWayCuts[from] > 0
}
