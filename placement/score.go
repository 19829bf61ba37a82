package placement

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// logTableBits is the number of leading mantissa bits that index logTable.
	logTableBits = 10
	// logFractionBits is the number of fraction bits of a fixed-point logarithm.
	logFractionBits = 40
	// logRoundedBits is the number of significant fraction bits of an entry of logTable.
	logRoundedBits = 32
)

// logTable holds log2(1 + i/2^logTableBits) in fixed point, with one extra entry at the end for interpolation.
var logTable = buildLogTable()

func buildLogTable() [1<<logTableBits + 1]uint64 {
	var table [1<<logTableBits + 1]uint64
	for i := range table {
		v := math.Log2(1 + float64(i)/(1<<logTableBits))
		// Rounding to fewer bits than a float64 holds gives the same table on every architecture.
		table[i] = uint64(math.Round(v*(1<<logRoundedBits))) << (logFractionBits - logRoundedBits)
	}
	return table
}

// negLog2 returns -log2(x / 2^64) in fixed point with logFractionBits fraction bits; 64 for x = 0. It is monotonic:
// it never increases with x.
func negLog2(x uint64) uint64 {
	if x == 0 {
		return 64 << logFractionBits
	}
	lead := bits.LeadingZeros64(x)
	mantissa := x << lead << 1
	index := mantissa >> (64 - logTableBits)
	rest := mantissa << logTableBits >> 32
	low := logTable[index]
	high := logTable[index+1]
	fraction := low + (high-low)*rest>>32
	return uint64(lead+1)<<logFractionBits - fraction
}

// mix combines a flow hash with a seed into a uniformly distributed 64-bit value, using the finalizer of SplitMix64.
func mix(h, seed uint64) uint64 {
	x := h ^ seed
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// seedOf returns the hash seed of a named candidate. The domain separates equal names of different kinds.
func seedOf(domain, name string) uint64 {
	return xxhash.Sum64String(domain + "\x00" + name)
}

// maxWeight is the upper bound of a weight, so that the product of a cost and a weight fits into 64 bits.
const maxWeight = 1 << 16

// score is a candidate's sort key in a weighted rendezvous order. Candidates are ordered by cost/weight, the lowest
// first.
type score struct {
	// hash is the mixed hash, cost its negative logarithm: the higher the hash, the lower the cost.
	hash   uint64
	cost   uint64
	weight uint64
	index  int32
	zone   int32
}

// before reports whether s comes before o. Equal values of cost/weight are ordered by hash, then by index, which
// follows the order of the names. Candidates of equal weight are therefore ordered by their hashes.
func (s *score) before(o *score) bool {
	left, right := s.cost*o.weight, o.cost*s.weight
	if left != right {
		return left < right
	}
	if s.hash != o.hash {
		return s.hash > o.hash
	}
	return s.index < o.index
}
