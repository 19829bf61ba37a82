package placement

import "github.com/fireflypin/fireflypin/model"

// roomSalt makes the draw of a zone independent of the other draws for one flow.
const roomSalt = 0x526f6f6d

// zoneByRoom draws one of the other zones with usable targets of a tier, and returns it and the number of these targets.
// A zone's probability is in proportion to its room, the slots beyond its even share; where no zone has room, to its
// slots.
//
// Load pattern: operators drain a zone whose callers stay. Their flows would overload a small zone whose slots its own
// callers need.
func (p *Nearest) zoneByRoom(h model.FlowHash, st *ServiceTable, v *evaluation, tier healthTier) (zone int32, count int) {
	s := &v.tiers[tier]
	if len(st.zones) > stackZones {
		return anyZone, s.remote
	}
	var slots [stackZones]float64
	var counts [stackZones]int
	for i, state := range v.states {
		if state.usable && state.tier == tier && !state.local {
			z := st.candidates[i].zone
			counts[z]++
			slots[z] += float64(max(st.targets[i].Slots, 1))
		}
	}
	weights := slots
	total := 0.0
	for z := range st.zones {
		weights[z] = max(slots[z]-p.evenSlots(st, s), 0)
		total += weights[z]
	}
	if total == 0 {
		weights, total = slots, float64(s.slots-s.localSlots)
	}
	draw := unitInterval(h, model.TargetID(roomSalt)) * total
	last := int32(anyZone)
	for z := range st.zones {
		if weights[z] == 0 {
			continue
		}
		last = int32(z)
		if draw < weights[z] {
			break
		}
		draw -= weights[z]
	}
	return last, counts[last]
}
