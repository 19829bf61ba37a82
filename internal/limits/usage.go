package limits

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// slots is the number of slots that Config.Window is divided into.
const slots = 6

// use is a usage count of one limit, in flows.
type use struct {
	open     uint32 // open now
	admitted uint32 // admitted in the last window
	asked    uint32 // requested in the last window, refused ones included
}

func (u use) add(o use) use {
	return use{open: u.open + o.open, admitted: u.admitted + o.admitted, asked: u.asked + o.asked}
}

func (u use) sub(o use) use {
	return use{open: u.open - o.open, admitted: u.admitted - o.admitted, asked: u.asked - o.asked}
}

// report is the usage that another owner or zone reported, and when it was received.
type report struct {
	use use
	at  time.Time
}

// usage is the state of one limit.
type usage struct {
	limits limitPair
	owners Owners // owners that the limits are split among
	own    use    // usage of this owner
	// told is this owner's usage in its last summary. Other owners know no more than that.
	told  use
	slots [slots]slotUse
	slot  int64 // number of the newest slot, counted from the Unix epoch
	// peers holds the reports of owners in the same zone, zones the totals of other zones.
	peers  map[model.MachineID]report
	zones  map[model.Zone]report
	others use // sum of all reports
	// extra is a random number from 0 to 1, drawn once per window, that rounds the growth allowance up or down.
	// extraAt is the number of the window that it was drawn for.
	extra   float64
	extraAt int64
	bucket  bucket
	ended   time.Time // when the limit was first found unused; zero while it is used
}

// limitPair is a limit on open flows and a limit on new flows per second; 0 means unlimited.
type limitPair struct {
	open uint32
	rate uint32
}

// slotUse is this owner's usage in one slot of the window.
type slotUse struct {
	admitted uint32 // own.admitted is the sum over all slots
	asked    uint32 // own.asked is the sum over all slots
	least    uint32 // minimum of open flows during the slot
}

// advance moves the window to now and clears the slots that it enters.
func (u *usage) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/slots)
	for s := max(u.slot+1, slot-slots+1); s <= slot; s++ {
		i := s % slots
		u.own.admitted -= u.slots[i].admitted
		u.own.asked -= u.slots[i].asked
		u.slots[i] = slotUse{least: u.own.open}
	}
	u.slot = max(u.slot, slot)
}

// leastOpen returns the minimum of this owner's open flows in the window. The count that other owners know is not
// lower.
func (u *usage) leastOpen() uint32 {
	least := u.own.open
	for i := range u.slots {
		least = min(least, u.slots[i].least)
	}
	return least
}

// end records the end of a flow.
func (u *usage) end() {
	if u.own.open == 0 {
		return
	}
	u.own.open--
	slot := &u.slots[u.slot%slots]
	slot.least = min(slot.least, u.own.open)
}

// ask counts a request for a new flow, before the decision.
func (u *usage) ask() {
	u.own.asked++
	u.slots[u.slot%slots].asked++
}

// admit counts an admitted flow.
func (u *usage) admit() {
	u.own.open++
	u.own.admitted++
	u.slots[u.slot%slots].admitted++
}

// set replaces a report and updates the sum of all reports.
func set[K comparable](u *usage, reports map[K]report, from K, r report) {
	old := reports[from].use
	u.others = u.others.sub(old).add(r.use)
	reports[from] = r
}

// drop removes a report and updates the sum of all reports.
func drop[K comparable](u *usage, reports map[K]report, from K) {
	u.others = u.others.sub(reports[from].use)
	delete(reports, from)
}

// expire drops the reports received before the given time.
func (u *usage) expire(before time.Time) {
	for from, r := range u.peers {
		if r.at.Before(before) {
			drop(u, u.peers, from)
		}
	}
	for from, r := range u.zones {
		if r.at.Before(before) {
			drop(u, u.zones, from)
		}
	}
}

// zoneUse returns the known usage of this owner's zone: its own and that reported by its peers.
func (u *usage) zoneUse() use {
	sum := u.own
	for _, r := range u.peers {
		sum = sum.add(r.use)
	}
	return sum
}

// idle reports whether the limit has no usage of this owner and no reports.
func (u *usage) idle() bool {
	return u.own == use{} && len(u.peers) == 0 && len(u.zones) == 0
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
