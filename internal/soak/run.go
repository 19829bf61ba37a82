package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// startTime bounds the wait for all daemons to be ready.
	startTime = 30 * time.Second
	// calm is how long after the last fault the last look begins: longer than a target's entry and all doubts last.
	calm = 8 * time.Second
	// lastRequests is how many requests each caller asks then, lastTime how long they may take.
	lastRequests = 3
	lastTime     = 8 * time.Second
	// strangers is the share of flows to addresses that no route has, or has no longer.
	strangers = 0.05
	// firstRoutes are the routes that stay.
	firstRoutes = 4
)

// Options say how a run is made.
type Options struct {
	Dialect Dialect
	// Binary is the daemon's program.
	Binary string
	// Dir receives settings, logs and, after a failure, the schedule.
	Dir string
	// Port is the first of four ports that the run uses on loopback addresses.
	Port int
}

// Result is what a run found.
type Result struct {
	Breaks []Break `json:"breaks"`
	// Steps counts the steps played, Outcomes and Runs the attempts that ended and those that ran at targets.
	Steps    int `json:"steps"`
	Outcomes int `json:"outcomes"`
	Answered int `json:"answered"`
	Runs     int `json:"runs"`
	// Stalls counts the times at which this machine itself stood still; nothing is held against daemons around them.
	Stalls int `json:"stalls"`
	// Excused counts what happened to open flows and is not held against daemons, since a fault was near.
	Excused int `json:"excused"`
}

// Run plays a schedule.
func Run(ctx context.Context, o Options, s Schedule) (Result, error) {
	w, err := newWorld(o, s)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	w.startAll()
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || w.allReady() || now.Sub(w.began) > startTime })
	if !w.allReady() {
		w.fail(errNotReady)
	}
	w.began, w.traffic = time.Now(), true
	steps := s.Steps
	w.loop(func(now time.Time) bool {
		for len(steps) > 0 && now.Sub(w.began) >= steps[0].At {
			w.play(steps[0])
			steps = steps[1:]
		}
		return ctx.Err() != nil || now.Sub(w.began) >= s.For
	})
	w.traffic = false
	w.lastLook(ctx)
	w.stopAll()
	if w.err == nil {
		w.err = ctx.Err()
	}
	w.checkHistory()
	return w.result(s), w.err
}

var errNotReady = fmt.Errorf("not all daemons were ready within %v", startTime)

// newWorld builds the stand-ins; no daemon runs yet.
func newWorld(o Options, s Schedule) (*world, error) {
	if err := s.Size.check(); err != nil {
		return nil, err
	}
	w := &world{
		dialect: o.Dialect, binary: o.Binary, dir: o.Dir, port: o.Port, shape: shapes[s.Size], hash: s.Hash,
		rand: rand.New(rand.NewPCG(s.Seed, 1)), began: time.Now(), store: newStore(),
		byData: make(map[netip.AddrPort]*entry), byIP: make(map[netip.Addr]*caller),
		refusedFrom: make(map[packet.FlowKey]*entry),
		links:       links{cut: make(map[string]int), half: make(map[string]int)},
		events:      make(chan func(), eventQueue), done: make(chan struct{}),
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("make the directory of a soak: %w", err)
	}
	w.config.Services = []string{"booking", "brochure"}
	var routes []Route
	for i := range firstRoutes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(1 + i/2)}), uint16(8000+i))
		routes = append(routes, Route{Address: addr, Service: w.config.Services[i%2], Repeatable: i < 2})
	}
	w.publish(routes)
	if err := w.serveStore(); err != nil {
		return nil, err
	}
	for z := range w.shape.zones {
		w.zones = append(w.zones, fmt.Sprintf("z%d", z))
	}
	for z, zone := range w.zones {
		if err := w.populate(byte(z), zone); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, w.err
}

// populate builds the stand-ins of a zone.
func (w *world) populate(z byte, zone string) error {
	for i := range w.shape.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20 + z, 0, byte(1 + i)}), uint16(w.port+targetPort))
		w.newTarget(w.config.Services[i%2], zone, addr)
	}
	for i := range w.shape.callers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60 + z, 0, byte(1 + i)}), uint16(w.port+dataPort))
		w.newCaller(zone, addr)
	}
	for _, c := range w.callers {
		w.byIP[c.addr.Addr()] = c
	}
	for i := range w.shape.daemons {
		p, err := newProxy(w.server.Addr)
		if err != nil {
			return err
		}
		e := &entry{
			w: w, name: fmt.Sprintf("%s-%d", zone, i), zone: zone, store: p,
			ip: netip.AddrFrom4([4]byte{127, 10 + z, 0, byte(1 + i)}),
		}
		w.entries = append(w.entries, e)
		w.byData[e.at(dataPort)] = e
	}
	return nil
}

func (w *world) serveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	w.server = &http.Server{Handler: w.dialect.StoreHandler(w.store), Addr: l.Addr().String()}
	go w.server.Serve(l) // ends with close
	return nil
}

// startAll starts the daemons and the looks at them.
func (w *world) startAll() {
	client := &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range w.entries {
		if err := e.settings(); err != nil {
			w.fail(err)
			return
		}
		e.start()
		go e.look(client)
	}
}

func (w *world) allReady() bool {
	for _, e := range w.entries {
		if !e.ready {
			return false
		}
	}
	return true
}

// lastLook waits until all faults are settled, then checks that each daemon is ready and that each caller is served on
// the routes that stay.
func (w *world) lastLook(ctx context.Context) {
	until := time.Now().Add(calm)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || now.After(until) })
	for _, e := range w.entries {
		if !e.ready {
			w.broken("service", "%s is not ready although all faults are over", e.name)
		}
	}
	waiting := 0
	for _, c := range w.callers {
		for i := range lastRequests {
			r := w.config.Routes[i%firstRoutes]
			waiting++
			c.ask(time.Now(), r, w.newRequest(r, func(answered bool) {
				waiting--
				if !answered {
					w.broken("service", "%v was not served at %v although all faults were over", c.addr.Addr(), r.Address)
				}
			}), 0)
		}
	}
	until = time.Now().Add(lastTime)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || waiting == 0 || now.After(until) })
	if waiting > 0 {
		w.broken("service", "%d requests had no end %v after all faults were over", waiting, lastTime)
	}
}

// stopAll ends the daemons as planned.
func (w *world) stopAll() {
	for _, e := range w.entries {
		e.stop(syscall.SIGTERM, nil)
	}
	until := time.Now().Add(drainTimeout + stopSlack)
	w.loop(func(now time.Time) bool { return w.running() == 0 || now.After(until) })
	if n := w.running(); n > 0 && w.err == nil {
		w.broken("stops", "%d daemons have not ended %v after they were asked to", n, drainTimeout+stopSlack)
	}
}

func (w *world) running() int {
	n := 0
	for _, e := range w.entries {
		if e.cmd != nil {
			n++
		}
	}
	return n
}

// close ends everything that the run has started.
func (w *world) close() {
	close(w.done)
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
		e.store.close()
	}
	for _, t := range w.targets {
		if t.conn != nil {
			_ = t.conn.Close()
		}
		if t.health != nil {
			_ = t.health.Close()
		}
	}
	for _, c := range w.callers {
		_ = c.conn.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

func (w *world) result(s Schedule) Result {
	r := Result{Breaks: w.breaks, Steps: len(s.Steps), Outcomes: len(w.history.Outcomes), Runs: len(w.history.Runs), Stalls: w.stalls, Excused: w.excused}
	for _, o := range w.history.Outcomes {
		if o.Fate == history.FateAnswered {
			r.Answered++
		}
	}
	return r
}
