package core

import (
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	// sameTargetCopies is how many repetitions of a SYN go to the first target while that one answers others.
	// A second one means that the target is full or the path is cut.
	sameTargetCopies = 1
	// maxRedraws bounds the search for another target.
	maxRedraws = 4
	// redrawSalt makes the draws for one flow independent of each other.
	redrawSalt = 0x9e3779b97f4a7c15
)

// open admits and places a new flow, or handles the repetition of its SYN.
func (e *TagEngine) open(w *tagWorld, now time.Time, h model.FlowHash, m *packet.Meta) TagVerdict {
	replaced := false
	if f, known := e.flows.get(h); known {
		if f.state == tagOpening && f.seq == m.Seq+m.SegmentLen() {
			return e.reopen(w, now, h, m, f)
		}
		if over, ok := e.flows.remove(h); ok {
			replaced = true
			e.released(now, over)
		}
	}
	if !e.current.Load() {
		return dropTagged(errkind.NotReady)
	}
	customer, _, kind := w.admitter.Admit(m.Src.Addr(), m.Dst)
	route := w.snapshot.RouteAt(m.Dst)
	if kind == errkind.None && route == nil {
		kind = errkind.NoSuchService
	}
	if kind != errkind.None {
		return refuseTagged(kind, h)
	}
	if kind := e.cfg.Limits.Open(now, Admission{Customer: customer, Service: route.Shares[0].Service}); kind != errkind.None {
		return refuseTagged(kind, h)
	}
	v := e.place(w, now, h, h, route)
	if v.Op != OpForward {
		e.cfg.Limits.Close(now, customer)
		return v
	}
	v.Replaced = replaced
	f := e.newFlow(now, m, v)
	f.customer = customer
	if e.flows.put(h, f) {
		e.loads.Placed(now, f.target)
		e.opened.add(now, h)
	} else {
		e.cfg.Limits.Close(now, customer)
	}
	return v
}

func (e *TagEngine) newFlow(now time.Time, m *packet.Meta, v TagVerdict) tagFlow {
	ms := e.flows.millis(now)
	return tagFlow{
		target:  v.Target.ID,
		tag:     v.Tag,
		caller:  flow.EndpointOf(m.Src),
		service: flow.EndpointOf(m.Dst),
		isn:     m.Seq,
		seq:     m.Seq + m.SegmentLen(),
		at:      ms,
		last:    ms,
	}
}

// place chooses a new flow's target by a draw, which is the flow's hash at first. All daemons choose the same
// service for a flow, and nearly the same target.
func (e *TagEngine) place(w *tagWorld, now time.Time, h, draw model.FlowHash, route *model.Route) TagVerdict {
	st := w.table.Service(route.ServiceOf(h))
	t, kind := e.cfg.Policy.Choose(now, draw, st, e.loads)
	if kind != errkind.None {
		return refuseTagged(kind, h)
	}
	tag := w.tags.Tag(t.ID)
	if tag == flowtag.None {
		// Older targets hold all tags of this one, so its flows could not be told from theirs.
		return refuseTagged(errkind.NoTargetReachable, h)
	}
	return TagVerdict{Op: OpForward, Reason: TagPlaced, Target: t, Tag: tag, Route: route}
}

// reopen handles the repetition of a SYN. It goes to the same target while that one is known to answer
// others, since a second target would open a connection for nothing, and else to another one.
func (e *TagEngine) reopen(w *tagWorld, now time.Time, h model.FlowHash, m *packet.Meta, f tagFlow) TagVerdict {
	e.missed(now, h, f.target, true)
	f.copies++
	f.last = e.flows.millis(now)
	target := w.targets[f.target]
	route := w.snapshot.RouteAt(m.Dst)
	if route == nil {
		return refuseTagged(errkind.NoSuchService, h)
	}
	if target != nil && !target.Leaving && f.copies <= sameTargetCopies && e.answersSince(f) {
		e.flows.put(h, f)
		return TagVerdict{Op: OpForward, Reason: TagRepeated, Target: target, Tag: f.tag, Route: route}
	}
	for i := range maxRedraws {
		v := e.place(w, now, h, h^model.FlowHash(redrawSalt*uint64(i+1)*uint64(f.copies)), route)
		if v.Op != OpForward || v.Target.ID == f.target {
			continue
		}
		e.loads.Closed(f.target)
		e.loads.Placed(now, v.Target.ID)
		f.target, f.tag = v.Target.ID, v.Tag
		e.flows.put(h, f)
		v.Reason = TagMoved
		return v
	}
	e.flows.put(h, f)
	if target == nil {
		return refuseTagged(errkind.NoTargetReachable, h)
	}
	return TagVerdict{Op: OpForward, Reason: TagRepeated, Target: target, Tag: f.tag, Route: route}
}

// answersSince reports whether the flow's target has answered another flow since this one's SYN.
func (e *TagEngine) answersSince(f tagFlow) bool {
	answered := e.loads.Evidence(f.target).LastAnswer
	return !answered.IsZero() && newer(e.flows.millis(answered), f.at)
}

func refuseTagged(k errkind.Kind, h model.FlowHash) TagVerdict {
	v := refuse(k, h)
	return TagVerdict{Op: v.Op, Kind: v.Kind, RetryAfter: v.RetryAfter}
}
