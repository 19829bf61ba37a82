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
	// settle is how long after a fault a daemon and the links count as troubled: the platform's own bound.
	settle = 4 * time.Second
	// tickEvery is the time between two looks at what is due, stallAfter the gap between two from which the machine
	// itself has stalled and all links count as troubled.
	tickEvery  = 10 * time.Millisecond
	stallAfter = 150 * time.Millisecond
	// routeSlack is how long a daemon may act on an older configuration.
	routeSlack = 3 * time.Second
	// eventQueue bounds what waits for the loop; packets beyond it are lost, as in a full socket.
	eventQueue = 1 << 14
	// maxBreaks bounds the broken promises that are told.
	maxBreaks = 20
)

// Break is a broken promise.
type Break struct {
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
	// Promise names it.
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// world holds all stand-ins. One goroutine, loop, owns it; others hand it functions by do.
type world struct {
	dialect Dialect
	binary  string
	dir     string
	port    int
	shape   shape
	zones   []string
	hash    Hash
	rand    *rand.Rand
	began   time.Time

	store   *Store
	server  *http.Server
	entries []*entry
	targets []*target
	callers []*caller
	byData  map[netip.AddrPort]*entry
	byIP    map[netip.Addr]*caller
	// refusedFrom are the daemons that sent the last packet of a flow that a target refused.
	refusedFrom map[packet.FlowKey]*entry

	config  Config
	configs []datedConfig
	dropped []Route

	links         links
	troubledUntil time.Time
	timers        []timer
	traffic       bool
	lastTick      time.Time
	stalls        int
	// excused counts the packets and resets that would break the promise on open flows without a fault near them.
	excused      int
	tokens       int
	targetsMade  int
	requestsMade uint64

	history history.History
	breaks  []Break
	err     error

	events chan func()
	done   chan struct{}
}

// datedConfig is a configuration and when another one took its place; zero for the newest.
type datedConfig struct {
	Config
	until time.Time
}

type timer struct {
	at time.Time
	do func()
}

// do runs something on the loop; false once the run is over.
func (w *world) do(f func()) bool {
	select {
	case w.events <- f:
		return true
	case <-w.done:
		return false
	}
}

// loop runs events until something returns true from over.
func (w *world) loop(over func(now time.Time) bool) {
	ticker := time.NewTicker(tickEvery)
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

func (w *world) tick(now time.Time) {
	if now.Sub(w.lastTick) >= stallAfter {
		w.stalls++
		w.trouble(now)
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

func (w *world) after(d time.Duration, f func()) {
	w.timers = append(w.timers, timer{time.Now().Add(d), f})
}

// wait draws a time with a mean.
func (w *world) wait(mean time.Duration) time.Duration {
	return draw(w.rand, mean)
}

// read hands the datagrams of a socket to the loop until it is closed.
func (w *world) read(conn *net.UDPConn, take func(now time.Time, from netip.AddrPort, raw []byte)) {
	buf := make([]byte, 2048)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !w.do(func() { take(time.Now(), from, raw) }) {
			return
		}
	}
}

func (w *world) write(conn *net.UDPConn, to netip.AddrPort, raw []byte) {
	// What the system refuses is lost, as on any network.
	_, _ = conn.WriteToUDPAddrPort(raw, to)
}

// trouble notes that the links were troubled until now.
func (w *world) trouble(now time.Time) {
	w.troubledUntil = now.Add(settle)
}

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *world) broken(promise, format string, args ...any) {
	if len(w.breaks) < maxBreaks {
		w.breaks = append(w.breaks, Break{At: time.Since(w.began).Round(time.Millisecond), Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

func (w *world) callerAt(ip netip.Addr) *caller { return w.byIP[ip] }

func (w *world) entryAt(data netip.AddrPort) *entry { return w.byData[data] }

// targetAt returns the newest target at an address.
func (w *world) targetAt(addr netip.AddrPort) *target {
	for i := len(w.targets) - 1; i >= 0; i-- {
		if w.targets[i].entry.Address == addr {
			return w.targets[i]
		}
	}
	return nil
}

// wanted returns what a caller asks for: a route, or now and then an address that has none or none any longer.
func (w *world) wanted() Route {
	if w.rand.Float64() >= strangers {
		return w.config.Routes[w.rand.IntN(len(w.config.Routes))]
	}
	if n := len(w.dropped); n > 0 && w.rand.IntN(2) == 0 {
		return w.dropped[w.rand.IntN(n)]
	}
	return Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 9, 9}), 443), Repeatable: true}
}

// route returns the daemon that the routers hand a flow's packet to: by a hash over the zone's daemons in rotation,
// over all of them where fewer than half are, and over other zones' where none is.
func (w *world) route(zone string, key packet.FlowKey) *entry {
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
		return w.pick(elsewhere, key)
	case 2*len(ready) < len(all):
		return w.pick(all, key)
	}
	return w.pick(ready, key)
}

// pick chooses as the schedule says: by rendezvous hashing, where only the flows of a daemon that leaves or joins change
// theirs, or by the remainder, where nearly all do.
func (w *world) pick(entries []*entry, key packet.FlowKey) *entry {
	flow := uint64(key.Hash())
	if w.hash == Mod && len(entries) > 0 {
		return entries[flow%uint64(len(entries))]
	}
	var best *entry
	var most uint64
	for _, e := range entries {
		if h := xxhash.Sum64String(e.name + strconv.FormatUint(flow, 16)); best == nil || h > most {
			best, most = e, h
		}
	}
	return best
}

// outcome records the end of an attempt.
func (w *world) outcome(now time.Time, f *flow, fate history.Fate, cause history.Cause, answer history.AttemptID) {
	w.history.Outcomes = append(w.history.Outcomes, history.Outcome{
		ID:   history.AttemptID{Request: f.wanted.id, Attempt: f.wanted.attempt},
		Flow: f.key, Idempotent: f.wanted.repeatable, Sent: f.sent, Done: now,
		Fate: fate, Cause: cause, AnswerTo: answer, Whole: true,
	})
}

// publish puts a changed configuration in force.
func (w *world) publish(routes []Route) {
	now := time.Now()
	if n := len(w.configs); n > 0 {
		w.configs[n-1].until = now
	}
	w.config = Config{Version: w.config.Version + 1 + w.rand.Uint64N(3), Routes: routes, Services: w.config.Services}
	w.configs = append(w.configs, datedConfig{Config: w.config})
	w.store.put(w.dialect.ConfigItem(w.config))
}
