package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// checkRoute checks that a new flow reaches the service and the regions that its address has in the current
// configuration, or had in one replaced at most routeSlack ago. Daemons affected by a fault are not checked, since they may still use an older
// configuration.
func (h *harness) checkRoute(now time.Time, e *entry, t *target, key packet.FlowKey) {
	if now.Before(e.excusedUntil) || now.Before(h.excusedUntil) {
		return
	}
	for _, c := range h.configHistory {
		if !c.replacedAt.IsZero() && now.Sub(c.replacedAt) > routeSlack {
			continue
		}
		if slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Address == key.Service && r.allows(t) }) {
			return
		}
	}
	h.reportViolation("plan", "%s forwarded the flow to %v from %v to target %s of service %s in zone %s, which has no route for it", e.name, key.Service, key.Caller, t.entry.Name, t.entry.Service, t.entry.Zone)
}

// checkReset checks that neither a daemon nor another target resets an open flow while its target is serving, neither
// the daemon nor the links had a recent fault, and the flow still has a route.
func (h *harness) checkReset(now time.Time, f *flow, from netip.AddrPort) {
	t := f.servedBy
	if t == nil || t.state != targetServing || from == t.entry.Address {
		return
	}
	if e := h.entryAt(from); e != nil {
		if h.isAttributable(now, f, e) {
			h.reportViolation("open flows", "%s reset %v, whose target %s is serving%s", e.name, f, t.entry.Name, f.resetNote())
		}
		return
	}
	if e := h.refusedFrom[f.key]; e != nil && h.isAttributable(now, f, e) {
		h.reportViolation("open flows", "%s forwarded a packet of %v, which is open at %s, to %v, which reset the flow", e.name, f, t.entry.Name, from)
	}
}

const (
	// An open flow counts as broken once all of its packets have reached other targets for at least misrouteTime, and
	// at least misroutePackets of them (the users' rule on open flows).
	misrouteTime    = 2 * time.Second
	misroutePackets = 3
)

// checkMisrouted checks that the packets of an open flow are not all forwarded to targets other than the flow's own. A
// few misrouted packets are allowed; see misroutePackets.
func (h *harness) checkMisrouted(now time.Time, e *entry, t *target, key packet.FlowKey, p Packet) {
	f := h.findOpenFlow(key)
	if f == nil || !f.ownsSeq(p.Seq) {
		return
	}
	if f.servedBy == t {
		f.misrouted = 0
		return
	}
	if f.servedBy.state != targetServing || !h.isAttributable(now, f, e) {
		return
	}
	if f.misrouted == 0 {
		f.misroutedSince = now
	}
	f.misrouted++
	if f.misrouted >= misroutePackets && now.Sub(f.misroutedSince) >= misrouteTime {
		h.reportViolation("open flows", "%s forwarded a packet of %v, which is open at %s, to %s; the last %d packets were all misrouted", e.name, f, f.servedBy.entry.Name, t.entry.Name, f.misrouted)
		f.misrouted = 0
	}
}

// checkOffer checks that all SYNs of a flow go to one target. No fault excuses a daemon.
func (h *harness) checkOffer(e *entry, t *target, key packet.FlowKey, p Packet) {
	c := h.callerAt(key.Caller.Addr())
	if c == nil {
		return
	}
	f := c.flows[key.Caller.Port()]
	if f == nil || f.key != key || f.initial != p.Seq {
		return
	}
	if f.offeredTo == nil {
		f.offeredTo = t
	}
	if f.offeredTo != t {
		h.reportViolation("one target", "%s offered the flow %v > %v to target %s, duplicate SYN %d; target %s was offered it before", e.name, key.Caller, key.Service, t.entry.Name, p.Ack, f.offeredTo.entry.Name)
	}
}

// findOpenFlow returns the open flow with the given key, or nil.
func (h *harness) findOpenFlow(key packet.FlowKey) *flow {
	c := h.callerAt(key.Caller.Addr())
	if c == nil {
		return nil
	}
	f := c.flows[key.Caller.Port()]
	if f == nil || f.key != key || !f.open || f.servedBy == nil {
		return nil
	}
	return f
}

// isAttributable reports whether a failure of an open flow is attributed to a daemon: neither the daemon nor the links
// had a recent fault, and the flow still has a route. A failure during or shortly after a fault is counted as excused.
func (h *harness) isAttributable(now time.Time, f *flow, e *entry) bool {
	noRecentFault := !now.Before(e.excusedUntil) && !now.Before(h.excusedUntil)
	if !noRecentFault {
		h.excused++
	}
	return noRecentFault && slices.ContainsFunc(h.config.Routes, func(r Route) bool { return r.Address == f.key.Service })
}

// resetNote returns a note for a daemon's reset that lies outside resetWindow, which callers may ignore.
func (f *flow) resetNote() string {
	if max(f.resetDistance, -f.resetDistance) > resetWindow {
		return "; its sequence number is outside the window of the flow"
	}
	return ""
}

// String returns the flow's key and how its handshake went.
func (f *flow) String() string {
	s := fmt.Sprintf("%v > %v", f.key.Caller, f.key.Service)
	if f.duplicateSYNs > 0 {
		s += fmt.Sprintf(" (%d duplicate SYNs)", f.duplicateSYNs)
	}
	if tf := f.servedBy.flows[f.key]; tf == nil || !tf.open {
		s += " (not yet, or no longer, open at its target)"
	}
	return s
}

// checkHistory checks the requests that targets executed against the outcomes that callers observed.
func (h *harness) checkHistory() {
	for _, v := range history.Check(h.history) {
		h.reportViolation("requests", "%v", v)
	}
}

// checkOwnPacket checks that a daemon's own packets to a caller are resets without other flags or data. A FIN or data
// from a daemon could make a truncated response look complete.
func (h *harness) checkOwnPacket(from netip.AddrPort, p Packet) {
	if e := h.entryAt(from); e != nil && (p.Flags != packet.RST || len(p.Data) > 0) {
		h.reportViolation("answers", "%s sent a packet of its own with flags %d and %d bytes of data to %v", e.name, p.Flags, len(p.Data), p.Dst)
	}
}
