// Resets of open flows without a packet of their callers.

package tags

import (
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/consent"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// callerIdleTime is how long a caller must have sent nothing to count as idle. Unacknowledged data is
	// retransmitted sooner.
	callerIdleTime = 300 * time.Millisecond
	// resetMaxAge is how long after its last packet at this daemon a flow may be reset on behalf of its target: half of the
	// time for which records are kept, so that other daemons still have records of later packets.
	resetMaxAge = defaultTagIdleTimeout / 2
	// laterSlack is the age difference from which one daemon's packet of a flow counts as later than another's. It exceeds
	// the delay of a question.
	laterSlack = 50 * time.Millisecond
)

// FlowReset is a request to reset a flow at its caller.
type FlowReset struct {
	Caller, Service netip.AddrPort
	// ISN is the initial sequence number of the flow's SYN; 0 if another daemon saw the SYN.
	ISN uint32
	// Ack is the caller's highest acknowledgement number.
	Ack    uint32
	Kind   errkind.Kind
	Target model.TargetID
}

// unresponsiveTargets returns the suspects that are unresponsive. Suspects without a clear result stay suspects and are
// probed again as soon as the probe interval allows.
func (e *Engine) unresponsiveTargets(now time.Time) []model.TargetID {
	var out []model.TargetID
	for _, id := range e.suspects.list() {
		ev := e.loads.Evidence(id)
		switch {
		case e.isUnresponsive(now, ev, false) && !e.localFaultLikely(now, ev):
			out = append(out, id)
		case suspicionCleared(now, ev):
			e.suspects.drop(id)
		default:
			e.requestProbe(now, id, ev)
		}
	}
	return out
}

// ResetCandidates returns the flows of an unresponsive target that are to be reset at their callers: idle flows, and flows
// with idempotent requests. Load pattern: a target with many idle flows fails, and callers would send their next requests
// to it in vain.
//
// Records alone do not suffice for a reset, since a flow may go on through another daemon, which has received later
// acknowledgements. ResetConfirmed resets the flows of which no other daemon received a later packet.
func (e *Engine) ResetCandidates(now time.Time, id model.TargetID) consent.Request {
	r := consent.Request{Target: id, At: now}
	lists := e.activeLists.Load()
	if lists == nil {
		return r
	}
	hasFailed := e.hasFailed(e.loads.Evidence(id), lists.registrationEnded(id))
	maxAge := min(resetMaxAge, now.Sub(e.stalledUntil))
	ms := e.records.millis(now)
	e.records.each(func(h model.FlowHash, f *tagRecord) {
		since := sinceMillis(ms, f.packetAt)
		if f.target == id && since <= maxAge && isResetCandidate(lists, f, since, hasFailed) {
			r.Flows = append(r.Flows, flow.LastPacket{Flow: h, Ack: f.ack, Since: since})
		}
	})
	if len(r.Flows) == 0 {
		e.suspects.drop(id)
	}
	return r
}

// isResetCandidate reports whether a flow of an unresponsive target is to be reset; since is the time since its last packet.
// As in resetsRetransmission, a request that is not idempotent and may be in progress is reset only if the target is known to
// have failed.
func isResetCandidate(lists *tagLists, f *tagRecord, since time.Duration, hasFailed bool) bool {
	route := lists.snapshot.RouteAt(f.service.AddrPort())
	if f.state != tagOpen || route == nil {
		return false
	}
	idle := !f.requestPending && since >= callerIdleTime
	return hasFailed || idle || route.Kind.Idempotent()
}

// ResetConfirmed returns the resets of candidates of which no other daemon received a later packet. Flows that this daemon has
// received a packet of since stay, and so do all of them if the target has responded since.
func (e *Engine) ResetConfirmed(now time.Time, r consent.Request) []FlowReset {
	e.suspects.drop(r.Target)
	if ev := e.loads.Evidence(r.Target); ev.LastAnswer.After(r.At) || ev.Probed() && ev.Connected {
		return nil
	}
	at := e.records.millis(r.At)
	var out []FlowReset
	for _, c := range r.Flows {
		f, marked := e.records.markReset(c.Flow, func(f *tagRecord) bool {
			return f.target == r.Target && f.state == tagOpen && f.ack == c.Ack && sinceMillis(at, f.packetAt) == c.Since
		})
		if !marked {
			continue
		}
		e.releaseCounts(now, f)
		out = append(out, FlowReset{
			Caller:  f.caller.AddrPort(),
			Service: f.service.AddrPort(),
			ISN:     f.isn,
			Ack:     f.ack,
			Kind:    errkind.TargetLost,
			Target:  r.Target,
		})
	}
	return out
}

// Stalled records that the process was stalled, and that packets which are handled before until may have waited meanwhile.
// How old the flows' last packets are is not known then.
func (e *Engine) Stalled(until time.Time) {
	e.stalledUntil = until
}

// Yield reports for each flow whether this daemon received a later packet than the daemon that asks. Packets of the other
// flows are dropped for consent.YieldTime, so that the asker's number holds while its resets are on their way. If the flow
// is not reset, its caller sends the packets again.
func (e *Engine) Yield(now time.Time, flows []flow.LastPacket) []bool {
	ms := e.records.millis(now)
	later := make([]bool, len(flows))
	for i, f := range flows {
		later[i] = e.records.yield(ms, f)
	}
	return later
}

// Reach returns how long this daemon has kept a record of each flow that it received packets of.
func (e *Engine) Reach(now time.Time) time.Duration {
	if e.records.overflowed.Load() {
		return 0
	}
	return now.Sub(e.recordsSince)
}

// sinceMillis returns the time between two times in milliseconds since the epoch.
func sinceMillis(now, at uint32) time.Duration {
	return time.Duration(int32(now-at)) * time.Millisecond
}

// each calls do for each record, with the lock of its shard held.
func (t *tagRecords) each(do func(model.FlowHash, *tagRecord)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		for h, f := range s.records {
			do(h, &f)
		}
		s.Unlock()
	}
}

// yield reports whether the flow's record shows a later packet than that of another daemon. If not, the flow's packets are
// dropped from now on.
func (t *tagRecords) yield(ms uint32, other flow.LastPacket) bool {
	s := t.shard(other.Flow)
	s.Lock()
	defer s.Unlock()
	if f, known := s.records[other.Flow]; known {
		acknowledgedMore := f.state != tagHandshake && serialAfter(f.ack, other.Ack)
		if acknowledgedMore || sinceMillis(ms, f.packetAt) < other.Since+laterSlack {
			return true
		}
	}
	s.yielded[other.Flow] = ms + uint32(consent.YieldTime/time.Millisecond)
	return false
}

// yields reports whether the flow's packets are dropped because another daemon may reset the flow. The shard is locked.
func (s *tagShard) yields(ms uint32, h model.FlowHash) bool {
	if len(s.yielded) == 0 {
		return false
	}
	until, ok := s.yielded[h]
	return ok && serialAfter(until, ms)
}
