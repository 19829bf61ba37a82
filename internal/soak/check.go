package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// checkRoute checks that a new flow reaches the service that its address has in the current configuration, or had in
// one replaced at most routeSlack ago. Daemons affected by a fault are not checked, since they may still use an older
// configuration.
func (w *world) checkRoute(now time.Time, e *entry, t *target, key packet.FlowKey) {
	if now.Before(e.troubledUntil) || now.Before(w.troubledUntil) {
		return
	}
	for _, c := range w.configs {
		if !c.until.IsZero() && now.Sub(c.until) > routeSlack {
			continue
		}
		if slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Address == key.Service && r.Service == t.entry.Service }) {
			return
		}
	}
	w.broken("plan", "%s forwarded the flow to %v from %v to target %s of service %s, which has no route for it", e.name, key.Service, key.Caller, t.entry.Name, t.entry.Service)
}

// checkReset checks that no daemon and no other target resets an open flow while its target is serving, no fault is
// near, and the flow still has a route.
func (w *world) checkReset(now time.Time, f *flow, from netip.AddrPort) {
	h := f.holder
	if h == nil || h.state != targetServes || from == h.entry.Address {
		return
	}
	if e := w.entryAt(from); e != nil {
		if w.counts(now, f, e) {
			w.broken("open flows", "%s reset %v, whose target %s is serving%s", e.name, f, h.entry.Name, f.resetNote())
		}
		return
	}
	if e := w.refusedFrom[f.key]; e != nil && w.counts(now, f, e) {
		w.broken("open flows", "%s forwarded a packet of %v, which is open at %s, to %v, which reset the flow", e.name, f, h.entry.Name, from)
	}
}

const (
	// An open flow counts as broken once all of its packets have reached other targets for at least misrouteTime, and
	// at least misroutePackets of them (the users' rule on open flows).
	misrouteTime    = 2 * time.Second
	misroutePackets = 3
)

// checkWay checks that the packets of an open flow are not all forwarded to other targets than the flow's own. A few
// misrouted packets are allowed; see misroutePackets.
func (w *world) checkWay(now time.Time, e *entry, t *target, key packet.FlowKey, p Packet) {
	f := w.openFlow(key)
	if f == nil || !f.owns(p.Seq) {
		return
	}
	if f.holder == t {
		f.strays = 0
		return
	}
	if f.holder.state != targetServes || !w.counts(now, f, e) {
		return
	}
	if f.strays == 0 {
		f.strayedAt = now
	}
	f.strays++
	if f.strays >= misroutePackets && now.Sub(f.strayedAt) >= misrouteTime {
		w.broken("open flows", "%s forwarded a packet of %v, which is open at %s, to %s; the last %d packets were all misrouted", e.name, f, f.holder.entry.Name, t.entry.Name, f.strays)
		f.strays = 0
	}
}

// openFlow returns the open flow with the given key, or nil.
func (w *world) openFlow(key packet.FlowKey) *flow {
	c := w.callerAt(key.Caller.Addr())
	if c == nil {
		return nil
	}
	f := c.flows[key.Caller.Port()]
	if f == nil || f.key != key || !f.open || f.holder == nil {
		return nil
	}
	return f
}

// counts reports whether a failure of an open flow is attributed to a daemon: neither the daemon nor the links had a
// recent fault, and the flow still has a route. A failure near a fault is counted as excused.
func (w *world) counts(now time.Time, f *flow, e *entry) bool {
	sound := !now.Before(e.troubledUntil) && !now.Before(w.troubledUntil)
	if !sound {
		w.excused++
	}
	return sound && slices.ContainsFunc(w.config.Routes, func(r Route) bool { return r.Address == f.key.Service })
}

// resetNote returns a note for a daemon's reset that lies outside resetWindow, which callers may ignore.
func (f *flow) resetNote() string {
	if max(f.resetAhead, -f.resetAhead) > resetWindow {
		return "; its sequence number is outside the window of the flow"
	}
	return ""
}

// String returns the flow's key and how its handshake went.
func (f *flow) String() string {
	s := fmt.Sprintf("%v > %v", f.key.Caller, f.key.Service)
	if f.copies > 0 {
		s += fmt.Sprintf(" (%d duplicate SYNs)", f.copies)
	}
	if f.lastTag {
		s += " (caller returns the last tag received)"
	}
	if tf := f.holder.flows[f.key]; tf == nil || !tf.open {
		s += " (not open at its target)"
	}
	return s
}

// checkHistory checks the requests that targets executed against the outcomes that callers observed.
func (w *world) checkHistory() {
	for _, v := range history.Check(w.history) {
		w.broken("requests", "%v", v)
	}
}

// checkOwnPacket checks that a daemon's own packets to a caller are resets without other flags or data. A FIN or data
// from a daemon could make a truncated response look complete.
func (w *world) checkOwnPacket(from netip.AddrPort, p Packet) {
	if e := w.entryAt(from); e != nil && (p.Flags != packet.RST || len(p.Data) > 0) {
		w.broken("answers", "%s sent a packet of its own with flags %d and %d bytes of data to %v", e.name, p.Flags, len(p.Data), p.Dst)
	}
}
