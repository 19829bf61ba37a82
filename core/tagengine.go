package core

import (
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

// TagConfig holds the settings of a TagEngine.
type TagConfig struct {
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
	Limits Limits
	// Suspect requests a probe of a target, whose registration may have ended; the outcome must be passed to Probed.
	// It must not block. If it is set, the engine resets flows on behalf of a target only after a failed probe.
	// Default: no probes; targets are classified by their missed responses alone.
	Suspect func(t *model.Target)
}

const (
	defaultTagIdleTimeout = 15 * time.Second
	defaultMaxTagFlows    = 200_000
)

// TagEngine decides on packets of a transport that carries a flow tag in each packet of a flow. The tag names the
// flow's target, so any daemon can steer the flow. Packet methods may be called from any number of goroutines at
// once; Adopt and Tick from one goroutine at a time.
type TagEngine struct {
	cfg   TagConfig
	loads *placement.LoadTable
	flows tagFlows
	// opened holds the flows whose callers have not yet acknowledged the target's answer to the SYN.
	opened openings
	// ticked is the time of the last check of half-open flows.
	ticked time.Time
	// openedFar holds the half-open flows whose targets have slow handshakes and so get a longer timeout.
	openedFar openings
	world     atomic.Pointer[tagWorld]
	suspects  suspects
	// current is false while the lists may be outdated, as after a pause of the daemon.
	current atomic.Bool
}

// tagWorld holds the data from the published lists that packets are decided on. It is immutable and replaced as a
// whole.
type tagWorld struct {
	snapshot *model.Snapshot
	// admitter is nil while only the targets are known: open flows are steered, but no flow can be opened.
	admitter Admitter
	table    *placement.Table
	tags     *flowtag.Table
	targets  map[model.TargetID]*model.Target
}

// NewTagEngine returns an engine without lists. It drops every packet until Adopt or AdoptTargets is called.
func NewTagEngine(cfg TagConfig) *TagEngine {
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultTagIdleTimeout
	}
	if cfg.MaxFlows <= 0 {
		cfg.MaxFlows = defaultMaxTagFlows
	}
	if cfg.Limits == nil {
		cfg.Limits = noLimits{}
	}
	e := &TagEngine{cfg: cfg, loads: placement.NewLoadTable()}
	e.flows.init(cfg)
	e.opened.late = 1 // no handshake has completed yet
	return e
}

// Adopt replaces the published lists that the engine decides on.
func (e *TagEngine) Adopt(now time.Time, s *model.Snapshot, a Admitter) {
	w := &tagWorld{
		snapshot: s,
		admitter: a,
		table:    placement.NewTable(s),
		targets:  make(map[model.TargetID]*model.Target),
	}
	var published []*model.Target
	for _, svc := range s.Services {
		published = append(published, svc.Targets...)
	}
	w.tags = flowtag.NewTable(published, s.Former)
	for _, t := range s.Former {
		w.targets[t.ID] = t
	}
	for _, t := range published {
		w.targets[t.ID] = t
	}
	e.loads.SetTable(now, w.table, s.Former...)
	e.world.Store(w)
}

// AdoptTargets replaces the targets before all published lists are known. That suffices for open flows, since a
// flow's tag names its target. SYNs get NotReady until Adopt is called; transports that can, hold them until then.
func (e *TagEngine) AdoptTargets(now time.Time, s *model.Snapshot) {
	e.Adopt(now, s, nil)
}

// SetCurrent sets whether the engine may open flows on its lists. While current is false, the engine drops SYNs of
// new flows and goes on steering open flows. Transports that mark repeated SYNs have those dropped even after that, so
// that the caller must open another flow.
func (e *TagEngine) SetCurrent(current bool) {
	e.current.Store(current)
}

// Ready reports whether the engine can place new flows.
func (e *TagEngine) Ready() bool {
	return e.Whole() && e.current.Load()
}

// Whole reports whether the engine has complete lists, and not only targets.
func (e *TagEngine) Whole() bool {
	w := e.world.Load()
	return w != nil && w.admitter != nil
}

// Loads returns the table of the targets' loads and of the evidence on their health.
func (e *TagEngine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the complete lists that the engine decides on, or nil if it has none.
func (e *TagEngine) Lists() *model.Snapshot {
	w := e.world.Load()
	if w == nil || w.admitter == nil {
		return nil
	}
	return w.snapshot
}

// Target returns a target that open flows may lead to, published or previous; nil if it is unknown.
func (e *TagEngine) Target(id model.TargetID) *model.Target {
	w := e.world.Load()
	if w == nil {
		return nil
	}
	return w.targets[id]
}

// OpenFlows returns the number of flow records.
func (e *TagEngine) OpenFlows() int {
	return e.flows.len()
}

// Tick removes records of flows that closed or were idle for too long, checks half-open flows, and returns the flows
// to reset at their callers.
func (e *TagEngine) Tick(now time.Time) []TagReset {
	e.flows.expire(now, e.released)
	e.judgeOpenings(now)
	return e.resetSilent(now)
}

// released reverts the flow counts that a removed record had added to.
func (e *TagEngine) released(now time.Time, f tagFlow) {
	if f.state != tagClosing {
		e.loads.Closed(f.target)
	}
	if f.customer != nil {
		e.cfg.Limits.Close(now, f.customer)
	}
}

// TagReason says why a packet is sent to its target.
type TagReason uint8

// The reasons of a TagVerdict.
const (
	// TagSteered means that the packet's tag or the flow's record names the target.
	TagSteered TagReason = iota
	// TagPlaced means that the packet is the first SYN of a flow.
	TagPlaced
	// TagRepeated means that the packet is a repeated SYN, sent to the flow's target again.
	TagRepeated
	// TagLearned means that the packet is the first one seen here of a flow that another daemon opened.
	TagLearned
	// TagMoved means that the packet is a repeated SYN, sent to another target because a probe did not find the first
	// one.
	TagMoved
)

// String returns the reason's name as logged.
func (r TagReason) String() string {
	return [...]string{"steered", "placed", "repeated", "learned", "moved"}[r]
}

// TagVerdict is the decision of a TagEngine on one packet: OpForward to Target with Tag, OpReset or OpDrop.
type TagVerdict struct {
	Op     Op
	Kind   errkind.Kind
	Reason TagReason
	Target *model.Target
	Tag    flowtag.Tag
	// Route is the flow's route; set only for SYNs that are forwarded.
	Route *model.Route
	// Replaced is true for the SYN of a flow whose endpoints had the record of an earlier flow.
	Replaced bool
	// Conflict is set if the packet's tag differs from the tag in the flow's record.
	Conflict *TagConflict
	// ISN is the initial sequence number of a flow that is reset on behalf of its target; 0 if another daemon saw the
	// SYN.
	ISN uint32
	// RetryAfter is how long a refused caller should wait before it tries again; 0 if a retry is useless.
	RetryAfter time.Duration
}

// TagConflict describes how a packet's tag and its flow's record differ. The sequence numbers tell the two causes
// apart: if they continue those of the record, the packet belongs to the recorded flow and carries another target's
// tag; otherwise it belongs to a later flow between the same endpoints.
type TagConflict struct {
	// Named is the target that the packet's tag names, 0 for an unknown tag. Recorded is the target in the record.
	Named, Recorded model.TargetID
	Tag             flowtag.Tag
	// SeqAhead and AckAhead are the distance in bytes from the record's numbers to the packet's.
	SeqAhead, AckAhead int32
	// Age is the time since the last packet that advanced the flow.
	Age time.Duration
	// Opening is true if the record knew the flow's SYNs only, so that the packet's tag decides.
	Opening bool
}

// conflictOf returns how a packet's tag and its flow's record differ, or nil if they don't.
func (w *tagWorld) conflictOf(m *packet.Meta, tag flowtag.Tag, p *tagProgress) *TagConflict {
	if p.before.tag == flowtag.None || tag == p.before.tag {
		return nil
	}
	c := &TagConflict{
		Recorded: p.before.target,
		Tag:      tag,
		SeqAhead: int32(m.Seq - p.before.seq),
		Age:      p.waited,
		Opening:  p.before.state == tagOpening,
	}
	if !c.Opening {
		c.AckAhead = int32(m.Ack - p.before.ack)
	}
	if t := w.tags.Target(tag); t != nil {
		c.Named = t.ID
	}
	return c
}

func dropTagged(k errkind.Kind) TagVerdict {
	return TagVerdict{Op: OpDrop, Kind: k}
}

// FromCaller decides on a packet that a caller sent with a tag.
func (e *TagEngine) FromCaller(now time.Time, m *packet.Meta, tag flowtag.Tag) TagVerdict {
	w := e.world.Load()
	if w == nil {
		return dropTagged(errkind.NotReady)
	}
	h := m.Key().Hash()
	if m.Flags.Has(packet.SYN) && !m.Flags.Has(packet.ACK) {
		return e.open(w, now, h, m)
	}
	return e.steer(w, now, h, m, tag)
}

// steer sends a packet of an open flow to its target. The first target that this daemon sees in the flow's tags
// remains its target: a caller whose repeated SYN reached two targets may return the tag of the one that it did not
// choose. If the packet's sequence numbers show another flow between the same endpoints, the packet's tag decides.
func (e *TagEngine) steer(w *tagWorld, now time.Time, h model.FlowHash, m *packet.Meta, tag flowtag.Tag) TagVerdict {
	f, known := e.flows.packet(now, h, m, tag, func() (tagFlow, bool) {
		return e.learn(w, tag)
	})
	if !known {
		return dropTagged(errkind.TargetLost)
	}
	e.judge(now, h, &f)
	target := w.targets[f.after.target]
	if target == nil {
		return dropTagged(errkind.TargetLost)
	}
	if f.repeated && e.givesUp(w, now, m.Dst, &f.after) {
		e.end(now, h)
		v := refuseTagged(errkind.TargetLost, h)
		v.Target, v.ISN = target, f.after.isn
		v.Conflict = w.conflictOf(m, tag, &f)
		return v
	}
	v := TagVerdict{Op: OpForward, Target: target, Tag: f.after.tag, Conflict: w.conflictOf(m, tag, &f)}
	if f.added {
		v.Reason = TagLearned
	}
	return v
}

// learn returns a new record, from the tag alone, for a flow that another daemon opened.
func (e *TagEngine) learn(w *tagWorld, tag flowtag.Tag) (tagFlow, bool) {
	t := w.tags.Target(tag)
	if t == nil {
		return tagFlow{}, false
	}
	return tagFlow{target: t.ID, tag: tag, state: tagOpen}, true
}

// judge turns what a packet shows of its flow's progress into evidence on the target, and updates the flow counts.
func (e *TagEngine) judge(now time.Time, h model.FlowHash, f *tagProgress) {
	if f.replaced {
		e.released(now, f.before)
	}
	if f.added {
		e.loads.Opened(f.after.target)
	}
	switch {
	case f.opened:
		e.loads.Answered(now, f.after.target, f.waited)
	case f.answered:
		e.loads.Alive(now, f.after.target)
	case f.repeated:
		e.missed(now, h, f.after.target, f.after.repeats >= strongRepeats)
	}
	if f.retargeted {
		e.loads.Closed(f.before.target)
		e.loads.Opened(f.after.target)
	}
	if f.closed {
		e.loads.Closed(f.after.target)
	}
}
