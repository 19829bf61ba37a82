package edge

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/contain"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/room"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/speed"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/warmup"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// rotationTimeout is how long the fabric keeps sending new flows to a daemon that reports not ready: two health
	// checks, half a second apart, and the timeout of the second.
	rotationTimeout = 1300 * time.Millisecond
	// idleBeforeStop is how long no packet must arrive before a draining daemon stops.
	idleBeforeStop = 300 * time.Millisecond
	// stopMargin is subtracted from the drain timeout, so that the process ends within the time that the platform
	// allows for a stop.
	stopMargin = time.Second
	// stopCheckInterval is the interval at which a draining daemon checks whether it can stop.
	stopCheckInterval = 50 * time.Millisecond
	// heapLimitShare is the share of the memory limit that the Go heap may use before garbage collection becomes more
	// aggressive.
	heapLimitShare = 0.7
)

// Fetcher fetches items from other daemons.
type Fetcher interface {
	// Fetch requests from a daemon the items that a replica with the given versions lacks.
	Fetch(ctx context.Context, from netip.AddrPort, have []news.Version) news.Fetched
}

// System gives a daemon access to its machine, except for datagrams, which Network sends and receives.
type System struct {
	// Listen serves the requests of other daemons at an address until the result is closed.
	Listen func(addr netip.AddrPort, handler http.Handler) (io.Closer, error)
	// SinceBoot returns the time since boot, including suspension; false if it is unknown.
	SinceBoot func() (time.Duration, bool)
}

// HostSystem returns the System of this machine. Requests of other daemons are served over TLS if config is not nil.
func HostSystem(config *tls.Config) System {
	return System{
		Listen: func(addr netip.AddrPort, handler http.Handler) (io.Closer, error) {
			return listenRequests(addr, handler, config)
		},
		SinceBoot: sinceBoot,
	}
}

// Deps are the dependencies of a Daemon.
type Deps struct {
	Settings    *settings.Settings
	Network     udpio.Network
	Transport   Transport
	Store       Store
	Interpreter Interpreter
	Prober      Prober
	Keys        wire.KeyringProvider
	Fetcher     Fetcher
	System      System
	Metrics     *metrics.Set
	Log         *log.Logger
	// Now is the start time of the process, from which the incarnation is derived.
	Now time.Time
}

// Daemon is the daemon process of one entry VM.
type Daemon struct {
	settings    *settings.Settings
	network     udpio.Network
	transport   Transport
	store       Store
	interpreter Interpreter
	prober      Prober
	fetcher     Fetcher
	system      System
	log         *log.Logger
	metrics     *daemonMetrics
	engine      *tags.Engine
	warmup      *warmup.Gate
	peers       *peerLink
	guard       *contain.Guard

	flowLogLimit *logLimiter
	// stateLogLimit limits the log lines on targets and daemons: many change at once when a zone fails or a fleet
	// starts.
	stateLogLimit *logLimiter
	planVersion   atomic.Uint64
	// confirmedAt is when the platform last confirmed the lists in use, in nanoseconds since 1970; 0 if it has not
	// yet.
	confirmedAt atomic.Int64
	stopping    atomic.Bool
	pauses      pauseDetector

	// data is the socket for the fabric's packets.
	data            udpio.Conn
	events          chan controlEvent
	tasks           *errgroup.Group
	changedSettings chan *settings.Settings
	probeQueue      *probeQueue
	// targetsApplied is closed when the first lists, or targets alone, have been applied.
	targetsApplied chan struct{}
	heldSYNs       synQueue
	// gate decides which new flows a service takes while it is short, and waiting holds those that wait for room.
	gate        *room.Gate
	waiting     room.Queue
	controlLoop *controlLoop
	// speeds knows which targets are slow.
	speeds *speed.Estimator

	// newsMu guards the news engine, which the handler of other daemons' requests uses as well as the control loop.
	newsMu sync.Mutex
}

// New returns a daemon whose sockets are not open yet.
func New(deps Deps) *Daemon {
	s := deps.Settings
	d := &Daemon{
		settings:        s,
		network:         deps.Network,
		transport:       deps.Transport,
		store:           deps.Store,
		interpreter:     deps.Interpreter,
		prober:          deps.Prober,
		fetcher:         deps.Fetcher,
		system:          deps.System,
		log:             deps.Log,
		metrics:         newDaemonMetrics(deps.Metrics),
		flowLogLimit:    newLogLimiter(),
		stateLogLimit:   newLogLimiter(),
		events:          make(chan controlEvent, eventQueueCapacity),
		changedSettings: make(chan *settings.Settings, 1),
		probeQueue:      newProbeQueue(),
		targetsApplied:  make(chan struct{}),
		pauses:          pauseDetector{sinceBoot: deps.System.SinceBoot},
	}
	d.speeds = speed.NewEstimator()
	d.warmup = newWarmupGate(s, deps.Metrics)
	d.gate = room.NewGate(s.Zone)
	d.engine = tags.New(tags.Config{
		Policy:       placement.NewNearest(placement.NearestConfig{Zone: s.Zone, Warmup: d.warmup, Speeds: d.speeds}),
		Warmup:       d.warmup,
		Epoch:        deps.Now,
		RequestProbe: d.probeQueue.request,
		Observer:     tags.Observers{d.gate, d.speeds},
		Gate:         d.gate,
	})
	deps.Metrics.GaugeFunc(metrics.Family{Name: "fireflypin_open_flows", Help: "Flows with a record."},
		func() float64 { return float64(d.engine.OpenFlows()) })
	deps.Metrics.GaugeFunc(metrics.Family{Name: "fireflypin_slow_targets", Help: "Targets that respond much slower than the others of their zone, by the flows of this daemon."},
		func() float64 { return float64(d.speeds.Len()) })
	incarnation := wire.NewIncarnation(deps.Now)
	d.guard = contain.NewGuard(deps.Metrics, deps.Log)
	d.peers = newPeerLink(s, deps.Keys, incarnation, d.metrics, d.guard)
	seed := uint64(model.MachineIDOf(s.Name))
	d.controlLoop = &controlLoop{
		d:         d,
		startedAt: deps.Now,
		consent:   consent.NewEngine(incarnation << incarnationShift),
		news: news.New(news.Config{
			Self:      news.Member{Addr: s.Peer, Zone: s.Zone.Name, Link: uint32(s.Link)},
			Seeds:     s.Seeds,
			Rand:      rand.New(rand.NewPCG(seed, incarnation)),
			WatchWait: s.Platform.WatchWait,
			Reports:   func(time.Time) []news.Report { return d.controlLoop.warmupReports() },
			Describe:  d.describe,
		}),
		directory: directory.New(directory.Config{
			Regions: lo.SliceToMap(s.Zones, func(z model.Zone) (string, string) { return z.Name, z.Region }),
		}),
	}
	return d
}

// Ready implements ops.Readiness.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errStopping
	case !d.engine.Ready():
		return errNoLists
	}
	return nil
}

var (
	errStopping = errors.New("the daemon stops")
	errNoLists  = errors.New("no current lists yet")
)

// unknownAge is logged as the age of lists that the platform has not confirmed since the start.
const unknownAge = -time.Millisecond

// listsAge returns the time since the platform confirmed the lists in use, or unknownAge.
func (d *Daemon) listsAge(now time.Time) time.Duration {
	at := d.confirmedAt.Load()
	if at == 0 {
		return unknownAge
	}
	return now.Sub(time.Unix(0, at))
}

// Run serves until ctx ends, then stops gracefully: it keeps forwarding packets until the fabric sends them to other
// daemons.
func (d *Daemon) Run(ctx context.Context) error {
	limitMemory(d.settings.MemoryLimit)
	data, err := d.network.Listen(d.settings.Data)
	if err != nil {
		return fmt.Errorf("open the data socket %v: %w", d.settings.Data, err)
	}
	defer data.Close()
	peer, err := d.network.Listen(d.settings.Peer)
	if err != nil {
		return fmt.Errorf("open the peer socket %v: %w", d.settings.Peer, err)
	}
	defer peer.Close()
	requestServer, err := d.serveRequests()
	if err != nil {
		return err
	}
	defer requestServer.Close()
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.tasks, tasksCtx = errgroup.WithContext(tasksCtx)
	d.peers.conn = peer
	d.data = data
	d.tasks.Go(func() error { return d.forwardOnceReady(tasksCtx, d.newForwarder(data)) })
	d.tasks.Go(func() error { return d.peers.run(d.events, tasksCtx) })
	d.tasks.Go(func() error { return d.controlLoop.run(tasksCtx) })
	d.tasks.Go(func() error { return d.probeSuspects(tasksCtx) })
	d.log.Info("daemon started", "op", "start", "event", "started", "data", d.settings.Data, "peer", d.settings.Peer,
		"zone", d.settings.Zone.String(), "seeds", fmt.Sprint(d.settings.Seeds))

	select {
	case <-ctx.Done():
		d.drain(tasksCtx)
	case <-tasksCtx.Done():
	}
	stop()
	data.Close()
	peer.Close()
	if err := d.tasks.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// forwardOnceReady forwards packets once targets have been applied. Until then packets wait in the socket. Load
// pattern: a whole fleet restarts, and its callers send before the first lists are read. If the packets waited for
// stallLimit or longer, the SYNs among them are dropped.
func (d *Daemon) forwardOnceReady(ctx context.Context, f *forwarder) error {
	opened := time.Now()
	select {
	case <-ctx.Done():
		return nil
	case <-d.targetsApplied:
		if time.Since(opened) >= stallLimit {
			d.pauses.recordLateStart()
		}
		f.backlogSince = opened
		return f.run()
	}
}

// limitMemory makes garbage collection more aggressive before the process reaches its limit in MiB; 0 means no limit.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * heapLimitShare * (1 << 20)))
	}
}

// drain keeps forwarding packets until the fabric has taken the daemon out of rotation or the drain timeout is nearly
// over.
func (d *Daemon) drain(ctx context.Context) {
	start := time.Now()
	d.stopping.Store(true)
	d.warmup.Stop()
	d.post(ctx, func(now time.Time) []news.Action { return d.controlLoop.news.Drain(now) })
	d.log.Info("daemon is draining", "op", "stop", "event", "draining", "flows", d.engine.OpenFlows())
	limit := d.settings.DrainTimeout - stopMargin
	for {
		time.Sleep(stopCheckInterval)
		now := time.Now()
		waited := now.Sub(start)
		if waited >= limit || waited >= rotationTimeout && d.metrics.sinceLastPacket(now) >= idleBeforeStop {
			d.log.Info("daemon stopped forwarding", "op", "stop", "event", "stopped", "after_ms", waited.Milliseconds())
			return
		}
	}
}

// serveRequests serves the requests of other daemons.
func (d *Daemon) serveRequests() (io.Closer, error) {
	mux := http.NewServeMux()
	mux.Handle(news.NewHandler(d))
	return d.system.Listen(d.settings.Bulk, mux)
}

// incarnationShift leaves space for the ids of a process's questions below the incarnation, so that ids of two processes differ.
const incarnationShift = 20

// listenRequests implements System.Listen on this machine.
func listenRequests(addr netip.AddrPort, handler http.Handler, config *tls.Config) (io.Closer, error) {
	l, err := bulk.Listen(addr, config)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: requestTimeout, IdleTimeout: requestTimeout}
	go server.Serve(l) // returns when the server is closed
	return server, nil
}

// requestTimeout bounds how long another daemon may take to send a request, and how long its idle connection is kept.
const requestTimeout = 2 * time.Second

// MissingItems implements news.ItemSource.
func (d *Daemon) MissingItems(have []news.Version) news.Fetched {
	d.newsMu.Lock()
	defer d.newsMu.Unlock()
	return d.controlLoop.news.FetchResponse(time.Now(), have)
}

// ApplySettings applies changed settings: the seeds and the log level.
func (d *Daemon) ApplySettings(s *settings.Settings) {
	d.log.SetLevel(s.LogLevel)
	select {
	case d.changedSettings <- s:
	default:
		// The control loop has not taken the previous change yet, so it misses these seeds; the file is read again
		// only after it changes or on request.
	}
}

// Status implements ops.StatusSource.
func (d *Daemon) Status() any {
	return d.controlLoop.status.Load()
}
