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
	// recoveryWait is the wait between the end of the schedule and the final check. It is longer than an unrenewed
	// registration and any suspicion of a target or peer can last.
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
	Violations []Violation `json:"breaks"`
	// Steps counts the steps of the schedule, Outcomes the attempts that ended at callers, Answered those that got a
	// response, and Runs those executed by targets.
	Steps    int `json:"steps"`
	Outcomes int `json:"outcomes"`
	Answered int `json:"answered"`
	Runs     int `json:"runs"`
	// Stalls counts the stalls of the machine that runs the soak; failures shortly after them are not attributed to
	// daemons.
	Stalls int `json:"stalls"`
	// Excused counts the failures of open flows that are not attributed to daemons because of a recent fault.
	Excused int `json:"excused"`
	// WarmingArrivals counts the first packets to targets that warm up and have a published rate.
	WarmingArrivals int `json:"warming_arrivals"`
}

// Run starts the daemons, executes a schedule and checks the guarantees. An error means that the run could not be
// completed; violations of the guarantees are in the Result.
func Run(ctx context.Context, o Options, s Schedule) (Result, error) {
	h, err := newHarness(o, s)
	if err != nil {
		return Result{}, err
	}
	defer h.close()
	h.startDaemons()
	h.loop(func(now time.Time) bool {
		return ctx.Err() != nil || h.allReady() || now.Sub(h.startedAt) > startTimeout
	})
	if !h.allReady() {
		h.fail(errNotReady)
	}
	h.startedAt, h.trafficOn = time.Now(), true
	steps := s.Steps
	h.loop(func(now time.Time) bool {
		for len(steps) > 0 && now.Sub(h.startedAt) >= steps[0].At {
			h.execute(steps[0])
			steps = steps[1:]
		}
		return ctx.Err() != nil || now.Sub(h.startedAt) >= s.For
	})
	h.trafficOn = false
	h.finalCheck(ctx)
	h.stopDaemons()
	if h.err == nil {
		h.err = ctx.Err()
	}
	h.checkHistory()
	return h.result(s), h.err
}

var errNotReady = fmt.Errorf("not all daemons were ready within %v", startTimeout)

// newHarness creates the simulated components; it starts no daemon.
func newHarness(o Options, s Schedule) (*harness, error) {
	if err := s.Size.validate(); err != nil {
		return nil, err
	}
	h := &harness{
		dialect: o.Dialect, binary: o.Binary, dir: o.Dir, port: o.Port, shape: shapes[s.Size], hash: s.Hash,
		rand: rand.New(rand.NewPCG(s.Seed, 1)), startedAt: time.Now(), store: newStore(),
		entryByData: make(map[netip.AddrPort]*entry), callerByIP: make(map[netip.Addr]*caller),
		refusedFrom: make(map[packet.FlowKey]*entry), drains: make(map[string]*zoneDrain),
		links:  links{partitions: make(map[string]int), oneWayCuts: make(map[string]int)},
		events: make(chan func(), eventQueueSize), done: make(chan struct{}),
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the output directory: %w", err)
	}
	h.config.Services = []string{"booking", "brochure"}
	if s.Seed%warmupInterval == 0 {
		h.config.WarmupRate = warmupRate
	}
	var routes []Route
	for i := range permanentRoutes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(1 + i/2)}), uint16(8000+i))
		routes = append(routes, Route{Address: addr, Service: h.config.Services[i%2], Repeatable: i < 2})
	}
	h.publish(routes)
	if err := h.serveStore(); err != nil {
		return nil, err
	}
	for z := range h.shape.zones {
		h.zones = append(h.zones, fmt.Sprintf("z%d", z))
	}
	for z, zone := range h.zones {
		if err := h.addZone(byte(z), zone); err != nil {
			h.close()
			return nil, err
		}
	}
	return h, h.err
}

// addZone creates the targets, callers and entry VMs of a zone.
func (h *harness) addZone(z byte, zone string) error {
	for i := range h.shape.targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20 + z, 0, byte(1 + i)}), uint16(h.port+targetPort))
		h.newTarget(h.config.Services[i%2], zone, addr)
	}
	for i := range h.shape.callers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60 + z, 0, byte(1 + i)}), uint16(h.port+dataPort))
		h.newCaller(zone, addr)
	}
	for _, c := range h.callers {
		h.callerByIP[c.addr.Addr()] = c
	}
	for i := range h.shape.daemons {
		p, err := newProxy(h.server.Addr)
		if err != nil {
			return err
		}
		e := &entry{
			h: h, name: fmt.Sprintf("%s-%d", zone, i), zone: zone, storeProxy: p,
			ip: netip.AddrFrom4([4]byte{127, 10 + z, 0, byte(1 + i)}),
		}
		h.entries = append(h.entries, e)
		h.entryByData[e.addrPort(dataPort)] = e
	}
	return nil
}

func (h *harness) serveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	h.server = &http.Server{Handler: h.dialect.StoreHandler(h.store), Addr: l.Addr().String()}
	go h.server.Serve(l) // returns when close closes the server
	return nil
}

// startDaemons writes the settings, starts the daemons and polls their status.
func (h *harness) startDaemons() {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range h.entries {
		if err := e.writeSettings(); err != nil {
			h.fail(err)
			return
		}
		e.start()
		go e.poll(client)
	}
}

func (h *harness) allReady() bool {
	for _, e := range h.entries {
		if !e.ready {
			return false
		}
	}
	return true
}

// finalCheck waits until the system has recovered from all faults, then checks that each daemon is ready and that each
// caller is served on the permanent routes.
func (h *harness) finalCheck(ctx context.Context) {
	until := time.Now().Add(recoveryWait)
	h.loop(func(now time.Time) bool { return ctx.Err() != nil || now.After(until) })
	for _, e := range h.entries {
		if !e.ready {
			h.reportViolation("service", "%s is not ready after the end of all faults", e.name)
		}
		if e.highestPlan != h.config.Version {
			h.reportViolation("plan", "%s uses version %d of the configuration after the end of all faults, in place of %d", e.name, e.highestPlan, h.config.Version)
		}
	}
	pending := 0
	for _, c := range h.callers {
		for i := range finalRequests {
			r := h.config.Routes[i%permanentRoutes]
			pending++
			c.openFlow(time.Now(), r, h.newRequest(r, func(answered bool) {
				pending--
				if !answered {
					h.reportViolation("service", "caller %v got no response from %v after the end of all faults", c.addr.Addr(), r.Address)
				}
			}), 0)
		}
	}
	until = time.Now().Add(finalRequestTimeout)
	h.loop(func(now time.Time) bool { return ctx.Err() != nil || pending == 0 || now.After(until) })
	if pending > 0 {
		h.reportViolation("service", "%d requests of the final check were still pending after %v", pending, finalRequestTimeout)
	}
}

// stopDaemons stops the daemons with SIGTERM and checks that they exit in time.
func (h *harness) stopDaemons() {
	for _, e := range h.entries {
		e.stop(syscall.SIGTERM, nil)
	}
	until := time.Now().Add(drainTimeout + stopGrace)
	h.loop(func(now time.Time) bool { return h.runningDaemons() == 0 || now.After(until) })
	if n := h.runningDaemons(); n > 0 && h.err == nil {
		h.reportViolation("stops", "%d daemons were still running %v after SIGTERM", n, drainTimeout+stopGrace)
	}
}

func (h *harness) runningDaemons() int {
	n := 0
	for _, e := range h.entries {
		if e.cmd != nil {
			n++
		}
	}
	return n
}

// close stops everything that the run has started.
func (h *harness) close() {
	close(h.done)
	for _, e := range h.entries {
		e.signal(syscall.SIGKILL)
		e.storeProxy.close()
	}
	for _, t := range h.targets {
		if t.conn != nil {
			_ = t.conn.Close()
		}
		if t.health != nil {
			_ = t.health.Close()
		}
	}
	for _, c := range h.callers {
		_ = c.conn.Close()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}

func (h *harness) result(s Schedule) Result {
	r := Result{Violations: h.violations, Steps: len(s.Steps), Outcomes: len(h.history.Outcomes), Runs: len(h.history.Runs), Stalls: h.stalls, Excused: h.excused, WarmingArrivals: h.warmingArrivals}
	for _, o := range h.history.Outcomes {
		if o.AttemptResult == history.AttemptAnswered {
			r.Answered++
		}
	}
	return r
}
