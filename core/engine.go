package core

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// Engine makes the decisions of one daemon that steers flows by owner.
type Engine struct {
	cfg     Config
	policy  placement.Policy
	limits  Limits
	revoked revocations
	// counted records the flows that limits counts.
	counted *countedFlows

	world  atomic.Pointer[world]
	lease  *membership.Lease
	table  *flow.Table
	seen   *flow.Seen
	log    *flow.Log
	copies *flow.Copies
	loads  *placement.LoadTable

	// placing is held for reading while a flow is added to the table and the log, and for writing while the
	// log changes its generation.
	placing sync.RWMutex
	// mark is the current flow.Mark: a counter that grows with each log interval and that peers return in
	// their log batches, which shows what they had received when they built the batch.
	mark atomic.Uint64
	// unsettled is true during an ownership transition: from a change of the owners until the other owners'
	// logs are known as of after the change.
	unsettled atomic.Bool
	// doubting is set when the log was declared incomplete between two ticks.
	doubting atomic.Bool

	delegated delegation
	late      lateFlows

	// ready is true while this daemon owns flows, or would own them if it were not draining.
	ready atomic.Bool

	// control guards all fields below.
	control sync.Mutex
	members *membership.List
	awake   bool
	leaving bool
	// behind is true from a start or a pause until an owner has sent all the logs that it holds.
	behind bool
	// healing lists the daemons that rejoined after a partition, until one of them has sent all the logs
	// that it holds, which include those of daemons that failed on its side.
	healing []model.MachineID
	turn    uint64
	// listsAt is when the first lists were received.
	listsAt time.Time
	// lastTick is the time of the last tick.
	lastTick time.Time
	nextLog  time.Time
	// settleMark is the mark at the last change of the owners; settleBy is the deadline of the wait for the
	// other owners' logs.
	settleMark flow.Mark
	settleBy   time.Time
	fetches    map[model.MachineID]time.Time
}

// New returns an engine without lists; it drops every packet until HandleLists is called.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	members := membership.New(cfg.Members)
	e := &Engine{
		cfg:     cfg,
		policy:  cfg.Policy,
		limits:  cfg.Limits,
		revoked: revocations{resetAt: make(map[model.FlowHash]time.Time)},
		counted: newCountedFlows(),
		behind:  true,
		members: members,
		lease:   members.Lease(),
		table:   flow.NewTable(cfg.Flow, cfg.Epoch),
		seen:    flow.NewSeen(cfg.Seen, cfg.Epoch),
		log:     flow.NewLog(cfg.Log, model.Generation{}),
		copies:  flow.NewCopies(cfg.Flow.IdleTimeout),
		loads:   placement.NewLoadTable(),
		late:    lateFlows{flows: make(map[model.FlowHash]lateFlow)},
		fetches: make(map[model.MachineID]time.Time),
	}
	e.mark.Store(firstMark(cfg.Incarnation))
	return e
}

// msPerFirstMark is lower than the number of milliseconds between two marks.
const msPerFirstMark = 100

// firstMark returns the mark that a run starts with. Incarnations count milliseconds, so it is above all
// marks of earlier runs on the machine: a late or replayed batch that returns one of theirs covers no flow
// of this run.
func firstMark(incarnation uint64) uint64 {
	return incarnation / msPerFirstMark
}

// fresh reports whether the engine may act on its state: it was ticked recently enough.
func (e *Engine) fresh(now time.Time) bool {
	return e.lease.Valid(now)
}

// Ready reports whether this daemon owns flows.
func (e *Engine) Ready() bool {
	e.control.Lock()
	defer e.control.Unlock()
	return e.ready.Load() && !e.leaving
}

// Loads returns the table of the targets' known loads.
func (e *Engine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the current lists, or nil before the first ones.
func (e *Engine) Lists() *model.Snapshot {
	w := e.world.Load()
	if w == nil {
		return nil
	}
	return w.snapshot
}

// View returns the current view of the members.
func (e *Engine) View() *membership.View {
	return e.members.View()
}
