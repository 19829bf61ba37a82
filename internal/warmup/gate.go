package warmup

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

const (
	// userCount is the number of daemons that may use a target that warms up.
	userCount = 2
	// shareCount is the number of equal shares of a target's bound. Each user takes one; the others are for daemons
	// that wrongly count themselves among the users.
	shareCount = 3
	// logWindow is the length of the sliding log: the second of the bound and the highest difference in the delays of
	// two packets to one target.
	logWindow = time.Second + 250*time.Millisecond
)

// Cause is the reason of an answer of the gate.
type Cause uint8

// The causes.
const (
	// Allowed means that the flow may be offered to the target.
	Allowed Cause = iota
	// NotUser means that other daemons use the target.
	NotUser
	// Unsettled means that this daemon does not know its zone well enough: it started, paused or lost touch with half of
	// the zone a short time ago, or it is draining.
	Unsettled
	// Exhausted means that this daemon's share of the current window is used up.
	Exhausted
	causeCount
)

// String returns the cause's name in metrics.
func (c Cause) String() string {
	return [...]string{"allowed", "not_bearer", "unsettled", "exhausted"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{Allowed, NotUser, Unsettled, Exhausted}
}

// Config configures a Gate.
type Config struct {
	// Self is this daemon's address for other daemons, by which they order it.
	Self netip.AddrPort
	// Zone is this daemon's availability zone.
	Zone model.Zone
	// Overage and Slack give the bound of any second: the target's rate x Overage + Slack.
	Overage, Slack float64
}

// Gate decides on offers of flows to targets that warm up. It is safe for concurrent use.
type Gate struct {
	cfg     Config
	counts  [causeCount]atomic.Int64
	mu      sync.Mutex
	zone    *zone
	stopped bool
	targets map[model.TargetID]*targetState
}

// targetState is what the gate keeps of a target that warms up.
type targetState struct {
	// uses is whether this daemon is a user, as of the given version of the zone.
	uses    bool
	version uint64
	// sent holds the times of the first packets that were sent within logWindow, in ascending order.
	sent      []time.Time
	warmUntil time.Time
}

// NewGate returns a gate that knows no other daemon and allows nothing until it has been updated for a while.
func NewGate(cfg Config) *Gate {
	return &Gate{cfg: cfg, zone: newZone(cfg.Zone.Name, cfg.Self), targets: make(map[model.TargetID]*targetState)}
}

// SetPeers passes what the membership knows of the other daemons, of any zone. It must be called several times a second.
func (g *Gate) SetPeers(now time.Time, peers []Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zone.update(now, peers)
	for id, s := range g.targets {
		if !now.Before(s.warmUntil.Add(logWindow)) {
			delete(g.targets, id)
		}
	}
}

// Suspend denies all offers until the zone has been known again for settleTime, as after a pause of the process.
func (g *Gate) Suspend(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zone.unsettle(now)
}

// Stop denies all offers from now on, before this daemon announces that it is draining.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// Limited reports whether offers to the target are limited: it warms up and has a published rate.
func Limited(now time.Time, t *model.Target) bool {
	return t.WarmupRate > 0 && now.Before(t.WarmUntil)
}

// MayOffer reports whether a new flow may be offered to the target. It does not count the offer.
func (g *Gate) MayOffer(now time.Time, t *model.Target) bool {
	if !Limited(now, t) {
		return true
	}
	g.mu.Lock()
	c := g.decide(now, t)
	g.mu.Unlock()
	if c != Allowed {
		g.counts[c].Add(1)
	}
	return c == Allowed
}

// Take counts a first packet that is about to be sent to the target, and reports whether it may be sent.
func (g *Gate) Take(now time.Time, t *model.Target) bool {
	if !Limited(now, t) {
		return true
	}
	g.mu.Lock()
	c := g.decide(now, t)
	if c == Allowed {
		s := g.targets[t.ID]
		s.sent = append(s.sent, now)
	}
	g.mu.Unlock()
	g.counts[c].Add(1)
	return c == Allowed
}

// Uses reports whether this daemon may use the target now: it warms up with a rate and this daemon is a settled user.
func (g *Gate) Uses(now time.Time, t *model.Target) bool {
	if !Limited(now, t) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.decide(now, t)
	return c == Allowed || c == Exhausted && g.share(t) > 0
}

// Count returns how often the gate gave an answer: offers that were taken, or denials by cause.
func (g *Gate) Count(c Cause) int64 {
	return g.counts[c].Load()
}

// share returns the number of first packets that one user may send to the target within logWindow.
func (g *Gate) share(t *model.Target) int {
	return int(math.Floor((t.WarmupRate*g.cfg.Overage + g.cfg.Slack) / shareCount))
}

func (g *Gate) decide(now time.Time, t *model.Target) Cause {
	switch {
	case t.Zone != g.cfg.Zone:
		return NotUser
	case g.stopped || !g.zone.usable(now):
		return Unsettled
	}
	s := g.state(t)
	if !s.uses {
		return NotUser
	}
	s.prune(now)
	if len(s.sent) >= g.share(t) {
		return Exhausted
	}
	return Allowed
}

// state returns the state of a target, with uses up to date.
func (g *Gate) state(t *model.Target) *targetState {
	s := g.targets[t.ID]
	if s == nil {
		s = &targetState{}
		g.targets[t.ID] = s
		s.version = g.zone.version + 1 // differs, so that uses is computed
	}
	s.warmUntil = t.WarmUntil
	if s.version != g.zone.version {
		s.version, s.uses = g.zone.version, g.zone.uses(uint64(model.NameHash(t.Name)))
	}
	return s
}

// prune drops the entries that are older than logWindow.
func (s *targetState) prune(now time.Time) {
	n := 0
	for n < len(s.sent) && now.Sub(s.sent[n]) >= logWindow {
		n++
	}
	s.sent = append(s.sent[:0], s.sent[n:]...)
}

// Known returns the number of daemons of this daemon's zone that it knows, itself included. It is told to the others as
// Peer.Known.
func (g *Gate) Known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zone.known
}
