package limits

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// slots is the number of slots that Config.Window is divided into.
const slots = 6

// counts is the usage of one limit, in flows.
type counts struct {
	open      uint32 // open now
	admitted  uint32 // admitted in the last window
	requested uint32 // requested in the last window, refused ones included
}

func (c counts) add(o counts) counts {
	return counts{open: c.open + o.open, admitted: c.admitted + o.admitted, requested: c.requested + o.requested}
}

func (c counts) sub(o counts) counts {
	return counts{open: c.open - o.open, admitted: c.admitted - o.admitted, requested: c.requested - o.requested}
}

// report is the usage that another owner or zone reported, and when it was received.
type report struct {
	counts counts
	at     time.Time
}

// limitState is the state of one limit.
type limitState struct {
	limits limitPair
	owners Owners // owners that the limits are split among
	own    counts // usage of this owner
	// reported is this owner's usage in its last summary. Other owners know no more than that.
	reported counts
	slots    [slots]slotCounts
	slot     int64 // number of the newest slot, counted from the Unix epoch
	// peers holds the reports of owners in the same zone, zones the totals of other zones.
	peers  map[model.MachineID]report
	zones  map[model.Zone]report
	others counts // sum of all reports
	// rounding is a random number from 0 to 1, drawn once per window, that rounds the growth allowance up or down.
	// roundingWindow is the number of the window that it was drawn for.
	rounding       float64
	roundingWindow int64
	bucket         bucket
	unusedSince    time.Time // when the limit was first found unused; zero while it is used
}

// limitPair is a limit on open flows and a limit on new flows per second; 0 means unlimited.
type limitPair struct {
	open uint32
	rate uint32
}

// slotCounts is this owner's usage in one slot of the window.
type slotCounts struct {
	admitted  uint32 // own.admitted is the sum over all slots
	requested uint32 // own.requested is the sum over all slots
	minOpen   uint32 // minimum of open flows during the slot
}

// advance moves the window to now and clears the slots that it enters.
func (s *limitState) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/slots)
	for n := max(s.slot+1, slot-slots+1); n <= slot; n++ {
		i := n % slots
		s.own.admitted -= s.slots[i].admitted
		s.own.requested -= s.slots[i].requested
		s.slots[i] = slotCounts{minOpen: s.own.open}
	}
	s.slot = max(s.slot, slot)
}

// minOpenInWindow returns the minimum of this owner's open flows in the window. The count that other owners know is
// not lower.
func (s *limitState) minOpenInWindow() uint32 {
	minOpen := s.own.open
	for i := range s.slots {
		minOpen = min(minOpen, s.slots[i].minOpen)
	}
	return minOpen
}

// recordEnd records the end of a flow.
func (s *limitState) recordEnd() {
	if s.own.open == 0 {
		return
	}
	s.own.open--
	slot := &s.slots[s.slot%slots]
	slot.minOpen = min(slot.minOpen, s.own.open)
}

// recordRequest counts a request for a new flow, before the decision.
func (s *limitState) recordRequest() {
	s.own.requested++
	s.slots[s.slot%slots].requested++
}

// recordAdmission counts an admitted flow.
func (s *limitState) recordAdmission() {
	s.own.open++
	s.own.admitted++
	s.slots[s.slot%slots].admitted++
}

// setReport replaces a report and updates the sum of all reports.
func setReport[K comparable](s *limitState, reports map[K]report, from K, r report) {
	old := reports[from].counts
	s.others = s.others.sub(old).add(r.counts)
	reports[from] = r
}

// dropReport removes a report and updates the sum of all reports.
func dropReport[K comparable](s *limitState, reports map[K]report, from K) {
	s.others = s.others.sub(reports[from].counts)
	delete(reports, from)
}

// dropExpired drops the reports received before the given time.
func (s *limitState) dropExpired(before time.Time) {
	for from, r := range s.peers {
		if r.at.Before(before) {
			dropReport(s, s.peers, from)
		}
	}
	for from, r := range s.zones {
		if r.at.Before(before) {
			dropReport(s, s.zones, from)
		}
	}
}

// zoneCounts returns the known usage of this owner's zone: its own and that reported by its peers.
func (s *limitState) zoneCounts() counts {
	sum := s.own
	for _, r := range s.peers {
		sum = sum.add(r.counts)
	}
	return sum
}

// unused reports whether the limit has no usage of this owner and no reports.
func (s *limitState) unused() bool {
	return s.own == counts{} && len(s.peers) == 0 && len(s.zones) == 0
}

// bucket is the token bucket of a rate limit.
type bucket struct {
	tokens float64
	at     time.Time
}

// take removes a token and reports whether there was one. The bucket gains rate tokens per second and holds at most
// depth tokens. A new bucket is full.
func (b *bucket) take(now time.Time, rate, depth float64) bool {
	if b.at.IsZero() {
		b.tokens, b.at = depth, now
	}
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.tokens += passed * rate
		b.at = now
	}
	b.tokens = min(b.tokens, depth)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
