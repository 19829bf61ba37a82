package tags

import (
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// Config holds the settings of a Engine.
type Config struct {
	// Policy chooses the targets of new flows; required.
	Policy placement.Policy
	// Epoch is a time not later than the first event; required. Record times are kept relative to it.
	Epoch time.Time
	// IdleTimeout is how long a flow's record is kept without packets. Default 15 s. A record holds the flow's
	// progress only; steering needs just the tag in each packet.
	IdleTimeout time.Duration
	// MaxFlows bounds the number of records, and so their memory. Default 200,000. Flows beyond it are steered
	// without a record.
	MaxFlows int
	// Limits bounds customers' flows. Default: no limits.
	Limits core.Limits
	// Warmup limits the first packets to targets that warm up; the Policy must use the same. Default: no limit.
	Warmup placement.WarmupGate
	// RequestProbe requests a probe of a target, whose registration may have ended; the outcome must be passed to Probed.
	// It must not block. If it is set, the engine resets flows on behalf of a target only after a failed probe.
	// Default: no probes; targets are classified by their missed responses alone.
	RequestProbe func(t *model.Target)
	// Observer is notified of requests, responses and ends of flows. Default: none.
	Observer Observer
	// Gate decides which new flows are placed. Default: all are.
	Gate Gate
}

const (
	defaultTagIdleTimeout = 15 * time.Second
	defaultMaxTagFlows    = 200_000
)

// Engine decides on packets of a transport that carries a flow tag in each packet of a flow. The tag names the
// flow's target, so any daemon can steer the flow. Packet methods may be called from any number of goroutines at
// once; ApplyLists, Tick, Stalled and what reset.go has for
// resets from one goroutine at a time.
type Engine struct {
	cfg     Config
	loads   *placement.LoadTable
	records tagRecords
	// halfOpen holds the flows whose callers have not yet acknowledged the target's answer to the SYN.
	halfOpen halfOpenQueue
	// lastTick is the time of the last check of half-open flows.
	lastTick time.Time
	// halfOpenSlow holds the half-open flows whose targets have slow handshakes and so get a longer timeout.
	halfOpenSlow halfOpenQueue
	activeLists  atomic.Pointer[tagLists]
	suspects     suspects
	// stalledUntil is when the last packet was handled that may have waited during a stall, zero if there was no stall.
	stalledUntil time.Time
	// recordsSince is the time since which every flow has got a record.
	recordsSince time.Time
	// current is false while the lists may be outdated, as after a pause of the daemon.
	current atomic.Bool
}

// tagLists holds the data from the published lists that packets are decided on. It is immutable and replaced as a
// whole.
type tagLists struct {
	snapshot *model.Snapshot
	// admitter is nil while only the targets are known: open flows are steered, but no flow can be opened.
	admitter core.Admitter
	table    *placement.Table
	tags     *flowtag.Table
	targets  map[model.TargetID]*model.Target
	// untagged holds the published targets that hold no tag, so that no flow can be opened at them.
	untagged map[model.TargetID]bool
}

// New returns an engine without lists. It drops every packet until ApplyLists or ApplyTargets is called.
func New(cfg Config) *Engine {
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultTagIdleTimeout
	}
	if cfg.MaxFlows <= 0 {
		cfg.MaxFlows = defaultMaxTagFlows
	}
	if cfg.Limits == nil {
		cfg.Limits = core.NoLimits{}
	}
	if cfg.Warmup == nil {
		cfg.Warmup = placement.UnlimitedWarmup{}
	}
	e := &Engine{cfg: cfg, loads: placement.NewLoadTable(), recordsSince: cfg.Epoch}
	e.records.init(cfg)
	e.halfOpen.late = 1 // no handshake has completed yet
	return e
}

// ApplyLists replaces the published lists that the engine decides on.
func (e *Engine) ApplyLists(now time.Time, s *model.Snapshot, a core.Admitter) {
	lists := &tagLists{
		snapshot: s,
		admitter: a,
		table:    placement.NewTable(s),
		targets:  make(map[model.TargetID]*model.Target),
		untagged: make(map[model.TargetID]bool),
	}
	var published []*model.Target
	for _, svc := range s.Services {
		published = append(published, svc.Targets...)
	}
	lists.tags = flowtag.NewTable(published, s.PreviousTargets)
	for _, t := range s.PreviousTargets {
		lists.targets[t.ID] = t
	}
	for _, t := range published {
		lists.targets[t.ID] = t
		if lists.tags.Tag(t.ID) == flowtag.None {
			lists.untagged[t.ID] = true
		}
	}
	e.loads.SetTable(now, lists.table, s.PreviousTargets...)
	e.activeLists.Store(lists)
}

// ApplyTargets replaces the targets before all published lists are known. That suffices for open flows, since a
// flow's tag names its target. SYNs get NotReady until ApplyLists is called; a transport that can hold SYNs back does so
// until then.
func (e *Engine) ApplyTargets(now time.Time, s *model.Snapshot) {
	e.ApplyLists(now, s, nil)
}

// SetCurrent sets whether the engine may open flows on its lists. While current is false, the engine drops SYNs of
// new flows and continues to steer open flows. On transports that mark duplicate SYNs, it also drops the duplicates of
// those SYNs, even after current has become true, so the caller has to open another flow.
func (e *Engine) SetCurrent(current bool) {
	e.current.Store(current)
}

// Ready reports whether the engine can place new flows.
func (e *Engine) Ready() bool {
	return e.HasAllLists() && e.current.Load()
}

// HasAllLists reports whether the engine has complete lists, and not only targets.
func (e *Engine) HasAllLists() bool {
	lists := e.activeLists.Load()
	return lists != nil && lists.admitter != nil
}

// Loads returns the table of the targets' loads and of the evidence on their health.
func (e *Engine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the complete lists that the engine decides on, or nil if it has none.
func (e *Engine) Lists() *model.Snapshot {
	lists := e.activeLists.Load()
	if lists == nil || lists.admitter == nil {
		return nil
	}
	return lists.snapshot
}

// Target returns a target that open flows may lead to, published or previous; nil if it is unknown.
func (e *Engine) Target(id model.TargetID) *model.Target {
	lists := e.activeLists.Load()
	if lists == nil {
		return nil
	}
	return lists.targets[id]
}

// OpenFlows returns the number of flow records.
func (e *Engine) OpenFlows() int {
	return e.records.len()
}

// Tick removes records of flows that closed or were idle for too long, checks half-open flows, and returns the
// unresponsive targets, whose flows may have to be reset; see ResetCandidates.
func (e *Engine) Tick(now time.Time) []model.TargetID {
	if e.records.overflowed.Swap(false) {
		e.recordsSince = now
	}
	e.records.expire(now, e.releaseCounts)
	e.checkHandshakes(now)
	return e.unresponsiveTargets(now)
}

// releaseCounts reverts the flow counts that a removed record had added to.
func (e *Engine) releaseCounts(now time.Time, f tagRecord) {
	if f.state != tagClosing {
		e.loads.Closed(f.target)
		e.observeEnd(now, &f, false)
	}
	if f.customer != nil {
		e.cfg.Limits.Close(now, f.customer)
	}
}

// Reason says why a packet is sent to its target.
type Reason uint8

// The reasons of a Verdict.
const (
	// Steered means that the packet's tag or the flow's record names the target.
	Steered Reason = iota
	// Placed means that the packet is the first SYN of a flow.
	Placed
	// Repeated means that the packet is a duplicate SYN, sent to the flow's target again.
	Repeated
	// Learned means that the packet is the first one that this daemon receives of a flow that another daemon
	// opened.
	Learned
)

// String returns the reason's name as logged.
func (r Reason) String() string {
	return [...]string{"steered", "placed", "repeated", "learned"}[r]
}

// DropCause says why a packet is dropped as outdated.
type DropCause uint8

// The causes of dropped packets.
const (
	// CauseUnspecified means that the packet's kind of error says it all.
	CauseUnspecified DropCause = iota
	// CauseFirstSYNUnseen means that the packet is a duplicate SYN, and that this daemon has no record of the first one.
	CauseFirstSYNUnseen
	// CauseFlowOpen means that the packet is a duplicate SYN of a flow that is open.
	CauseFlowOpen
	// CauseWaited means that the packet waited at this daemon for too long.
	CauseWaited
)

// String returns the cause's name as logged.
func (c DropCause) String() string {
	return [...]string{"", "first_syn_unseen", "flow_open", "waited"}[c]
}

// Verdict is the decision of a Engine on one packet: OpForward to Target with Tag, OpReset or OpDrop.
type Verdict struct {
	Op     core.Op
	Kind   errkind.Kind
	Reason Reason
	// Cause is set for some packets that are dropped.
	Cause DropCause
	// Target and Tag are also set for the reset of an open flow: a packet that may have waited is forwarded in its place.
	Target *model.Target
	Tag    flowtag.Tag
	// Route is the flow's route; set only for SYNs that are forwarded, kept back, or refused by the gate.
	Route *model.Route
	// Replaced is true for the SYN of a flow whose addresses had the record of an earlier flow.
	Replaced bool
	// Conflict is set if the packet's tag differs from the tag in the flow's record.
	Conflict *Conflict
	// ISN is the initial sequence number of a flow that is reset on behalf of its target; 0 if another daemon saw the
	// SYN.
	ISN uint32
	// RetryAfter is how long a refused caller should wait before it tries again; 0 if a retry is useless.
	RetryAfter time.Duration
	// MaxWait is set for a SYN that is to be kept back for at most that time; FromWaiting decides on it again. Level is
	// its importance among those that wait for the same service, from 0 for the highest.
	MaxWait time.Duration
	Level   int
}

// Conflict describes how a packet's tag and its flow's record differ. The sequence numbers tell the two causes
// apart: if they continue those of the record, the packet belongs to the recorded flow and carries another target's
// tag; otherwise it belongs to a later flow with the same addresses.
type Conflict struct {
	// Named is the target that the packet's tag names, 0 for an unknown tag. Recorded is the target in the record.
	Named, Recorded model.TargetID
	Tag             flowtag.Tag
	// SeqAhead and AckAhead are the distance in bytes from the record's numbers to the packet's.
	SeqAhead, AckAhead int32
	// Age is the time since the last packet that advanced the flow or was a retransmission.
	Age time.Duration
	// HalfOpen is true if this daemon had received only SYNs of the flow, so that the packet's tag decides.
	HalfOpen bool
}

// conflictOf returns how a packet's tag and its flow's record differ, or nil if they don't.
func (lists *tagLists) conflictOf(m *packet.Meta, tag flowtag.Tag, p *tagProgress) *Conflict {
	if p.before.tag == flowtag.None || tag == p.before.tag {
		return nil
	}
	c := &Conflict{
		Recorded: p.before.target,
		Tag:      tag,
		SeqAhead: int32(m.Seq - p.before.seq),
		Age:      p.sinceProgress,
		HalfOpen: p.before.state == tagHandshake,
	}
	if !c.HalfOpen {
		c.AckAhead = int32(m.Ack - p.before.ack)
	}
	if t := lists.tags.Target(tag); t != nil {
		c.Named = t.ID
	}
	return c
}

func dropTagged(k errkind.Kind) Verdict {
	return Verdict{Op: core.OpDrop, Kind: k}
}

// FromCaller decides on a packet that a caller sent with a tag.
func (e *Engine) FromCaller(now time.Time, m *packet.Meta, tag flowtag.Tag) Verdict {
	lists := e.activeLists.Load()
	if lists == nil {
		return dropTagged(errkind.NotReady)
	}
	h := m.Key().Hash()
	if m.Flags.Has(packet.SYN) && !m.Flags.Has(packet.ACK) {
		return e.open(lists, now, h, m, false)
	}
	return e.steer(lists, now, h, m, tag)
}

// steer sends a packet of an open flow to its target. The first target that this daemon sees in the flow's tags
// remains its target: a caller whose duplicate SYN reached a second target may return the tag of the one that it did not
// choose. If the packet's sequence numbers show another flow with the same addresses, the packet's tag decides.
func (e *Engine) steer(lists *tagLists, now time.Time, h model.FlowHash, m *packet.Meta, tag flowtag.Tag) Verdict {
	learn := func() (tagRecord, bool) { return e.recordFromTag(lists, tag) }
	p, known := e.records.packet(now, h, m, tag, learn)
	if known && lists.targets[p.after.target] == nil {
		// The target was forgotten, and has another id if it registered again since.
		e.removeRecord(now, h)
		p, known = e.records.packet(now, h, m, tag, learn)
	}
	switch {
	case p.yielded:
		return dropTagged(errkind.PacketOutdated)
	case !known:
		return dropTagged(errkind.TargetLost)
	}
	e.recordProgress(now, h, &p)
	target := lists.targets[p.after.target]
	if p.retransmitted && e.resetsRetransmission(lists, now, m.Dst, &p.after) {
		if f, marked := e.records.markReset(h, func(*tagRecord) bool { return true }); marked {
			e.releaseCounts(now, f)
		}
		v := refuseTagged(errkind.TargetLost, h)
		v.Target, v.Tag, v.ISN = target, p.after.tag, p.after.isn
		v.Conflict = lists.conflictOf(m, tag, &p)
		return v
	}
	v := Verdict{Op: core.OpForward, Target: target, Tag: p.after.tag, Conflict: lists.conflictOf(m, tag, &p)}
	if p.added {
		v.Reason = Learned
	}
	return v
}

// recordFromTag returns a new record, from the tag alone, for a flow that another daemon opened.
func (e *Engine) recordFromTag(lists *tagLists, tag flowtag.Tag) (tagRecord, bool) {
	t := lists.tags.Target(tag)
	if t == nil {
		return tagRecord{}, false
	}
	return tagRecord{target: t.ID, tag: tag, state: tagOpen}, true
}

// recordProgress records a packet's effect on its flow as evidence on the target's health, and updates the flow counts.
func (e *Engine) recordProgress(now time.Time, h model.FlowHash, p *tagProgress) {
	if p.replaced {
		e.releaseCounts(now, p.before)
	}
	if p.added {
		e.loads.Opened(p.after.target)
	}
	switch {
	case p.completed:
		e.loads.Answered(now, p.after.target, p.sinceProgress)
	case p.established, p.ackAdvanced:
		e.loads.Alive(now, p.after.target)
	case p.retransmitted:
		e.handleMiss(now, h, p.after.target, p.after.retransmits >= strongRetransmits)
	}
	if p.retargeted {
		e.loads.Closed(p.before.target)
		e.loads.Opened(p.after.target)
	}
	if p.closed {
		e.loads.Closed(p.after.target)
	}
	e.observe(now, p)
}
