package owners

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// Engine makes the decisions of one daemon that steers flows by owner.
type Engine struct {
	cfg     Config
	policy  placement.Policy
	limits  core.Limits
	revoked revocations
	// counted records the flows that limits counts.
	counted *countedFlows

	routingState atomic.Pointer[routingState]
	lease        *membership.Lease
	table        *flow.Table
	flowCache    *flow.Cache
	log          *flow.Log
	replicas     *flow.Replicas
	loads        *placement.LoadTable

	// placementMu is held for reading while a flow is added to the table and the log, and for writing while
	// the log changes its generation.
	placementMu sync.RWMutex
	// mark is the current flow.Mark: a counter that grows with each log interval and that peers return in
	// their log batches, which shows what they had received when they built the batch.
	mark atomic.Uint64
	// inTransition is true during an ownership transition: from a change of the owners until this daemon
	// holds the other owners' logs in a state newer than the change.
	inTransition atomic.Bool
	// logIncomplete is set when the log was declared incomplete since the last tick; the next tick then
	// starts an ownership transition.
	logIncomplete atomic.Bool

	delegated delegation
	deferred  deferredFlows

	// ready is true while this daemon owns flows, or would own them if it were not draining.
	ready atomic.Bool

	// controlMu guards all fields below.
	controlMu sync.Mutex
	members   *membership.List
	// membersKnown is true once heartbeats from enough daemons of the zone have been received since the start or
	// the last pause, or the timeout for them has expired. Only then can this daemon become ready.
	membersKnown bool
	draining     bool
	// needsFullSync is true from a start or a pause until an owner has sent all the logs that it holds.
	needsFullSync bool
	// unsyncedRejoined lists the daemons that rejoined after a partition, until one of them has sent all the
	// logs that it holds, which include those of daemons that failed on its side.
	unsyncedRejoined []model.MachineID
	expiryShard      uint64
	// firstListsAt is when the first lists were received.
	firstListsAt time.Time
	// lastTick is the time of the last tick.
	lastTick time.Time
	nextSync time.Time
	// transitionMark is the mark at the last change of the owners; transitionDeadline is the deadline of the
	// wait for the other owners' logs.
	transitionMark     flow.Mark
	transitionDeadline time.Time
	lastFetch          map[model.MachineID]time.Time
}

// New returns an engine without lists; it drops every packet until HandleLists is called.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	members := membership.New(cfg.Members)
	e := &Engine{
		cfg:           cfg,
		policy:        cfg.Policy,
		limits:        cfg.Limits,
		revoked:       revocations{resetAt: make(map[model.FlowHash]time.Time)},
		counted:       newCountedFlows(),
		needsFullSync: true,
		members:       members,
		lease:         members.Lease(),
		table:         flow.NewTable(cfg.Flow, cfg.Epoch),
		flowCache:     flow.NewCache(cfg.FlowCache, cfg.Epoch),
		log:           flow.NewLog(cfg.Log, model.Generation{}),
		replicas:      flow.NewReplicas(cfg.Flow.IdleTimeout),
		loads:         placement.NewLoadTable(),
		deferred:      deferredFlows{flows: make(map[model.FlowHash]deferredFlow)},
		lastFetch:     make(map[model.MachineID]time.Time),
	}
	e.mark.Store(initialMark(cfg.Incarnation))
	return e
}

// minMarkIntervalMS is lower than the number of milliseconds between two marks.
const minMarkIntervalMS = 100

// initialMark returns the mark that a run starts with. Incarnations count milliseconds, so it is above all
// marks of earlier runs on the machine: a late or replayed batch that returns one of theirs covers no flow
// of this run.
func initialMark(incarnation uint64) uint64 {
	return incarnation / minMarkIntervalMS
}

// leaseValid reports whether the engine may act on its state: it was ticked recently enough.
func (e *Engine) leaseValid(now time.Time) bool {
	return e.lease.Valid(now)
}

// Ready reports whether this daemon owns flows: it has caught up and is not draining.
func (e *Engine) Ready() bool {
	e.controlMu.Lock()
	defer e.controlMu.Unlock()
	return e.ready.Load() && !e.draining
}

// Loads returns the table of the targets' known loads.
func (e *Engine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the current lists, or nil before the first ones.
func (e *Engine) Lists() *model.Snapshot {
	rs := e.routingState.Load()
	if rs == nil {
		return nil
	}
	return rs.snapshot
}

// View returns the current view of the members.
func (e *Engine) View() *membership.View {
	return e.members.View()
}
