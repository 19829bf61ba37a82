package limits

import (
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// slots is the number of parts that the window of recent admissions is counted in.
const slots = 6

// use is an amount of use of one limit.
type use struct {
	open     uint32 // flows
	admitted uint32 // in the last window
	asked    uint32 // in the last window, the refused ones included
}

func (u use) add(o use) use {
	return use{open: u.open + o.open, admitted: u.admitted + o.admitted, asked: u.asked + o.asked}
}

func (u use) sub(o use) use {
	return use{open: u.open - o.open, admitted: u.admitted - o.admitted, asked: u.asked - o.asked}
}

// report is what another owner or zone told.
type report struct {
	use use
	at  time.Time
}

// usage is what is known of the use of one limit.
type usage struct {
	limits limitPair
	owners Owners // that the limits are split among
	own    use
	// told is the own use in the last summary; others know it at most.
	told  use
	slots [slots]slotUse
	slot  int64 // number of the newest slot since the epoch
	// peers holds reports of owners in the own zone, zones those of other zones as a whole.
	peers  map[model.MachineID]report
	zones  map[model.Zone]report
	others use // sum of all reports
	// extra is drawn once per window and rounds the part of the rest up or down.
	extra   float64
	extraAt int64
	bucket  bucket
	ended   time.Time // when the own use became zero
}

// limitPair is a bound of open flows and of new flows a second; 0 for none.
type limitPair struct {
	open uint32
	rate uint32
}

// slotUse is what one part of the window saw.
type slotUse struct {
	admitted uint32 // own.admitted is the sum over all slots
	asked    uint32 // own.asked is the sum over all slots
	least    uint32 // open flows, the fewest in the slot
}

// advance moves the window of recent use to now.
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

// leastOpen returns the fewest own open flows in the window; no other owner can know of fewer.
func (u *usage) leastOpen() uint32 {
	least := u.own.open
	for i := range u.slots {
		least = min(least, u.slots[i].least)
	}
	return least
}

// end counts the end of a flow.
func (u *usage) end() {
	if u.own.open == 0 {
		return
	}
	u.own.open--
	slot := &u.slots[u.slot%slots]
	slot.least = min(slot.least, u.own.open)
}

// ask counts a new flow that is to be decided on.
func (u *usage) ask() {
	u.own.asked++
	u.slots[u.slot%slots].asked++
}

// admit counts a new flow.
func (u *usage) admit() {
	u.own.open++
	u.own.admitted++
	u.slots[u.slot%slots].admitted++
}

// set replaces a report and keeps the sum.
func set[K comparable](u *usage, reports map[K]report, from K, r report) {
	old := reports[from].use
	u.others = u.others.sub(old).add(r.use)
	reports[from] = r
}

// drop removes a report and keeps the sum.
func drop[K comparable](u *usage, reports map[K]report, from K) {
	u.others = u.others.sub(reports[from].use)
	delete(reports, from)
}

// expire drops reports that are older than a limit.
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

// zoneUse returns the use of the own zone as far as it is known.
func (u *usage) zoneUse() use {
	sum := u.own
	for _, r := range u.peers {
		sum = sum.add(r.use)
	}
	return sum
}

// idle reports whether nothing is known of the limit any more.
func (u *usage) idle() bool {
	return u.own == use{} && len(u.peers) == 0 && len(u.zones) == 0
}

// bucket holds the tokens of a rate limit.
type bucket struct {
	tokens float64
	at     time.Time
}

// take uses up a token of a bucket that gains rate tokens a second and holds up to depth. A new bucket
// is full.
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
