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

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/contain"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// rotationTime is how long the fabric keeps sending new flows to a daemon that reports not ready: two health
	// checks, half a second apart, and the timeout of the second.
	rotationTime = 1300 * time.Millisecond
	// quietBeforeStop is how long no packet must arrive before a draining daemon stops.
	quietBeforeStop = 300 * time.Millisecond
	// stopMargin is the part of the platform's stop timeout for a process that is not used for draining.
	stopMargin = time.Second
	// stopCheck is the interval at which a draining daemon checks whether it can stop.
	stopCheck = 50 * time.Millisecond
	// memoryShare is the share of the memory limit that the Go heap may use before garbage collection becomes more
	// aggressive.
	memoryShare = 0.7
)

// Fetcher fetches items from other daemons.
type Fetcher interface {
	// Fetch requests from a daemon the items that a replica with the given versions lacks.
	Fetch(ctx context.Context, from netip.AddrPort, have []news.Version) news.Fetched
}

// System is what a daemon uses of the machine besides datagrams.
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
			return listenCalls(addr, handler, config)
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
	metrics     *meters
	engine      *core.TagEngine
	peers       *peerLink
	faults      *contain.Guard

	flowLines *lineBudget
	// stateLines limits the log lines on targets and daemons: many change at once when a zone fails or a fleet
	// starts.
	stateLines  *lineBudget
	planVersion atomic.Uint64
	// confirmedAt is when the platform last confirmed the lists in use, in nanoseconds since 1970; 0 if it has not
	// yet.
	confirmedAt atomic.Int64
	stopping    atomic.Bool
	pauses      pauseClock

	// data is the socket for the fabric's packets.
	data   udpio.Conn
	events chan event
	tasks  *errgroup.Group
	seeds  chan *settings.Settings
	probes *probes
	// adopted is closed when the first lists, or targets alone, have been applied.
	adopted chan struct{}
	held    heldOpens
	control *control

	// answers guards the news engine, which also answers the requests of other daemons.
	answers sync.Mutex
}

// New returns a daemon whose sockets are not open yet.
func New(deps Deps) *Daemon {
	s := deps.Settings
	d := &Daemon{
		settings:    s,
		network:     deps.Network,
		transport:   deps.Transport,
		store:       deps.Store,
		interpreter: deps.Interpreter,
		prober:      deps.Prober,
		fetcher:     deps.Fetcher,
		system:      deps.System,
		log:         deps.Log,
		metrics:     newMeters(deps.Metrics),
		flowLines:   newLineBudget(),
		stateLines:  newLineBudget(),
		events:      make(chan event, eventQueue),
		seeds:       make(chan *settings.Settings, 1),
		probes:      newProbes(),
		adopted:     make(chan struct{}),
		pauses:      pauseClock{sinceBoot: deps.System.SinceBoot},
	}
	d.engine = core.NewTagEngine(core.TagConfig{
		Policy:  placement.NewNearest(placement.NearestConfig{Zone: s.Zone}),
		Epoch:   deps.Now,
		Suspect: d.probes.add,
	})
	deps.Metrics.GaugeFunc(metrics.Family{Name: "fireflypin_open_flows", Help: "Flows with a record."},
		func() float64 { return float64(d.engine.OpenFlows()) })
	incarnation := wire.NewIncarnation(deps.Now)
	d.faults = contain.NewGuard(deps.Metrics, deps.Log)
	d.peers = newPeerLink(s, deps.Keys, incarnation, d.metrics, d.faults)
	seed := uint64(model.MachineIDOf(s.Name))
	d.control = &control{
		d: d,
		news: news.New(news.Config{
			Self:      news.Member{Addr: s.Peer, Zone: s.Zone.Name, Link: uint32(s.Link)},
			Seeds:     s.Seeds,
			Rand:      rand.New(rand.NewPCG(seed, incarnation)),
			WatchWait: s.Platform.WatchWait,
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

// unknownAge is the age in logs of lists that have not been confirmed since the start.
const unknownAge = -time.Millisecond

// newsAge returns the time since the platform confirmed the lists in use, or unknownAge.
func (d *Daemon) newsAge(now time.Time) time.Duration {
	at := d.confirmedAt.Load()
	if at == 0 {
		return unknownAge
	}
	return now.Sub(time.Unix(0, at))
}

// Run serves until ctx ends, then stops gracefully: it keeps forwarding packets until the fabric uses other daemons.
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
	calls, err := d.serveCalls()
	if err != nil {
		return err
	}
	defer calls.Close()
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.tasks, tasksCtx = errgroup.WithContext(tasksCtx)
	d.peers.conn = peer
	d.data = data
	d.tasks.Go(func() error { return d.moveOnceAdopted(tasksCtx, d.newMover(data)) })
	d.tasks.Go(func() error { return d.peers.run(d.events, tasksCtx) })
	d.tasks.Go(func() error { return d.control.run(tasksCtx) })
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

// moveOnceAdopted forwards packets once targets have been applied. Until then packets wait in the socket. Load
// pattern: a whole fleet restarts, and its callers send before the first lists are read. If the wait reached
// stallLimit, the waiting SYNs are dropped.
func (d *Daemon) moveOnceAdopted(ctx context.Context, m *mover) error {
	opened := time.Now()
	select {
	case <-ctx.Done():
		return nil
	case <-d.adopted:
		if time.Since(opened) >= stallLimit {
			d.pauses.startedLate()
		}
		m.backlogSince = opened
		return m.run()
	}
}

// limitMemory makes garbage collection more aggressive before the process reaches its limit in MiB; 0 means no limit.
func limitMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare * (1 << 20)))
	}
}

// drain keeps forwarding packets until the fabric has taken the daemon out of rotation or the drain timeout is nearly
// over.
func (d *Daemon) drain(ctx context.Context) {
	start := time.Now()
	d.stopping.Store(true)
	d.send(ctx, func(now time.Time) []news.Action { return d.control.news.Leave(now) })
	d.log.Info("daemon is draining", "op", "stop", "event", "draining", "flows", d.engine.OpenFlows())
	limit := d.settings.DrainTimeout - stopMargin
	for {
		time.Sleep(stopCheck)
		now := time.Now()
		waited := now.Sub(start)
		if waited >= limit || waited >= rotationTime && d.metrics.sinceLastPacket(now) >= quietBeforeStop {
			d.log.Info("daemon stopped forwarding", "op", "stop", "event", "stopped", "after_ms", waited.Milliseconds())
			return
		}
	}
}

// serveCalls serves the requests of other daemons.
func (d *Daemon) serveCalls() (io.Closer, error) {
	mux := http.NewServeMux()
	mux.Handle(news.NewHandler(d))
	return d.system.Listen(d.settings.Bulk, mux)
}

// listenCalls implements System.Listen on this machine.
func listenCalls(addr netip.AddrPort, handler http.Handler, config *tls.Config) (io.Closer, error) {
	l, err := bulk.Listen(addr, config)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout, IdleTimeout: callTimeout}
	go server.Serve(l) // returns when the server is closed
	return server, nil
}

// callTimeout bounds how long another daemon may take to send a request, and how long its idle connection is kept.
const callTimeout = 2 * time.Second

// Lacking implements news.Holder.
func (d *Daemon) Lacking(have []news.Version) (uint64, time.Duration, []news.Item, []news.Version) {
	d.answers.Lock()
	defer d.answers.Unlock()
	return d.control.news.Answer(time.Now(), have)
}

// Adopt applies changed settings: the seeds and the log level.
func (d *Daemon) Adopt(s *settings.Settings) {
	d.log.SetLevel(s.LogLevel)
	select {
	case d.seeds <- s:
	default:
		// The control loop has not taken the previous change yet, so it misses these seeds; the file is read again
		// only after it changes or on request.
	}
}

// Status implements ops.StatusSource.
func (d *Daemon) Status() any {
	return d.control.status.Load()
}
