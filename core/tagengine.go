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
	// Epoch is a time not after the first event; required.
	Epoch time.Time
	// IdleTimeout is how long a flow's record is kept without packets. A record is a memory of the flow's
	// progress; its way needs none. Default 15 s.
	IdleTimeout time.Duration
	// MaxFlows bounds the records, and so their memory; default 200,000. Flows beyond it go on without one.
	MaxFlows int
	// Limits bounds customers' flows. Default: no bounds.
	Limits Limits
	// Suspect asks to look for a target, whose registration may have ended, and to hand the outcome to Probed. It must not
	// block. With it, flows are reset in their target's place on what Probed tells alone. Default: targets are judged by
	// the answers that they miss.
	Suspect func(t *model.Target)
}

const (
	defaultTagIdleTimeout = 15 * time.Second
	defaultMaxTagFlows    = 200_000
)

// TagEngine decides about packets of a transport that carries a flow tag in each packet of a flow. Packet
// methods may be called from any number of goroutines at once; Adopt and Tick from one goroutine at a time.
type TagEngine struct {
	cfg   TagConfig
	loads *placement.LoadTable
	flows tagFlows
	// opened are the flows whose callers have yet to acknowledge a target's answer.
	opened openings
	// ticked is when the openings were last looked at.
	ticked time.Time
	// openedFar are those of them whose targets need longer.
	openedFar openings
	world     atomic.Pointer[tagWorld]
	suspects  suspects
	// current is false while the daemon's beliefs may be old, as after a pause.
	current atomic.Bool
}

// tagWorld is everything that packets are decided on and that changes rarely. It is immutable.
type tagWorld struct {
	snapshot *model.Snapshot
	// admitter is nil while only targets are known: open flows go on, and none can be opened.
	admitter Admitter
	table    *placement.Table
	tags     *flowtag.Table
	targets  map[model.TargetID]*model.Target
}

// NewTagEngine returns an engine without lists; it drops every packet until Adopt was called.
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
	e.opened.late = 1 // nothing has been answered yet
	return e
}

// Adopt puts a set of lists in force.
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

// AdoptTargets puts targets in force before the lists are whole: a flow's tag names its target, so open flows need no more.
// First packets get NotReady until Adopt was called; whoever can keeps them until then.
func (e *TagEngine) AdoptTargets(now time.Time, s *model.Snapshot) {
	e.Adopt(now, s, nil)
}

// SetCurrent says whether the lists in force may be acted on. While they may not, new flows get no answer; open flows go
// on. On transports that mark repeated SYNs these are dropped as well, so the caller opens another flow.
func (e *TagEngine) SetCurrent(current bool) {
	e.current.Store(current)
}

// Ready reports whether the engine can place flows.
func (e *TagEngine) Ready() bool {
	return e.Whole() && e.current.Load()
}

// Whole reports whether whole lists are in force.
func (e *TagEngine) Whole() bool {
	w := e.world.Load()
	return w != nil && w.admitter != nil
}

// Loads returns the table of what is known of the targets' loads.
func (e *TagEngine) Loads() *placement.LoadTable {
	return e.loads
}

// Lists returns the whole lists in force, or nil.
func (e *TagEngine) Lists() *model.Snapshot {
	w := e.world.Load()
	if w == nil || w.admitter == nil {
		return nil
	}
	return w.snapshot
}

// Target returns a target that open flows may lead to, or nil.
func (e *TagEngine) Target(id model.TargetID) *model.Target {
	w := e.world.Load()
	if w == nil {
		return nil
	}
	return w.targets[id]
}

// OpenFlows returns the number of flows with a record.
func (e *TagEngine) OpenFlows() int {
	return e.flows.len()
}

// Tick drops the records of flows that ended or went silent, and returns the flows to reset at their callers.
func (e *TagEngine) Tick(now time.Time) []TagReset {
	e.flows.expire(now, e.released)
	e.judgeOpenings(now)
	return e.resetSilent(now)
}

// released undoes what a record counted.
func (e *TagEngine) released(now time.Time, f tagFlow) {
	if f.state != tagClosing {
		e.loads.Closed(f.target)
	}
	if f.customer != nil {
		e.cfg.Limits.Close(now, f.customer)
	}
}

// TagReason says why a packet goes where it goes.
type TagReason uint8

// The reasons of a TagVerdict.
const (
	// TagSteered is a packet whose tag or record names the target.
	TagSteered TagReason = iota
	// TagPlaced is the first packet of a flow.
	TagPlaced
	// TagRepeated is a repeated first packet that goes to the flow's target again.
	TagRepeated
	// TagLearned is the first packet that this daemon sees of a flow which another one opened.
	TagLearned
	// TagMoved is a repeated first packet that goes to another target, since a probe did not find the first one.
	TagMoved
)

// String returns the reason's name in logs.
func (r TagReason) String() string {
	return [...]string{"steered", "placed", "repeated", "learned", "moved"}[r]
}

// TagVerdict is what a TagEngine decides on one packet: OpForward to Target with Tag, OpReset or OpDrop.
type TagVerdict struct {
	Op     Op
	Kind   errkind.Kind
	Reason TagReason
	Target *model.Target
	Tag    flowtag.Tag
	// Route is the flow's route where the packet opens one.
	Route *model.Route
	// Replaced is true for the first packet of a flow whose ends had a record of another flow.
	Replaced bool
	// Conflict is set where the packet's tag names another target than the flow's record.
	Conflict *TagConflict
	// ISN is, of a reset in a target's place, the number that the flow's SYN carried; 0 where another daemon saw that.
	ISN uint32
	// RetryAfter is when a refused caller should come back; 0 where asking again is useless.
	RetryAfter time.Duration
}

// TagConflict is what a packet and its flow's record say where they differ. It tells a packet of the recorded flow that
// carries the tag of another target from one of a later flow between the same ends: the numbers of the former continue
// those of the record.
type TagConflict struct {
	// Named is the target of the packet's tag; nil for a tag that nobody here knows. Recorded is the record's.
	Named, Recorded model.TargetID
	Tag             flowtag.Tag
	// SeqAhead and AckAhead are how far the packet's numbers are beyond the record's, in bytes.
	SeqAhead, AckAhead int32
	// Age is the time since the last packet that told something new of the flow.
	Age time.Duration
	// Opening is true where the record knew only SYNs, so that the packet's tag counts.
	Opening bool
}

// conflictOf returns what a packet and its flow's record say where they differ, or nil.
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

// FromCaller decides on a packet of a caller that carries a tag.
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

// steer sends a packet of an open flow to its target. The target that a daemon saw first in the flow's tags
// stays its target: a caller whose repeated SYN reached two targets may return the tag of the one that it
// did not choose. Of another flow between the same ends, as its numbers tell, the packet's tag decides.
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

// learn returns the record of a flow that this daemon did not open.
func (e *TagEngine) learn(w *tagWorld, tag flowtag.Tag) (tagFlow, bool) {
	t := w.tags.Target(tag)
	if t == nil {
		return tagFlow{}, false
	}
	return tagFlow{target: t.ID, tag: tag, state: tagOpen}, true
}

// judge turns a packet's progress into evidence on the flow's target.
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
