package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// faultGrace is the time after the end of a fault during which failures are not attributed to the daemon or, after a
	// fault of the links, to any daemon. It is the platform's own bound on recovery.
	faultGrace = 4 * time.Second
	// tickInterval is the interval of the loop's timer. After a gap of stallThreshold or more between two ticks, the
	// machine itself is assumed to have stalled, which counts as a fault of all links.
	tickInterval   = 10 * time.Millisecond
	stallThreshold = 150 * time.Millisecond
	// routeSlack is how long a daemon may use a configuration after its replacement.
	routeSlack = 3 * time.Second
	// eventQueueSize is the capacity of the loop's event queue. When it is full, the socket readers block, and packets
	// that no longer fit into the socket buffers are lost.
	eventQueueSize = 1 << 14
	// maxViolations bounds the number of violations in a Result.
	maxViolations = 20
)

// Violation is a violation of one of the guarantees for callers and operators that a run checks.
type Violation struct {
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
	// Guarantee is the short name of the violated guarantee.
	Guarantee string `json:"promise"`
	Detail    string `json:"detail"`
}

// harness holds all simulated components and the state of a run. The goroutine that runs loop owns it; other
// goroutines pass functions to it with runOnLoop.
type harness struct {
	dialect   Dialect
	binary    string
	dir       string
	port      int
	shape     shape
	zones     []string
	hash      Hash
	rand      *rand.Rand
	startedAt time.Time

	store       *Store
	server      *http.Server
	entries     []*entry
	targets     []*target
	callers     []*caller
	entryByData map[netip.AddrPort]*entry
	callerByIP  map[netip.Addr]*caller
	// refusedFrom holds, for each flow, the daemon that sent the last packet that a target refused.
	refusedFrom map[packet.FlowKey]*entry

	config        Config
	configHistory []datedConfig
	droppedRoutes []Route

	// drains holds the zones that are drained.
	drains       map[string]*zoneDrain
	links        links
	excusedUntil time.Time
	timers       []timer
	trafficOn    bool
	lastTick     time.Time
	stalls       int
	// excused counts the misrouted packets and resets of open flows that are not attributed to a daemon because of a
	// recent fault.
	excused int
	// lastToken is the last token used to identify an active proxy mode or a set of malformed store items.
	lastToken      int
	targetsStarted int
	lastRequestID  uint64
	// warmingArrivals counts the first packets to targets that warm up and have a rate.
	warmingArrivals int

	history    history.History
	violations []Violation
	err        error

	events chan func()
	done   chan struct{}
}

// datedConfig is a configuration and the time at which it was replaced; zero for the current one.
type datedConfig struct {
	Config
	replacedAt time.Time
}

type timer struct {
	at time.Time
	do func()
}

// runOnLoop passes a function to the loop; false once the run is over.
func (h *harness) runOnLoop(f func()) bool {
	select {
	case h.events <- f:
		return true
	case <-h.done:
		return false
	}
}

// loop processes events and timers until finished returns true or the run fails.
func (h *harness) loop(finished func(now time.Time) bool) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	h.lastTick = time.Now()
	for {
		select {
		case f := <-h.events:
			f()
		case <-ticker.C:
			now := time.Now()
			h.tick(now)
			if h.err != nil || finished(now) {
				return
			}
		}
	}
}

func (h *harness) tick(now time.Time) {
	if now.Sub(h.lastTick) >= stallThreshold {
		h.stalls++
		h.recordLinkFault(now)
	}
	h.lastTick = now
	for i := 0; i < len(h.timers); {
		t := h.timers[i]
		if now.Before(t.at) {
			i++
			continue
		}
		h.timers = append(h.timers[:i], h.timers[i+1:]...)
		t.do()
	}
	for _, t := range h.targets {
		t.tick(now)
	}
	for _, c := range h.callers {
		c.tick(now)
	}
}

func (h *harness) after(d time.Duration, f func()) {
	h.timers = append(h.timers, timer{time.Now().Add(d), f})
}

// randomWait returns an exponentially distributed time with the given mean.
func (h *harness) randomWait(mean time.Duration) time.Duration {
	return exponential(h.rand, mean)
}

// read passes the datagrams of a socket to the loop until the socket is closed.
func (h *harness) read(conn *net.UDPConn, handle func(now time.Time, from netip.AddrPort, raw []byte)) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !h.runOnLoop(func() { handle(time.Now(), from, raw) }) {
			return
		}
	}
}

func (h *harness) write(conn *net.UDPConn, to netip.AddrPort, raw []byte) {
	// A datagram that the socket does not accept is lost, as on any network.
	_, _ = conn.WriteToUDPAddrPort(raw, to)
}

// recordLinkFault records a fault of the links that lasts until the given time; faultGrace is added to it.
func (h *harness) recordLinkFault(until time.Time) {
	h.excusedUntil = until.Add(faultGrace)
}

func (h *harness) fail(err error) {
	if h.err == nil {
		h.err = err
	}
}

func (h *harness) reportViolation(guarantee, format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, Violation{At: time.Since(h.startedAt).Round(time.Millisecond), Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
	}
}

func (h *harness) callerAt(ip netip.Addr) *caller { return h.callerByIP[ip] }

func (h *harness) entryAt(data netip.AddrPort) *entry { return h.entryByData[data] }

// targetAt returns the newest target at an address, or nil.
func (h *harness) targetAt(addr netip.AddrPort) *target {
	for i := len(h.targets) - 1; i >= 0; i-- {
		if h.targets[i].entry.Address == addr {
			return h.targets[i]
		}
	}
	return nil
}

// regionOf returns the region of a zone: the zones alternate between two.
func (h *harness) regionOf(zone string) string {
	return fmt.Sprintf("r%d", slices.Index(h.zones, zone)%2)
}

// randomRoute returns a random route for a new flow. A share unroutedShare of the flows goes to an address without a
// route or whose route was removed.
func (h *harness) randomRoute() Route {
	if h.rand.Float64() >= unroutedShare {
		return h.config.Routes[h.rand.IntN(len(h.config.Routes))]
	}
	if n := len(h.droppedRoutes); n > 0 && h.rand.IntN(2) == 0 {
		return h.droppedRoutes[h.rand.IntN(n)]
	}
	return Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 9, 9}), 443), Repeatable: true}
}

// route returns the daemon to which the routers send a flow's packets: by hash over the zone's ready daemons, over all
// of the zone's daemons if fewer than half are ready, and over the ready daemons of other zones if none is.
func (h *harness) route(zone string, key packet.FlowKey) *entry {
	var ready, all, otherZones []*entry
	for _, e := range h.entries {
		switch {
		case e.zone != zone && e.ready:
			otherZones = append(otherZones, e)
		case e.zone == zone:
			all = append(all, e)
			if e.ready {
				ready = append(ready, e)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(otherZones) > 0:
		return h.pickEntry(otherZones, key)
	case 2*len(ready) < len(all):
		return h.pickEntry(all, key)
	}
	return h.pickEntry(ready, key)
}

// pickEntry chooses a daemon by the schedule's Hash: by rendezvous hashing, or by the hash modulo the number of
// daemons.
func (h *harness) pickEntry(entries []*entry, key packet.FlowKey) *entry {
	flow := uint64(key.Hash())
	if h.hash == Modulo && len(entries) > 0 {
		return entries[flow%uint64(len(entries))]
	}
	var best *entry
	var highest uint64
	for _, e := range entries {
		if score := xxhash.Sum64String(e.name + strconv.FormatUint(flow, 16)); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// recordOutcome records the outcome of an attempt.
func (h *harness) recordOutcome(now time.Time, f *flow, result history.AttemptResult, cause history.Cause, answer history.AttemptID) {
	h.history.Outcomes = append(h.history.Outcomes, history.Outcome{
		ID:   history.AttemptID{Request: f.pending.id, Attempt: f.pending.attempt},
		Flow: f.key, Idempotent: f.pending.repeatable, Sent: f.sentAt, Done: now,
		AttemptResult: result, Cause: cause, AnswerTo: answer, Complete: true,
	})
}

// publish publishes a configuration with new routes.
func (h *harness) publish(routes []Route) {
	now := time.Now()
	if n := len(h.configHistory); n > 0 {
		h.configHistory[n-1].replacedAt = now
	}
	h.config = Config{Version: h.config.Version + 1 + h.rand.Uint64N(3), Routes: routes, Services: h.config.Services, WarmupRate: h.config.WarmupRate}
	h.configHistory = append(h.configHistory, datedConfig{Config: h.config})
	h.store.put(h.dialect.ConfigItem(h.config))
}
