package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/bulk"
	"github.com/fireflypin/fireflypin/internal/contain"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// tickInterval is the time between two ticks of the engine.
	tickInterval = 100 * time.Millisecond
	// joinHeartbeats is the longest time, in heartbeat intervals, that a starting daemon waits to learn the
	// state of every daemon in the published lists.
	joinHeartbeats = 6
	// fetchTimeout is the timeout of one snapshot request.
	fetchTimeout = 5 * time.Second
	// leftNotifications is the number of times that a stopping daemon sends its final "left" message to its peers.
	leftNotifications = 3
	// idleBeforeStop is the time without any received packet after which a drained daemon stops.
	idleBeforeStop = time.Second
)

// Bulk transfers data between daemons that is too large for datagrams.
type Bulk interface {
	// FetchSnapshots returns a snapshot of a peer's own exception log, which lists the peer's flows whose target
	// is not their default target. If all is true, it also returns snapshots of every replica of another daemon's
	// log that the peer holds.
	FetchSnapshots(ctx context.Context, from *model.EntryVM, all bool) ([]flow.Snapshot, error)
}

// Lists is the source of the published lists.
type Lists interface {
	// Run calls apply for every set of lists that becomes active, until ctx ends.
	Run(ctx context.Context, apply func(*model.Snapshot)) error
	// ListSource provides the stored lists that are served to peers.
	bulk.ListSource
	// HandleDigest processes the list versions that a peer holds. The peer is identified by its bulk address.
	HandleDigest(peer netip.AddrPort, d listsource.Digest)
	// Reload reads the local list files again. It does nothing if the lists come from the platform.
	Reload(ctx context.Context) error
	// Status returns the state of the lists for operators.
	Status() listsource.Status
}

// Deps are the dependencies of a Daemon.
type Deps struct {
	Settings *settings.Settings
	Network  udpio.Network
	Bulk     Bulk
	Lists    Lists
	Keys     wire.KeyringProvider
	Metrics  *metrics.Set
	Log      *log.Logger
	// Now is the start time of the process. The incarnation is derived from it.
	Now time.Time
	// Probe enables the HTTP requests for the load reports of targets.
	Probe bool
}

// Daemon is the load balancer process of one entry VM.
type Daemon struct {
	settings *settings.Settings
	self     model.MachineID
	network  udpio.Network
	bulk     Bulk
	lists    Lists
	keys     wire.KeyringProvider
	log      *log.Logger
	metrics  *daemonMetrics
	guard    *contain.Guard
	observer *flowObserver

	engine      *owners.Engine
	health      *targetHealth
	limits      *customerLimits
	probe       bool
	incarnation uint64
	counter     *wire.Counter
	replay      *wire.ReplayFilter
	sender      *peerSender
	tasks       *errgroup.Group
	tasksCtx    context.Context
	ready       atomic.Bool
	// drainTimeout is the longest duration of a graceful stop, in nanoseconds. Reload can change it.
	drainTimeout atomic.Int64
	// outdated receives a newer incarnation of this machine that a peer has reported. Run then returns an error.
	outdated chan uint64
	killed   chan struct{}
	killOnce sync.Once
}

// New returns a Daemon. Its sockets are opened by Run.
func New(deps Deps) *Daemon {
	s := deps.Settings
	self := model.MachineIDOf(s.Name)
	incarnation := wire.NewIncarnation(deps.Now)
	d := &Daemon{
		settings:    s,
		self:        self,
		network:     deps.Network,
		bulk:        deps.Bulk,
		lists:       deps.Lists,
		keys:        deps.Keys,
		log:         deps.Log,
		metrics:     newDaemonMetrics(deps.Metrics),
		guard:       contain.NewGuard(deps.Metrics, deps.Log),
		observer:    newFlowObserver(deps.Metrics),
		limits:      newCustomerLimits(self, s.Zone, incarnation),
		incarnation: incarnation,
		counter:     new(wire.Counter),
		replay:      wire.NewReplayFilter(wire.ReplayFilterConfig{}),
		outdated:    make(chan uint64, 1),
		killed:      make(chan struct{}),
	}
	d.drainTimeout.Store(int64(s.DrainTimeout))
	d.engine = owners.New(owners.Config{
		Self:        self,
		Zone:        s.Zone,
		Incarnation: incarnation,
		Rand:        rand.New(rand.NewPCG(uint64(self), incarnation)),
		Epoch:       deps.Now,
		LogInterval: s.LogBatchInterval,
		Observer:    d.observer,
		Flow:        flow.Config{IdleTimeout: s.FlowIdleTimeout},
		Members:     membership.ScaledConfig(s.HeartbeatInterval),
		JoinTimeout: joinHeartbeats * s.HeartbeatInterval,
		Sections:    d.sections,
		Limits:      d.limits,
	})
	d.health = newTargetHealth(self, d.engine)
	d.probe = deps.Probe
	return d
}

// Engine returns the daemon's decision engine.
func (d *Daemon) Engine() *owners.Engine {
	return d.engine
}

func (d *Daemon) newSealer() *wire.Sealer {
	return wire.NewSealer(d.keys, d.self, d.incarnation, d.counter)
}

// Run serves until ctx ends and then stops gracefully: it keeps forwarding packets until its peers have
// taken over its flows, or until the drain timeout expires.
func (d *Daemon) Run(ctx context.Context) error {
	conns, err := d.listen()
	if err != nil {
		return err
	}
	// The tasks outlive ctx because packets are still forwarded while the daemon drains.
	tasksCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.tasks, d.tasksCtx = errgroup.WithContext(tasksCtx)
	d.sender = &peerSender{conn: conns.peer, sealer: d.newSealer(), metrics: d.metrics}
	d.startWorkers(conns)
	d.tasks.Go(d.tick)
	d.tasks.Go(func() error { return d.followLists(d.tasksCtx) })
	if d.probe {
		d.tasks.Go(d.probeTargets)
	}
	d.log.Info("daemon started", "op", "start", "event", "started", "data", d.settings.Data, "zone", d.settings.Zone.String())

	var cause error
	select {
	case <-ctx.Done():
		d.drain()
	case newest := <-d.outdated:
		cause = fmt.Errorf("incarnation %d is outdated: peers have received messages of incarnation %d of this machine", d.incarnation, newest)
	case <-d.killed:
	case <-d.tasksCtx.Done():
	}
	stop()
	conns.close()
	if err := d.tasks.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return cause
}

// Kill makes Run return immediately, without a graceful stop.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() { close(d.killed) })
}

// sockets holds the open sockets of the daemon: one data socket per worker and one peer socket.
type sockets struct {
	data []udpio.Conn
	peer udpio.Conn
}

func (s *sockets) close() {
	for _, c := range s.data {
		c.Close()
	}
	if s.peer != nil {
		s.peer.Close()
	}
}

// workerCount returns the number of goroutines that read from the data address.
func workerCount(s *settings.Settings) int {
	if s.Workers > 0 {
		return s.Workers
	}
	return runtime.GOMAXPROCS(0)
}

func (d *Daemon) listen() (*sockets, error) {
	s := &sockets{}
	for range workerCount(d.settings) {
		conn, err := d.network.Listen(d.settings.Data)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("open the data socket %v: %w", d.settings.Data, err)
		}
		s.data = append(s.data, conn)
	}
	conn, err := d.network.Listen(d.settings.Peer)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("open the peer socket %v: %w", d.settings.Peer, err)
	}
	s.peer = conn
	return s, nil
}

func (d *Daemon) startWorkers(s *sockets) {
	for _, conn := range s.data {
		d.tasks.Go(d.newWorker(conn, s.peer).serveData)
	}
	d.tasks.Go(d.newWorker(s.data[0], s.peer).servePeers)
}

// tick calls tickAt at each tick interval until the tasks end.
func (d *Daemon) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.tasksCtx.Done():
			return nil
		case <-ticker.C:
			_ = d.guard.Contain("tick", nil, func() { d.tickAt(time.Now()) }) // Contain counts and logs the panic; the next tick runs normally
		}
	}
}

func (d *Daemon) tickAt(now time.Time) {
	d.perform(d.engine.Tick(now))
	d.limits.updateOwners(d.engine.View())
	d.logHealth(d.health.tick(now))
}

// followLists applies each new set of published lists.
func (d *Daemon) followLists(ctx context.Context) error {
	err := d.lists.Run(ctx, func(s *model.Snapshot) {
		_ = d.guard.Contain("adopt", nil, func() { d.applyLists(s) }) // Contain counts and logs the panic; the active lists stay
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (d *Daemon) applyLists(s *model.Snapshot) {
	actions, applied := d.engine.HandleLists(time.Now(), s, admission.NewTable(s))
	if !applied {
		return
	}
	d.observer.retainCustomers(s)
	d.health.applyLists(s)
	d.log.Info("applied new lists", "op", "lists", "event", "adopted",
		"customers", s.Revisions.Customers, "plans", s.Revisions.Plans, "machines", s.Revisions.Machines, "draining_zones", s.DrainingZones)
	d.perform(actions)
}

// drain hands the flows of this daemon over to its peers before it stops.
func (d *Daemon) drain() {
	d.perform(d.engine.Drain(time.Now()))
	deadline := time.NewTimer(time.Duration(d.drainTimeout.Load()))
	defer deadline.Stop()
	poll := time.NewTicker(tickInterval)
	defer poll.Stop()
	for done := false; !done; {
		select {
		case <-deadline.C:
			d.log.Warn("drain timeout expired before the peers took over all flows", "op", "stop", "event", "drain_timeout")
			done = true
		case <-poll.C:
			done = d.engine.Drained() && d.idle()
		}
	}
	for range leftNotifications {
		d.perform(d.engine.FinishDrain(time.Now()))
	}
	d.log.Info("daemon stopped", "op", "stop", "event", "stopped")
}

// idle reports whether no packet has arrived for idleBeforeStop, which means that the network fabric no longer
// sends packets to this daemon.
func (d *Daemon) idle() bool {
	return d.metrics.sinceLastPacket(time.Now()) >= idleBeforeStop
}
