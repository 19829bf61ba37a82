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
	// startTime is the time limit for all daemons to become ready.
	startTime = 30 * time.Second
	// calm is the wait between the end of the schedule and the final check: longer than a registration and every
	// suspicion about a target or peer last.
	calm = 8 * time.Second
	// lastRequests is the number of requests that each caller sends in the final check, lastTime their time limit.
	lastRequests = 3
	lastTime     = 8 * time.Second
	// strangers is the share (0 to 1) of flows to addresses without a route, or whose route was removed.
	strangers = 0.05
	// firstRoutes is the number of routes that are never removed.
	firstRoutes = 4
)

// Options configures a run.
type Options struct {
	Dialect Dialect
	// Binary is the path of the daemon's executable.
	Binary string
	// Dir is the directory for settings, logs and, after a failure, the schedule.
	Dir string
	// Port is the first of four consecutive ports that the run uses on loopback addresses.
	Port int
}

// Result is the result of a run.
type Result struct {
	Breaks []Break `json:"breaks"`
	// Steps counts the steps of the schedule, Outcomes the attempts that ended at callers, Answered those that got a
	// response, and Runs those executed by targets.
	Steps    int `json:"steps"`
	Outcomes int `json:"outcomes"`
	Answered int `json:"answered"`
	Runs     int `json:"runs"`
	// Stalls counts the stalls of the machine that runs the soak; failures near them are not attributed to daemons.
	Stalls int `json:"stalls"`
	// Excused counts the failures of open flows that are not attributed to daemons because a fault was near.
	Excused int `json:"excused"`
}

// Run starts the daemons, executes a schedule and checks the promises. An error means that the run could not be
// completed; broken promises are in the Result.
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

// newWorld creates the simulated components; it starts no daemon.
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
		return nil, fmt.Errorf("create the output directory: %w", err)
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

// populate creates the targets, callers and entry VMs of a zone.
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
		return fmt.Errorf("listen for the store: %w", err)
	}
	w.server = &http.Server{Handler: w.dialect.StoreHandler(w.store), Addr: l.Addr().String()}
	go w.server.Serve(l) // returns when close closes the server
	return nil
}

// startAll writes the settings, starts the daemons and polls their status.
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

// lastLook waits until the system has recovered from all faults, then checks that each daemon is ready and that each
// caller is served on the permanent routes.
func (w *world) lastLook(ctx context.Context) {
	until := time.Now().Add(calm)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || now.After(until) })
	for _, e := range w.entries {
		if !e.ready {
			w.broken("service", "%s is not ready after the end of all faults", e.name)
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
					w.broken("service", "caller %v got no response from %v after the end of all faults", c.addr.Addr(), r.Address)
				}
			}), 0)
		}
	}
	until = time.Now().Add(lastTime)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || waiting == 0 || now.After(until) })
	if waiting > 0 {
		w.broken("service", "%d requests of the final check were still pending after %v", waiting, lastTime)
	}
}

// stopAll stops the daemons with SIGTERM and checks that they exit in time.
func (w *world) stopAll() {
	for _, e := range w.entries {
		e.stop(syscall.SIGTERM, nil)
	}
	until := time.Now().Add(drainTimeout + stopSlack)
	w.loop(func(now time.Time) bool { return w.running() == 0 || now.After(until) })
	if n := w.running(); n > 0 && w.err == nil {
		w.broken("stops", "%d daemons were still running %v after SIGTERM", n, drainTimeout+stopSlack)
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

// close stops everything that the run has started.
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
