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

	"github.com/fireflypin/fireflypin/core"
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
	// joinHeartbeats is how many heartbeats a starting daemon waits at most to hear of every published one.
	joinHeartbeats = 6
	// fetchTimeout bounds one request for snapshots.
	fetchTimeout = 5 * time.Second
	// goodbyes is how many times a stopping daemon tells its peers that it has left.
	goodbyes = 3
	// quietBeforeStop is how long no packet may come before a drained daemon stops.
	quietBeforeStop = time.Second
)

// Bulk carries what is too large for datagrams between daemons.
type Bulk interface {
	// FetchSnapshots asks a peer for its own log, and with all for every copy that it holds.
	FetchSnapshots(ctx context.Context, from *model.EntryVM, all bool) ([]flow.Snapshot, error)
}

// Lists is where the published lists come from.
type Lists interface {
	// Run calls adopt for every set of lists that comes into force, until ctx ends.
	Run(ctx context.Context, adopt func(*model.Snapshot)) error
	// ListHolder tells peers what is held.
	bulk.ListHolder
	// HandleDigest takes the versions that a peer holds. The peer is named by its bulk address.
	HandleDigest(peer netip.AddrPort, d listsource.Digest)
	// Reload reads local files again; without effect where the platform is used.
	Reload(ctx context.Context) error
	// Status returns what operators see of the lists.
	Status() listsource.Status
}

// Deps are the modules that a Daemon works with.
type Deps struct {
	Settings *settings.Settings
	Network  udpio.Network
	Bulk     Bulk
	Lists    Lists
	Keys     wire.KeyringProvider
	Metrics  *metrics.Set
	Log      *log.Logger
	// Now is the start of the process; it gives the incarnation.
	Now time.Time
	// Probe says whether this daemon reads load reports of targets over HTTP.
	Probe bool
}

// Daemon is one entry VM's process.
type Daemon struct {
	settings *settings.Settings
	self     model.MachineID
	network  udpio.Network
	calls    Bulk
	lists    Lists
	keys     wire.KeyringProvider
	log      *log.Logger
	metrics  *meters
	faults   *contain.Guard
	observer *flowObserver

	engine      *core.Engine
	health      *targetHealth
	limits      *customerLimits
	probe       bool
	incarnation uint64
	counter     *wire.Counter
	replay      *wire.Replay
	sender      *peerSender
	tasks       *errgroup.Group
	tasksCtx    context.Context
	ready       atomic.Bool
	// drainTimeout bounds the planned stop, in nanoseconds; a reload may change it.
	drainTimeout atomic.Int64
	outdated     chan uint64
	killed       chan struct{}
	kill         sync.Once
}

// New returns a daemon that has not opened its sockets yet.
func New(deps Deps) *Daemon {
	s := deps.Settings
	self := model.MachineIDOf(s.Name)
	incarnation := wire.NewIncarnation(deps.Now)
	d := &Daemon{
		settings:    s,
		self:        self,
		network:     deps.Network,
		calls:       deps.Bulk,
		lists:       deps.Lists,
		keys:        deps.Keys,
		log:         deps.Log,
		metrics:     newMeters(deps.Metrics),
		faults:      contain.NewGuard(deps.Metrics, deps.Log),
		observer:    newFlowObserver(deps.Metrics),
		limits:      newCustomerLimits(self, s.Zone, incarnation),
		incarnation: incarnation,
		counter:     new(wire.Counter),
		replay:      wire.NewReplay(wire.ReplayConfig{}),
		outdated:    make(chan uint64, 1),
		killed:      make(chan struct{}),
	}
	d.drainTimeout.Store(int64(s.DrainTimeout))
	d.engine = core.New(core.Config{
		Self:        self,
		Zone:        s.Zone,
		Incarnation: incarnation,
		Rand:        rand.New(rand.NewPCG(uint64(self), incarnation)),
		Epoch:       deps.Now,
		LogInterval: s.LogBatchInterval,
		Observer:    d.observer,
		Flow:        flow.Config{IdleTimeout: s.FlowIdleTimeout},
		Members:     membership.Rhythm(s.HeartbeatInterval),
		JoinTime:    joinHeartbeats * s.HeartbeatInterval,
		Sections:    d.sections,
		Limits:      d.limits,
	})
	d.health = newTargetHealth(self, d.engine)
	d.probe = deps.Probe
	return d
}

// Engine returns the daemon's decision engine.
func (d *Daemon) Engine() *core.Engine {
	return d.engine
}

func (d *Daemon) newSealer() *wire.Sealer {
	return wire.NewSealer(d.keys, d.self, d.incarnation, d.counter)
}

// Run serves until ctx ends, then stops gracefully: it goes on passing packets until its peers have
// taken over, at most for the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	conns, err := d.listen()
	if err != nil {
		return err
	}
	// Tasks outlive ctx: packets are still passed on while the daemon drains.
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
	d.log.Info("daemon serves", "op", "start", "event", "started", "data", d.settings.Data, "zone", d.settings.Zone.String())

	var cause error
	select {
	case <-ctx.Done():
		d.drain()
	case newest := <-d.outdated:
		cause = fmt.Errorf("run as incarnation %d: peers know the newer incarnation %d of this machine", d.incarnation, newest)
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

// Kill makes Run return at once, without the graceful stop.
func (d *Daemon) Kill() {
	d.kill.Do(func() { close(d.killed) })
}

// sockets are the daemon's open sockets.
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

// workerCount returns the number of goroutines that read the data address.
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

// tick drives the engine until the tasks end.
func (d *Daemon) tick() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.tasksCtx.Done():
			return nil
		case <-ticker.C:
			_ = d.faults.Contain("tick", nil, func() { d.tickAt(time.Now()) }) // noted there; the next tick goes on
		}
	}
}

func (d *Daemon) tickAt(now time.Time) {
	d.perform(d.engine.Tick(now))
	d.limits.follow(d.engine.View())
	d.logHealth(d.health.tick(now))
}

// followLists puts published lists in force as they come.
func (d *Daemon) followLists(ctx context.Context) error {
	err := d.lists.Run(ctx, func(s *model.Snapshot) {
		_ = d.faults.Contain("adopt", nil, func() { d.adopt(s) }) // noted there; the lists in force stay
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (d *Daemon) adopt(s *model.Snapshot) {
	actions, taken := d.engine.HandleLists(time.Now(), s, admission.NewTable(s))
	if !taken {
		return
	}
	d.observer.retain(s)
	d.health.adopt(s)
	d.log.Info("lists in force", "op", "lists", "event", "adopted",
		"customers", s.Revisions.Customers, "plans", s.Revisions.Plans, "machines", s.Revisions.Machines)
	d.perform(actions)
}

// drain hands over to the peers before the daemon stops.
func (d *Daemon) drain() {
	d.perform(d.engine.Leave(time.Now()))
	deadline := time.NewTimer(time.Duration(d.drainTimeout.Load()))
	defer deadline.Stop()
	quiet := time.NewTicker(tickInterval)
	defer quiet.Stop()
	for done := false; !done; {
		select {
		case <-deadline.C:
			d.log.Warn("peers did not take over in time", "op", "stop", "event", "drain_timeout")
			done = true
		case <-quiet.C:
			done = d.engine.Drained() && d.idle()
		}
	}
	for range goodbyes {
		d.perform(d.engine.Left(time.Now()))
	}
	d.log.Info("daemon stops", "op", "stop", "event", "stopped")
}

// idle reports whether the fabric has stopped sending packets here.
func (d *Daemon) idle() bool {
	return d.metrics.sinceLastPacket(time.Now()) >= quietBeforeStop
}
