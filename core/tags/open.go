package tags

import (
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// maxRedraws bounds the attempts to choose another target for a flow.
	maxRedraws = 4
)

// open admits and places a new flow, or handles a duplicate SYN. Only the daemon that received a flow's first SYN
// sends the flow to a target, and only it sends the duplicates that it receives, to the same target: two targets are never
// offered one flow, whatever the daemons know of each other and however late a packet is. A caller whose first SYN no daemon
// received opens another flow when its attempt ends.
func (e *Engine) open(lists *tagLists, now time.Time, h model.FlowHash, m *packet.Meta, waited bool) Verdict {
	if lists.admitter == nil {
		return dropTagged(errkind.NotReady)
	}
	f, known := e.records.get(h)
	switch {
	case known && f.state == tagHandshake && f.seq == m.Seq+m.SegmentLen():
		return e.handleDuplicateSYN(lists, now, h, m, f)
	case known && f.isDuplicateSYN(m):
		return dropOutdated(CauseFlowOpen)
	case m.DuplicateSYN:
		return dropOutdated(CauseFirstSYNUnseen)
	}
	replaced := false
	if known {
		if previous, ok := e.records.remove(h); ok {
			replaced = true
			e.releaseCounts(now, previous)
		}
	}
	if !e.current.Load() {
		return dropTagged(errkind.NotReady)
	}
	customer, _, kind := lists.admitter.Admit(m.Src.Addr(), m.Dst)
	route := lists.snapshot.RouteAt(m.Dst)
	if kind == errkind.None && route == nil {
		kind = errkind.NoSuchService
	}
	if kind != errkind.None {
		return refuseTagged(kind, h)
	}
	v, loads := e.admit(now, attempt(h, m, route, waited))
	if v.Op != core.OpForward {
		return v
	}
	if kind := e.cfg.Limits.Open(now, core.Admission{Customer: customer, Service: route.Shares[0].Service}); kind != errkind.None {
		return refuseTagged(kind, h)
	}
	v = e.placeCounted(lists, now, h, route, loads)
	if v.Op != core.OpForward {
		e.cfg.Limits.Close(now, customer)
		return v
	}
	v.Replaced = replaced
	f = e.newRecord(now, m, v)
	f.customer = customer
	if e.records.put(h, f) {
		e.loads.Placed(now, f.target)
		e.halfOpen.add(now, h)
		if e.cfg.Gate != nil {
			e.cfg.Gate.Placed(now, f.target, f.service)
		}
	} else {
		e.cfg.Limits.Close(now, customer)
	}
	return v
}

func (e *Engine) newRecord(now time.Time, m *packet.Meta, v Verdict) tagRecord {
	ms := e.records.millis(now)
	return tagRecord{
		target:     v.Target.ID,
		tag:        v.Tag,
		caller:     flow.PackAddrPort(m.Src),
		service:    flow.PackAddrPort(m.Dst),
		isn:        m.Seq,
		seq:        m.Seq + m.SegmentLen(),
		progressAt: ms,
		packetAt:   ms,
		trace:      requestTrace{openedAt: ms, opened: true},
	}
}

// place chooses a new flow's target. The flow's hash selects the service, so that all daemons choose the same one.
func (e *Engine) place(lists *tagLists, now time.Time, h model.FlowHash, route *model.Route, loads placement.Loads) Verdict {
	st := lists.table.ServiceOf(route, h)
	if len(lists.untagged) > 0 {
		loads = loadsWithoutTargets{Loads: loads, targets: lists.untagged}
	}
	t, kind := e.cfg.Policy.Choose(now, h, st, loads)
	if kind == errkind.TargetsWarming {
		return refuseWarming(now, st, h)
	}
	if kind != errkind.None {
		return refuseTagged(kind, h)
	}
	tag := lists.tags.Tag(t.ID)
	if tag == flowtag.None {
		return refuseTagged(errkind.NoTargetReachable, h) // the policy does not heed Observation.Down
	}
	return Verdict{Op: core.OpForward, Reason: Placed, Target: t, Tag: tag, Route: route}
}

// loadsWithoutTargets presents loads with some targets marked as down.
type loadsWithoutTargets struct {
	placement.Loads
	targets map[model.TargetID]bool
}

// Observe implements placement.Loads.
func (l loadsWithoutTargets) Observe(now time.Time, id model.TargetID) placement.Observation {
	o := l.Loads.Observe(now, id)
	o.Down = o.Down || l.targets[id]
	return o
}

// placeCounted chooses a new flow's target and counts the flow in the target's warm-up limit.
func (e *Engine) placeCounted(lists *tagLists, now time.Time, h model.FlowHash, route *model.Route, loads placement.Loads) Verdict {
	for range maxRedraws {
		v := e.place(lists, now, h, route, loads)
		if v.Op != core.OpForward || e.cfg.Warmup.Take(now, v.Target) {
			return v
		}
		// Another goroutine has used up the target's limit since place; the target is no longer a candidate.
	}
	return refuseWarming(now, lists.table.ServiceOf(route, h), h)
}

// refuseWarming refuses a flow whose possible targets all warm up, until the first of them has finished.
func refuseWarming(now time.Time, st *placement.ServiceTable, h model.FlowHash) Verdict {
	after, ok := st.NextWarm(now)
	if !ok {
		return refuseTagged(errkind.TargetsWarming, h)
	}
	r := core.RefuseFor(errkind.TargetsWarming, h, after)
	return Verdict{Op: r.Op, Kind: r.Kind, RetryAfter: r.RetryAfter}
}

// handleDuplicateSYN handles a duplicate SYN of a half-open flow. It sends the SYN to the same target, also if a probe did
// not find that one: it may have got the first SYN before, and answer once it is reachable. If two targets accept one SYN,
// both answer and the caller may return the tag of either; and a target that refuses the SYN ends a flow that is open at the
// other. A target that the lists in force would not let take the flow any more may have answered the first SYN already: the
// duplicate goes nowhere then, and the caller continues with that answer or opens another flow. For the same reason no
// duplicate is refused: the flow may be open, and a reset that answers a SYN has no number that fits it.
func (e *Engine) handleDuplicateSYN(lists *tagLists, now time.Time, h model.FlowHash, m *packet.Meta, f tagRecord) Verdict {
	e.handleMiss(now, h, f.target, true)
	f.synDuplicates++
	f.packetAt = e.records.millis(now)
	_, _, kind := lists.admitter.Admit(m.Src.Addr(), m.Dst)
	route := lists.snapshot.RouteAt(m.Dst)
	if kind == errkind.None && route == nil {
		kind = errkind.NoSuchService
	}
	if kind != errkind.None {
		return dropTagged(kind)
	}
	target := lists.targets[f.target]
	e.records.put(h, f)
	if target == nil {
		return dropTagged(errkind.NoTargetReachable)
	}
	if kind := excludes(route, target); kind != errkind.None {
		return dropTagged(kind)
	}
	if !e.cfg.Warmup.Take(now, target) {
		return dropTagged(errkind.TargetsWarming)
	}
	return Verdict{Op: core.OpForward, Reason: Repeated, Target: target, Tag: f.tag, Route: route}
}

// excludes returns why the lists in force do not let a target take a flow of a route that was offered to it before, or
// errkind.None. The announced stop of a target, and the end of its registration, do not exclude it: it serves for longer than
// a caller sends duplicates, and no other target may get them.
func excludes(route *model.Route, target *model.Target) errkind.Kind {
	switch {
	case target.ZoneDraining:
		return errkind.ZoneDraining
	case !route.InRegions(target.Zone), !route.IsServedBy(target.Service):
		return errkind.NoTargetReachable
	}
	return errkind.None
}

func dropOutdated(c DropCause) Verdict {
	return Verdict{Op: core.OpDrop, Kind: errkind.PacketOutdated, Cause: c}
}

func refuseTagged(k errkind.Kind, h model.FlowHash) Verdict {
	r := core.Refuse(k, h)
	return Verdict{Op: r.Op, Kind: r.Kind, RetryAfter: r.RetryAfter}
}
