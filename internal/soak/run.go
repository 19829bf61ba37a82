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
	// startTimeout is the time limit for all daemons to become ready.
	startTimeout = 30 * time.Second
	// recoveryWait is the wait between the end of the schedule and the final check: longer than a registration and every
	// suspicion about a target or peer last.
	recoveryWait = 8 * time.Second
	// finalRequests is the number of requests that each caller sends in the final check, finalRequestTimeout their time
	// limit.
	finalRequests       = 3
	finalRequestTimeout = 8 * time.Second
	// unroutedShare is the share (0 to 1) of flows to addresses without a route, or whose route was removed.
	unroutedShare = 0.05
	// permanentRoutes is the number of routes that are never removed.
	permanentRoutes = 4
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
	w, err := newHarness(o, s)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	w.startDaemons()
	w.loop(func(now time.Time) bool {
		return ctx.Err() != nil || w.allReady() || now.Sub(w.startedAt) > startTimeout
	})
	if !w.allReady() {
		w.fail(errNotReady)
	}
	w.startedAt, w.trafficOn = time.Now(), true
	steps := s.Steps
	w.loop(func(now time.Time) bool {
		for len(steps) > 0 && now.Sub(w.startedAt) >= steps[0].At {
			w.execute(steps[0])
			steps = steps[1:]
		}
		return ctx.Err() != nil || now.Sub(w.startedAt) >= s.For
	})
	w.trafficOn = false
	w.finalCheck(ctx)
	w.stopDaemons()
	if w.err == nil {
		w.err = ctx.Err()
	}
	w.checkHistory()
	return w.result(s), w.err
}

var errNotReady = fmt.Errorf("not all daemons were ready within %v", startTimeout)

// newHarness creates the simulated components; it starts no daemon.
func newHarness(o Options, s Schedule) (*harness, error) {
	if err := s.Size.validate(); err != nil {
		return nil, err
	}
	w := &harness{
		dialect: o.Dialect, binary: o.Binary, dir: o.Dir, port: o.Port, shape: shapes[s.Size], hash: s.Hash,
		rand: rand.New(rand.NewPCG(s.Seed, 1)), startedAt: time.Now(), store: newStore(),
		entryByData: make(map[netip.AddrPort]*entry), callerByIP: make(map[netip.Addr]*caller),
		refusedFrom: make(map[packet.FlowKey]*entry),
		links:       links{partitions: make(map[string]int), oneWayCuts: make(map[string]int)},
		events:      make(chan func(), eventQueueSize), done: make(chan struct{}),
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the output directory: %w", err)
	}
	w.config.Services = []string{"booking", "brochure"}
	var routes []Route
	for i := range permanentRoutes {
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
		if err := w.addZone(byte(z), zone); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, w.err
}

// addZone creates the targets, callers and entry VMs of a zone.
func (w *harness) addZone(z byte, zone string) error {
	for i := range w.shape.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20 + z, 0, byte(1 + i)}), uint16(w.port+targetPort))
		w.newTarget(w.config.Services[i%2], zone, addr)
	}
	for i := range w.shape.callers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60 + z, 0, byte(1 + i)}), uint16(w.port+dataPort))
		w.newCaller(zone, addr)
	}
	for _, c := range w.callers {
		w.callerByIP[c.addr.Addr()] = c
	}
	for i := range w.shape.daemons {
		p, err := newProxy(w.server.Addr)
		if err != nil {
			return err
		}
		e := &entry{
			w: w, name: fmt.Sprintf("%s-%d", zone, i), zone: zone, storeProxy: p,
			ip: netip.AddrFrom4([4]byte{127, 10 + z, 0, byte(1 + i)}),
		}
		w.entries = append(w.entries, e)
		w.entryByData[e.addrPort(dataPort)] = e
	}
	return nil
}

func (w *harness) serveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	w.server = &http.Server{Handler: w.dialect.StoreHandler(w.store), Addr: l.Addr().String()}
	go w.server.Serve(l) // returns when close closes the server
	return nil
}

// startDaemons writes the settings, starts the daemons and polls their status.
func (w *harness) startDaemons() {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range w.entries {
		if err := e.writeSettings(); err != nil {
			w.fail(err)
			return
		}
		e.start()
		go e.poll(client)
	}
}

func (w *harness) allReady() bool {
	for _, e := range w.entries {
		if !e.ready {
			return false
		}
	}
	return true
}

// finalCheck waits until the system has recovered from all faults, then checks that each daemon is ready and that each
// caller is served on the permanent routes.
func (w *harness) finalCheck(ctx context.Context) {
	until := time.Now().Add(recoveryWait)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || now.After(until) })
	for _, e := range w.entries {
		if !e.ready {
			w.reportBreak("service", "%s is not ready after the end of all faults", e.name)
		}
	}
	waiting := 0
	for _, c := range w.callers {
		for i := range finalRequests {
			r := w.config.Routes[i%permanentRoutes]
			waiting++
			c.openFlow(time.Now(), r, w.newRequest(r, func(answered bool) {
				waiting--
				if !answered {
					w.reportBreak("service", "caller %v got no response from %v after the end of all faults", c.addr.Addr(), r.Address)
				}
			}), 0)
		}
	}
	until = time.Now().Add(finalRequestTimeout)
	w.loop(func(now time.Time) bool { return ctx.Err() != nil || waiting == 0 || now.After(until) })
	if waiting > 0 {
		w.reportBreak("service", "%d requests of the final check were still pending after %v", waiting, finalRequestTimeout)
	}
}

// stopDaemons stops the daemons with SIGTERM and checks that they exit in time.
func (w *harness) stopDaemons() {
	for _, e := range w.entries {
		e.stop(syscall.SIGTERM, nil)
	}
	until := time.Now().Add(drainTimeout + stopGrace)
	w.loop(func(now time.Time) bool { return w.runningDaemons() == 0 || now.After(until) })
	if n := w.runningDaemons(); n > 0 && w.err == nil {
		w.reportBreak("stops", "%d daemons were still running %v after SIGTERM", n, drainTimeout+stopGrace)
	}
}

func (w *harness) runningDaemons() int {
	n := 0
	for _, e := range w.entries {
		if e.cmd != nil {
			n++
		}
	}
	return n
}

// close stops everything that the run has started.
func (w *harness) close() {
	close(w.done)
	for _, e := range w.entries {
		e.signal(syscall.SIGKILL)
		e.storeProxy.close()
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

func (w *harness) result(s Schedule) Result {
	r := Result{Breaks: w.breaks, Steps: len(s.Steps), Outcomes: len(w.history.Outcomes), Runs: len(w.history.Runs), Stalls: w.stalls, Excused: w.excused}
	for _, o := range w.history.Outcomes {
		if o.Fate == history.FateAnswered {
			r.Answered++
		}
	}
	return r
}
