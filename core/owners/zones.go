package owners

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/model"
)

// maxZones is the number of availability zones that can be ordered without an allocation; further zones are
// left out.
const maxZones = 16

// zoneOrder gives each flow an order of the zones that have entry VMs. The order depends only on those
// zones, so that lists that only change targets never move ownership.
type zoneOrder struct {
	zones []model.Zone
	seeds []uint64
}

func newZoneOrder(entries []*model.EntryVM) zoneOrder {
	var o zoneOrder
	for _, e := range entries {
		if !slices.Contains(o.zones, e.Zone) {
			o.zones = append(o.zones, e.Zone)
		}
	}
	slices.SortFunc(o.zones, func(a, b model.Zone) int { return cmp.Compare(a.String(), b.String()) })
	for _, z := range o.zones {
		o.seeds = append(o.seeds, xxhash.Sum64String(z.String()))
	}
	return o
}

// forFlow appends the zones to buf in the order that they have for a flow.
func (o zoneOrder) forFlow(h model.FlowHash, buf []model.Zone) []model.Zone {
	var scores [maxZones]uint64
	for i, z := range o.zones[:min(len(o.zones), maxZones)] {
		s := mix(uint64(h), o.seeds[i])
		buf = append(buf, z)
		j := len(buf) - 1
		for ; j > 0 && scores[j-1] < s; j-- {
			scores[j] = scores[j-1]
			buf[j] = buf[j-1]
		}
		scores[j] = s
		buf[j] = z
	}
	return buf
}

// mix combines a flow's hash with a seed (the finalizer of SplitMix64).
func mix(h, seed uint64) uint64 {
	x := h ^ seed
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
