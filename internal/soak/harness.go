package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// faultGrace is the grace time after a fault during which failures are not attributed to the daemon or the links: the
	// platform's own bound on recovery.
	faultGrace = 4 * time.Second
	// tickInterval is the interval of the loop's timer. After a gap of stallThreshold or more between two ticks, the
	// machine itself is assumed to have stalled, which counts as a fault of all links.
	tickInterval   = 10 * time.Millisecond
	stallThreshold = 150 * time.Millisecond
	// routeSlack is how long a daemon may use a configuration after its replacement.
	routeSlack = 3 * time.Second
	// eventQueueSize is the capacity of the loop's event queue. When it is full, readers block and packets are lost in
	// their full socket buffers.
	eventQueueSize = 1 << 14
	// maxBreaks bounds the number of broken promises in a Result.
	maxBreaks = 20
)

// Break is a broken promise: a violation of one of the guarantees that a run checks.
type Break struct {
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
	// Promise is the short name of the promise.
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
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

	links        links
	excusedUntil time.Time
	timers       []timer
	trafficOn    bool
	lastTick     time.Time
	stalls       int
	// excused counts the misrouted packets and resets of open flows that are not attributed to a daemon because a fault
	// was near.
	excused        int
	lastToken      int
	targetsStarted int
	lastRequestID  uint64

	history history.History
	breaks  []Break
	err     error

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
func (w *harness) runOnLoop(f func()) bool {
	select {
	case w.events <- f:
		return true
	case <-w.done:
		return false
	}
}

// loop processes events and timers until over returns true or the run fails.
func (w *harness) loop(over func(now time.Time) bool) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	w.lastTick = time.Now()
	for {
		select {
		case f := <-w.events:
			f()
		case <-ticker.C:
			now := time.Now()
			w.tick(now)
			if w.err != nil || over(now) {
				return
			}
		}
	}
}

func (w *harness) tick(now time.Time) {
	if now.Sub(w.lastTick) >= stallThreshold {
		w.stalls++
		w.recordLinkFault(now)
	}
	w.lastTick = now
	for i := 0; i < len(w.timers); {
		t := w.timers[i]
		if now.Before(t.at) {
			i++
			continue
		}
		w.timers = append(w.timers[:i], w.timers[i+1:]...)
		t.do()
	}
	for _, t := range w.targets {
		t.tick(now)
	}
	for _, c := range w.callers {
		c.tick(now)
	}
}

func (w *harness) after(d time.Duration, f func()) {
	w.timers = append(w.timers, timer{time.Now().Add(d), f})
}

// randomWait returns an exponentially distributed time with the given mean.
func (w *harness) randomWait(mean time.Duration) time.Duration {
	return exponential(w.rand, mean)
}

// read passes the datagrams of a socket to the loop until the socket is closed.
func (w *harness) read(conn *net.UDPConn, take func(now time.Time, from netip.AddrPort, raw []byte)) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !w.runOnLoop(func() { take(time.Now(), from, raw) }) {
			return
		}
	}
}

func (w *harness) write(conn *net.UDPConn, to netip.AddrPort, raw []byte) {
	// A datagram that the socket does not accept is lost, as on any network.
	_, _ = conn.WriteToUDPAddrPort(raw, to)
}

// recordLinkFault records a fault of the links that lasts until the given time; faultGrace is added to it.
func (w *harness) recordLinkFault(now time.Time) {
	w.excusedUntil = now.Add(faultGrace)
}

func (w *harness) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *harness) reportBreak(promise, format string, args ...any) {
	if len(w.breaks) < maxBreaks {
		w.breaks = append(w.breaks, Break{At: time.Since(w.startedAt).Round(time.Millisecond), Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *harness) callerAt(ip netip.Addr) *caller { return w.callerByIP[ip] }

func (w *harness) entryAt(data netip.AddrPort) *entry { return w.entryByData[data] }

// targetAt returns the newest target at an address, or nil.
func (w *harness) targetAt(addr netip.AddrPort) *target {
	for i := len(w.targets) - 1; i >= 0; i-- {
		if w.targets[i].entry.Address == addr {
			return w.targets[i]
		}
	}
	return nil
}

// randomRoute returns a random route for a new flow. A share unroutedShare of the flows goes to an address without a
// route or whose route was removed.
func (w *harness) randomRoute() Route {
	if w.rand.Float64() >= unroutedShare {
		return w.config.Routes[w.rand.IntN(len(w.config.Routes))]
	}
	if n := len(w.droppedRoutes); n > 0 && w.rand.IntN(2) == 0 {
		return w.droppedRoutes[w.rand.IntN(n)]
	}
	return Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 9, 9}), 443), Repeatable: true}
}

// route returns the daemon to which the routers send a flow's packets: by hash over the zone's ready daemons, over all
// of the zone's daemons if fewer than half are ready, and over the ready daemons of other zones if none is.
func (w *harness) route(zone string, key packet.FlowKey) *entry {
	var ready, all, elsewhere []*entry
	for _, e := range w.entries {
		switch {
		case e.zone != zone && e.ready:
			elsewhere = append(elsewhere, e)
		case e.zone == zone:
			all = append(all, e)
			if e.ready {
				ready = append(ready, e)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(elsewhere) > 0:
		return w.pickEntry(elsewhere, key)
	case 2*len(ready) < len(all):
		return w.pickEntry(all, key)
	}
	return w.pickEntry(ready, key)
}

// pickEntry chooses a daemon by the schedule's Hash: by rendezvous hashing, or by the hash modulo the number of
// daemons.
func (w *harness) pickEntry(entries []*entry, key packet.FlowKey) *entry {
	flow := uint64(key.Hash())
	if w.hash == Modulo && len(entries) > 0 {
		return entries[flow%uint64(len(entries))]
	}
	var best *entry
	var highest uint64
	for _, e := range entries {
		if h := xxhash.Sum64String(e.name + strconv.FormatUint(flow, 16)); best == nil || h > highest {
			best, highest = e, h
		}
	}
	return best
}

// recordOutcome records the outcome of an attempt.
func (w *harness) recordOutcome(now time.Time, f *flow, fate history.Fate, cause history.Cause, answer history.AttemptID) {
	w.history.Outcomes = append(w.history.Outcomes, history.Outcome{
		ID:   history.AttemptID{Request: f.pending.id, Attempt: f.pending.attempt},
		Flow: f.key, Idempotent: f.pending.repeatable, Sent: f.sentAt, Done: now,
		Fate: fate, Cause: cause, AnswerTo: answer, Whole: true,
	})
}

// publish publishes a configuration with new routes.
func (w *harness) publish(routes []Route) {
	now := time.Now()
	if n := len(w.configHistory); n > 0 {
		w.configHistory[n-1].replacedAt = now
	}
	w.config = Config{Version: w.config.Version + 1 + w.rand.Uint64N(3), Routes: routes, Services: w.config.Services}
	w.configHistory = append(w.configHistory, datedConfig{Config: w.config})
	w.store.put(w.dialect.ConfigItem(w.config))
}
