// The number of requests that a daemon keeps in progress at a zone's targets of one service while they are short.

package room

import (
	"math"
	"time"
)

const (
	// outcomeTimeConstant is the time constant of the moving sums of outcomes: about two retransmissions.
	outcomeTimeConstant = 400 * time.Millisecond
	// shortRejects and shortShare are the rejected requests and their share from which a zone is short.
	shortRejects = 1.5
	shortShare   = 0.08
	// rejectCut is the share by which a rejected request reduces the window, growth that by which a served one raises
	// it while the window limits.
	rejectCut = 0.15
	growth    = 0.02
	// importantCut is the share by which the rejection of a request reduces the window of less important ones.
	importantCut = 0.3
	// startFactor bounds the first window, as a multiple of the daemon's fair part of the slots: full queues would hold
	// twice as much, so they are half empty at once.
	startFactor = 2.5
	// idleConstant is the time constant of the sums from which idle targets are noticed, so that it takes less than a
	// retransmission. idleResponses is the least sum of responses as fast as while there is room, two in a row, and
	// idleShare their least share.
	idleConstant  = 100 * time.Millisecond
	idleResponses = 1.2
	idleShare     = 0.8
	// stepInterval is the minimum time between two cuts, and between two raises, so that the outcomes of one moment count
	// once, however many a daemon sees.
	stepInterval = 50 * time.Millisecond
	// fairFloor is the share of its fair part of the slots below which a daemon's window is not cut: all daemons together
	// keep that share busy, and each keeps noticing when room is back.
	fairFloor = 0.5
	// recoveryTime is how long a zone must neither limit nor reject until it is no longer short: longer than callers
	// take to return.
	recoveryTime = time.Second
)

// decayed is a sum whose parts decay exponentially with a time constant.
type decayed struct {
	constant time.Duration
	sum      float64
	at       time.Time
}

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(d.constant))
}

func (d *decayed) add(now time.Time, x float64) {
	d.sum, d.at = d.value(now)+x, now
}

// window limits the requests in progress at the targets of one zone.
type window struct {
	opening, running ring
	// done and rejected are moving sums of the requests that ended, and of those that a target rejected.
	done, rejected decayed
	short          bool
	// sizes limits, for each level, the requests in progress that are as important or more.
	sizes               [levels]float64
	lastCut, lastGrowth time.Time
	// quick and recent are sums of the latest responses: those that came as fast as while there is room, and all.
	quick, recent decayed
	// limitedAt is when each level was last kept back or rejected.
	limitedAt [levels]time.Time
	// slots is the number of slots of the zone's targets that take new flows, fair this daemon's part of them.
	slots, fair float64
	// keptBack is true once the shortage has kept a flow back.
	keptBack bool
}

func newWindow() *window {
	w := &window{}
	w.opening.span, w.running.span = openingBuckets, requestBuckets
	w.done.constant, w.rejected.constant = outcomeTimeConstant, outcomeTimeConstant
	w.quick.constant, w.recent.constant = idleConstant, idleConstant
	return w
}

// inProgress returns the number of requests in progress, and of flows that are being opened, that are as important as
// level or more.
func (w *window) inProgress(now time.Time, level int) int {
	return w.opening.upTo(now, level) + w.running.upTo(now, level)
}

// fits reports whether one more flow may be placed. draw is a random number in [0, 1) that decides on a fraction, and
// reserve the share of the window that the flow must leave free.
//
// Load pattern: a burst of less important requests. More important ones count among themselves only, so that there is
// always room for them, and the others get what these leave.
func (w *window) fits(now time.Time, level int, draw, reserve float64) bool {
	if !w.short {
		return true
	}
	room := max(w.sizes[level], w.sizes[levels-1])*(1-reserve) - float64(w.inProgress(now, level))
	if room >= 1 || draw < room {
		return true
	}
	if reserve > 0 || !w.idle(now) {
		return false
	}
	w.sizes[level] = max(w.sizes[level], float64(w.inProgress(now, level)+1))
	return true
}

// idle reports whether nearly all of the latest responses came as fast as while there is room.
//
// Load pattern: the burst is over, or targets are back. Their queues are empty at once, long before the window has
// grown.
func (w *window) idle(now time.Time) bool {
	quick := w.quick.value(now)
	return quick >= idleResponses && quick >= idleShare*w.recent.value(now)
}

// limited records that a flow was kept back.
func (w *window) limited(now time.Time, level int) {
	w.limitedAt[level] = now
	w.keptBack = true
}

// served records a request that a target served, quick if it did as fast as while there is room.
func (w *window) served(now time.Time, quick bool) {
	w.done.add(now, 1)
	w.recent.add(now, 1)
	if quick {
		w.quick.add(now, 1)
	}
	if !w.short || now.Sub(w.lastGrowth) < stepInterval {
		return
	}
	w.lastGrowth = now
	for l := range levels {
		if now.Sub(w.limitedAt[l]) < outcomeTimeConstant {
			w.sizes[l] *= 1 + growth
		}
	}
}

// reject records a request that a target rejected because its queue was full.
func (w *window) reject(now time.Time, level int) {
	w.done.add(now, 1)
	w.rejected.add(now, 1)
	w.recent.add(now, 1)
	switch {
	case w.short:
		w.limitedAt[level] = now
		w.cut(now, level, w.leastImportant(now, level))
	case w.rejected.value(now) >= shortRejects && w.rejected.value(now) >= shortShare*w.done.value(now):
		w.begin(now)
	}
}

// leastImportant returns the least important level with requests in progress, or the level of the rejected request.
//
// Load pattern: less important requests on flows that were open before fill the targets. The more important ones that
// meet a full queue are tried again as long as others are served.
func (w *window) leastImportant(now time.Time, level int) int {
	for l := levels - 1; l > level; l-- {
		if w.inProgress(now, l) > w.inProgress(now, l-1) {
			return l
		}
	}
	return level
}

// begin starts to limit the zone's requests at less than what is in progress.
func (w *window) begin(now time.Time) {
	w.start(now, min(float64(w.inProgress(now, levels-1))*(1-rejectCut), startFactor*w.fair))
}

// start starts to limit the zone's requests.
func (w *window) start(now time.Time, size float64) {
	w.short, w.keptBack, w.lastCut = true, false, now
	for l := range levels {
		w.sizes[l] = max(size, w.fair)
		w.limitedAt[l] = now
	}
}

// floor returns the least size of a window.
func (w *window) floor() float64 {
	return fairFloor * w.fair
}

// cut reduces the windows of a level and of the less important ones, after a request of the rejected level met a full
// queue.
func (w *window) cut(now time.Time, rejected, level int) {
	if now.Sub(w.lastCut) < stepInterval {
		return
	}
	w.lastCut = now
	share := rejectCut
	if rejected < level {
		share = importantCut
	}
	for l := level; l < levels; l++ {
		w.sizes[l] = max(w.sizes[l]*(1-share), w.floor())
	}
}

// setSlots adapts the window to the slots of the targets that take new flows.
//
// Load pattern: targets leave or come back. Their share of the window goes or comes with them at once.
func (w *window) setSlots(slots float64) {
	if w.short && w.slots > 0 && slots > 0 {
		for l := range levels {
			w.sizes[l] *= slots / w.slots
		}
	}
	w.slots = slots
}

// tick ends the shortage once nothing was limited for some time.
func (w *window) tick(now time.Time) {
	for _, at := range w.limitedAt {
		if now.Sub(at) < recoveryTime {
			return
		}
	}
	w.short = false
}
