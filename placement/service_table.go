package placement

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
)

// stackTargets is the maximum number of targets for which an order is computed without allocation.
const stackTargets = 64

// stackZones is the maximum number of zones for which an order is computed without allocation.
const stackZones = 16

// ServiceTable is the part of a Table for one service. It is immutable.
type ServiceTable struct {
	service *model.Service
	// targets are sorted by name; candidates runs parallel to it.
	targets    []*model.Target
	candidates []candidate
	// zones are the zones with targets, sorted by region and name.
	zones []model.Zone
	// entryOnlyZones are the zones that have entry VMs but no target of the service; entryOnlySeeds runs parallel
	// to it.
	entryOnlyZones []model.Zone
	entryOnlySeeds []uint64
	// zoneDraining is true if operators drain the zone of one of the targets.
	zoneDraining bool
	// byWeight holds the indexes of the candidates by descending weight; byWeightSeeds runs parallel to it.
	byWeight      []int32
	byWeightSeeds []uint64
}

// candidate holds the data of one target that the per-packet path reads.
type candidate struct {
	seed   uint64
	weight uint64
	zone   int32
}

// newServiceTable returns the table of a service. zonesWithEntries are the zones that have entry VMs.
func newServiceTable(svc *model.Service, zonesWithEntries []model.Zone) *ServiceTable {
	st := &ServiceTable{service: svc, targets: lo.Filter(svc.Targets, func(t *model.Target, _ int) bool {
		return len(svc.Regions) == 0 || slices.Contains(svc.Regions, t.Zone.Region)
	})}
	slices.SortFunc(st.targets, func(a, b *model.Target) int { return cmp.Compare(a.Name, b.Name) })
	st.zones = targetZones(st.targets)
	for _, t := range st.targets {
		st.addCandidate(t)
		st.zoneDraining = st.zoneDraining || t.ZoneDraining
	}
	st.sortByWeight()
	for _, z := range zonesWithEntries {
		if !slices.Contains(st.zones, z) {
			st.entryOnlyZones = append(st.entryOnlyZones, z)
			st.entryOnlySeeds = append(st.entryOnlySeeds, seedOf("zone", z.String()))
		}
	}
	return st
}

func (st *ServiceTable) addCandidate(t *model.Target) {
	c := candidate{
		seed:   seedOf("target", t.Name),
		weight: uint64(min(max(t.Weight, 1), maxWeight)),
		zone:   int32(slices.Index(st.zones, t.Zone)),
	}
	st.candidates = append(st.candidates, c)
}

func (st *ServiceTable) sortByWeight() {
	for i := range st.candidates {
		st.byWeight = append(st.byWeight, int32(i))
	}
	slices.SortStableFunc(st.byWeight, func(a, b int32) int {
		return cmp.Compare(st.candidates[b].weight, st.candidates[a].weight)
	})
	for _, i := range st.byWeight {
		st.byWeightSeeds = append(st.byWeightSeeds, st.candidates[i].seed)
	}
}

// Service returns the service of the table.
func (st *ServiceTable) Service() *model.Service {
	return st.service
}

// Targets returns the targets in the service's regions sorted by name, draining ones included. Callers must not modify the slice.
func (st *ServiceTable) Targets() []*model.Target {
	return st.targets
}

// Default returns the flow's default target, or nil when the service has no targets. It does not allocate.
//
// The default is the first target of a weighted rendezvous order over all targets. A zone is therefore the home
// zone of a share of the flows equal to its share of the weights, and adding or removing a target moves only the
// flows that the target gains or loses.
func (st *ServiceTable) Default(h model.FlowHash) *model.Target {
	if len(st.targets) == 0 {
		return nil
	}
	return st.targets[st.firstCandidate(h)]
}

// firstCandidate returns the index of the first candidate of the flow's order. The candidates are tried by descending
// weight, so a candidate whose hash is not higher than the best so far cannot come before it. The logarithm is
// computed only for the few others.
func (st *ServiceTable) firstCandidate(h model.FlowHash) int32 {
	best := st.byWeight[0]
	bestHash := mix(uint64(h), st.byWeightSeeds[0])
	for i, seed := range st.byWeightSeeds {
		hash := mix(uint64(h), seed)
		if hash <= bestHash {
			continue
		}
		if st.hashBefore(hash, st.byWeight[i], bestHash, best) {
			best, bestHash = st.byWeight[i], hash
		}
	}
	return best
}

// hashBefore reports whether candidate i comes before candidate best. The hash of i must be the higher one.
func (st *ServiceTable) hashBefore(hash uint64, i int32, bestHash uint64, best int32) bool {
	weight, bestWeight := st.candidates[i].weight, st.candidates[best].weight
	if weight == bestWeight {
		return true
	}
	s := score{hash: hash, cost: negLog2(hash), weight: weight, index: i}
	o := score{hash: bestHash, cost: negLog2(bestHash), weight: bestWeight, index: best}
	return s.before(&o)
}

// ZoneOrder appends the flow's zones to buf in order of preference and returns it. The zone of the default target
// comes first, then the other zones of its region with targets in the order of their best targets, then those of
// other regions, then the zones that have only entry VMs. It does not allocate when buf is large enough and the
// service has at most 64 targets in at most 16 zones.
func (st *ServiceTable) ZoneOrder(h model.FlowHash, buf []model.Zone) []model.Zone {
	var zoneScratch [stackZones]score
	best := st.bestPerZone(h, zoneScratch[:0])
	insertionSort(best, (*score).before)
	st.homeRegionFirst(best)
	for _, s := range best {
		buf = append(buf, st.zones[s.zone])
	}
	var entryOnlyScratch [stackZones]score
	entryOnly := entryOnlyScratch[:0]
	for i, seed := range st.entryOnlySeeds {
		hash := mix(uint64(h), seed)
		entryOnly = append(entryOnly, score{hash: hash, cost: negLog2(hash), weight: 1, index: int32(i)})
	}
	insertionSort(entryOnly, (*score).before)
	for _, s := range entryOnly {
		buf = append(buf, st.entryOnlyZones[s.index])
	}
	return buf
}

// Order appends the service's targets to buf in the flow's order and returns it: the default first, then the other
// targets of its zone, then those of the next zones in the order of ZoneOrder. It does not allocate when buf is
// large enough and the service has at most 64 targets in at most 16 zones.
func (st *ServiceTable) Order(h model.FlowHash, buf []*model.Target) []*model.Target {
	var scratch [stackTargets]score
	scores := scratch[:0]
	for i := range st.candidates {
		scores = append(scores, st.score(h, i))
	}
	var zoneScratch [stackZones]score
	best := st.bestPerZone(h, zoneScratch[:0])
	insertionSort(best, (*score).before)
	st.homeRegionFirst(best)
	var rankScratch [stackZones]int32
	ranks := rankScratch[:0]
	for range best {
		ranks = append(ranks, 0)
	}
	for i, b := range best {
		ranks[b.zone] = int32(i)
	}
	insertionSort(scores, func(a, b *score) bool {
		if a.zone != b.zone {
			return ranks[a.zone] < ranks[b.zone]
		}
		return a.before(b)
	})
	for _, s := range scores {
		buf = append(buf, st.targets[s.index])
	}
	return buf
}

// Rank returns the target's position in the flow's order, 0 for the default, or -1 when the service has no such
// target.
func (st *ServiceTable) Rank(h model.FlowHash, id model.TargetID) int {
	var scratch [stackTargets]*model.Target
	order := st.Order(h, scratch[:0])
	return slices.IndexFunc(order, func(t *model.Target) bool { return t.ID == id })
}

// homeRegionFirst moves the zones in the region of the first zone before those of other regions. It is stable.
func (st *ServiceTable) homeRegionFirst(zones []score) {
	if len(zones) == 0 {
		return
	}
	home := st.zones[zones[0].zone].Region
	insertionSort(zones, func(a, b *score) bool {
		return st.zones[a.zone].Region == home && st.zones[b.zone].Region != home
	})
}

// score returns the score of candidate i for the flow.
func (st *ServiceTable) score(h model.FlowHash, i int) score {
	c := &st.candidates[i]
	hash := mix(uint64(h), c.seed)
	return score{
		hash:   hash,
		cost:   negLog2(hash),
		weight: c.weight,
		index:  int32(i),
		zone:   c.zone,
	}
}

// bestPerZone appends the best score of each zone to buf, in the order of st.zones.
func (st *ServiceTable) bestPerZone(h model.FlowHash, buf []score) []score {
	for range st.zones {
		buf = append(buf, score{index: -1})
	}
	for i := range st.candidates {
		s := st.score(h, i)
		b := &buf[s.zone]
		if b.index < 0 || s.before(b) {
			*b = s
		}
	}
	return buf
}

// insertionSort sorts a short slice in place. It is stable and does not allocate.
func insertionSort(s []score, before func(a, b *score) bool) {
	for i := 1; i < len(s); i++ {
		for j := i; j > 0 && before(&s[j], &s[j-1]); j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
}

// targetZones returns the distinct zones of the targets, sorted by region and name.
func targetZones(targets []*model.Target) []model.Zone {
	var zones []model.Zone
	for _, t := range targets {
		if !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	return sortZones(zones)
}

// entryZones returns the distinct zones of the entry VMs, sorted by region and name.
func entryZones(entries []*model.EntryVM) []model.Zone {
	var zones []model.Zone
	for _, e := range entries {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return sortZones(zones)
}

func sortZones(zones []model.Zone) []model.Zone {
	slices.SortFunc(zones, func(a, b model.Zone) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name))
	})
	return zones
}
