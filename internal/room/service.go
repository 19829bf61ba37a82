// The state of one service and the decision on a new flow to it.

package room

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/model"
)

// service is the state of one service, under its own lock.
type service struct {
	name string
	mu   sync.Mutex
	// zones holds the window of each zone with targets.
	zones   map[model.Zone]*window
	callers callers
	waiting int
	// refused is the number of flows that were refused, counts that of flows by level and outcome.
	refused int
	counts  [levels][outcomes]int64
	// reported is the value of Short in the last Change, shortSince its time and refusedBefore the value of refused then.
	reported      bool
	shortSince    time.Time
	refusedBefore int
	// arrivals and admitted are moving sums of the new flows that asked for admission, and of those that got it.
	arrivals, admitted decayed
}

func newService(name string) *service {
	s := &service{name: name, zones: make(map[model.Zone]*window)}
	s.arrivals.constant, s.admitted.constant = outcomeTimeConstant, outcomeTimeConstant
	return s
}

// maxSlotsFactor bounds a target's slots, as a multiple of the median of its service.
//
// Load pattern: a target that claims far more slots than it has would keep the window of its zone open.
const maxSlotsFactor = 4

// setTargets applies the service's targets. own is the daemon's zone and daemons the number of live daemons there.
func (s *service) setTargets(targets []*model.Target, own model.Zone, daemons int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := lo.Filter(targets, func(t *model.Target, _ int) bool { return !t.Draining && !t.Expired && !t.ZoneDraining })
	limit := maxSlotsFactor * medianSlots(usable)
	slots := make(map[model.Zone]float64)
	for _, t := range usable {
		slots[t.Zone] += float64(min(max(t.Slots, 1), limit))
	}
	for z := range slots {
		s.window(z)
	}
	for z, w := range s.zones {
		w.setSlots(slots[z])
	}
	s.setFair(own, daemons)
}

// setDaemons applies the number of live daemons of the daemon's own zone.
func (s *service) setDaemons(own model.Zone, daemons int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFair(own, daemons)
}

// setFair sets this daemon's fair part of each zone's slots: an even part among the daemons of its zone, of other zones
// one that leaves the same to each zone's daemons.
func (s *service) setFair(own model.Zone, daemons int) {
	zones := lo.CountBy(lo.Values(s.zones), func(w *window) bool { return w.slots > 0 })
	for z, w := range s.zones {
		w.fair = w.slots / float64(max(daemons, 1))
		if z != own {
			w.fair /= float64(max(zones, 1))
		}
	}
}

// medianSlots returns the median of the targets' slots, at least 1.
func medianSlots(targets []*model.Target) uint32 {
	slots := lo.Map(targets, func(t *model.Target, _ int) uint32 { return t.Slots })
	if len(slots) == 0 {
		return 1
	}
	slices.Sort(slots)
	return max(slots[len(slots)/2], 1)
}

const (
	// excessReserve is the share of a window that callers with far more flows than others leave to these.
	excessReserve = 0.5
	// waitShare is the part of the latency goal that a first packet may wait at the daemon: the rest is left for the
	// target's queue and for another attempt.
	waitShare = 8
	// maxWaiting bounds the packets that wait for one service at a daemon.
	maxWaiting = 64
	// maxExpectedWait is the expected wait while no flow is admitted.
	maxExpectedWait = time.Hour
)

// decide decides on an attempt.
//
// Load pattern: more requests than targets can serve. What a target would reject costs its caller a handshake, the
// time in the target's queue and one of its attempts, and takes the place of another caller's request.
func (s *service) decide(now time.Time, level int, a *tags.Attempt) tags.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Waited {
		s.waiting = max(s.waiting-1, 0)
	} else {
		s.arrivals.add(now, 1)
	}
	reserve := 0.0
	if s.callers.excessive(now, a.Caller.IP) {
		reserve = excessReserve
	}
	v := s.view(now, level, fraction(a.Hash), reserve)
	if v.open > 0 || v.full == nil {
		s.admitted.add(now, 1)
		s.counts[level][Admitted]++
		if v.short {
			s.callers.admitted(now, a.Caller.IP)
		}
		return tags.Decision{Level: level, Full: v.full}
	}
	maxWait := a.Route.LatencyGoal / waitShare
	if a.Waited || s.expectedWait(now) <= maxWait && s.waiting < maxWaiting {
		s.waiting++
		if !a.Waited {
			s.counts[level][Waited]++
		}
		return tags.Decision{Answer: tags.Wait, Level: level, MaxWait: maxWait}
	}
	s.refused++
	s.counts[level][RefusedAtOnce]++
	return tags.Decision{Answer: tags.Refuse, Level: level}
}

// zonesView is how the zones look to one attempt.
type zonesView struct {
	// full holds the zones without room for it, open is the number of those with room.
	full []model.Zone
	open int
	// short is true if any zone's targets are short.
	short bool
}

func (s *service) view(now time.Time, level int, draw, reserve float64) zonesView {
	var v zonesView
	for z, w := range s.zones {
		v.short = v.short || w.short
		switch {
		case w.slots == 0:
		case w.fits(now, level, draw, reserve):
			v.open++
		default:
			w.limited(now, level)
			v.full = append(v.full, z)
		}
	}
	return v
}

// expectedWait returns how long one more packet would wait, by the rate at which flows were admitted lately.
func (s *service) expectedWait(now time.Time) time.Duration {
	admitted := s.admitted.value(now)
	if admitted < 1 {
		return maxExpectedWait
	}
	return time.Duration(float64(s.waiting+1) / admitted * float64(outcomeTimeConstant))
}

// fraction maps a flow's hash to [0, 1).
func fraction(h model.FlowHash) float64 {
	x := uint64(h) * 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}

// window returns the window of a zone; the lock must be held.
func (s *service) window(z model.Zone) *window {
	w := s.zones[z]
	if w == nil {
		w = newWindow()
		s.zones[z] = w
	}
	return w
}
