package health

import (
	"github.com/fireflypin/fireflypin/model"
)

// IsProber reports whether a daemon probes a target: it must be among the first n in the rendezvous
// order of the target over live, the live daemons of the target's zone. For a zone without live daemons,
// live may hold those of another zone.
func IsProber(self model.MachineID, target model.TargetID, live []model.MachineID, n int) bool {
	own := proberScore(self, target)
	ahead, present := 0, false
	for _, m := range live {
		if m == self {
			present = true
			continue
		}
		score := proberScore(m, target)
		if score > own || score == own && m < self {
			ahead++
		}
	}
	return present && ahead < n
}

// proberScore hashes the two ids with the finalizer of SplitMix64.
func proberScore(m model.MachineID, t model.TargetID) uint64 {
	x := uint64(m)<<32 | uint64(t)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
