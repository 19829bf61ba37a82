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

// Engine takes every decision of one daemon.
type Engine struct {
	cfg     Config
	policy  placement.Policy
	limits  Limits
	revoked revocations
	// counted names the flows that limits count.
	counted *countedFlows

	world  atomic.Pointer[world]
	lease  *membership.Lease
	table  *flow.Table
	seen   *flow.Seen
	log    *flow.Log
	copies *flow.Copies
	loads  *placement.LoadTable

	// placing is held for reading while a flow enters the table and the log, and for writing while the
	// log changes its generation.
	placing sync.RWMutex
	// mark is the current flow.Mark.
	mark atomic.Uint64
	// unsettled is true from a change of the owners until the other logs are known as of after it.
	unsettled atomic.Bool
	// doubting is set when the log was declared incomplete between two ticks.
	doubting atomic.Bool

	delegated delegation
	late      lateFlows

	// ready is true while this daemon owns flows or would but for a planned stop.
	ready atomic.Bool

	// control guards everything below.
	control sync.Mutex
	members *membership.List
	awake   bool
	leaving bool
	// behind is true from a start or a pause until an owner has told all that it holds.
	behind bool
	// healing names the daemons that came back from beyond a partition, until one of them has told all that
	// it holds: logs of daemons that died there are among it.
	healing []model.MachineID
	turn    uint64
	// listsAt is when the first lists came.
	listsAt time.Time
	// lastTick is the time of the last tick.
	lastTick time.Time
	nextLog  time.Time
	// settleMark is the mark at the last change of the owners; settleBy ends the wait for other logs.
	settleMark flow.Mark
	settleBy   time.Time
	fetches    map[model.MachineID]time.Time
}

// New returns an engine without lists; it drops every packet until HandleLists was called.
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

// msPerFirstMark is less than the milliseconds between two marks.
const msPerFirstMark = 100

// firstMark returns the mark that a run starts with. It is above all marks of earlier runs on the machine,
// since incarnations count milliseconds, so that a late or recorded batch that echoes one of theirs covers
// nothing.
func firstMark(incarnation uint64) uint64 {
	return incarnation / msPerFirstMark
}

// fresh reports whether the engine's beliefs may be acted on: it was ticked in time.
func (e *Engine) fresh(now time.Time) bool {
	return e.lease.Valid(now)
}

// Ready reports whether this daemon owns flows.
func (e *Engine) Ready() bool {
	e.control.Lock()
	defer e.control.Unlock()
	return e.ready.Load() && !e.leaving
}

// Loads returns the table of what is known of the targets' loads.
func (e *Engine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the lists in force, or nil.
func (e *Engine) Lists() *model.Snapshot {
	w := e.world.Load()
	if w == nil {
		return nil
	}
	return w.snapshot
}

// View returns who is here.
func (e *Engine) View() *membership.View {
	return e.members.View()
}
