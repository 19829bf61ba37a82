package soak

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// checkRoute checks that a new flow reaches a service that a configuration in force allows it. Daemons in trouble may
// act on older ones.
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
	w.broken("plan", "%s sent a flow to %v, %v, to %s of %s", e.name, key.Service, key.Caller, t.entry.Name, t.entry.Service)
}

// checkReset checks that nobody but its target resets an open flow while the target lives, nothing is cut, and the
// flow's route stands.
func (w *world) checkReset(now time.Time, f *flow, from netip.AddrPort) {
	h := f.holder
	if h == nil || h.state != targetServes || from == h.entry.Address {
		return
	}
	if e := w.entryAt(from); e != nil {
		if w.counts(now, f, e) {
			w.broken("open flows", "%s reset %v, whose target %s lives%s", e.name, f, h.entry.Name, f.resetNote())
		}
		return
	}
	if e := w.refusedFrom[f.key]; e != nil && w.counts(now, f, e) {
		w.broken("open flows", "%s sent a packet of %v, which is open at %s, to %v, which refused it", e.name, f, h.entry.Name, from)
	}
}

const (
	// misrouteTime and misroutePackets are from when on, and from how many packets on, an open flow whose packets
	// all reach other targets is broken (the users' rule on open flows).
	misrouteTime    = 2 * time.Second
	misroutePackets = 3
)

// checkWay checks that the packets of an open flow do not go to other targets than its own alone.
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
		w.broken("open flows", "%s sent a packet of %v, which is open at %s, to %s; the last %d all went astray", e.name, f, f.holder.entry.Name, t.entry.Name, f.strays)
		f.strays = 0
	}
}

// openFlow returns the flow that is open between two ends, or nil.
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

// counts reports whether what happens to an open flow is held against a daemon: it and the links had no fault lately,
// and the flow has a route.
func (w *world) counts(now time.Time, f *flow, e *entry) bool {
	sound := !now.Before(e.troubledUntil) && !now.Before(w.troubledUntil)
	if !sound {
		w.excused++
	}
	return sound && slices.ContainsFunc(w.config.Routes, func(r Route) bool { return r.Address == f.key.Service })
}

// resetNote tells a daemon's reset that callers may not take for one of this flow.
func (f *flow) resetNote() string {
	if max(f.resetAhead, -f.resetAhead) > resetWindow {
		return "; its number is that of another flow"
	}
	return ""
}

// String names the flow, and how it was opened.
func (f *flow) String() string {
	s := fmt.Sprintf("%v > %v", f.key.Caller, f.key.Service)
	if f.copies > 0 {
		s += fmt.Sprintf(" (%d copies of its SYN)", f.copies)
	}
	if f.lastTag {
		s += " (its caller returns the last tag)"
	}
	if tf := f.holder.flows[f.key]; tf == nil || !tf.open {
		s += " (not open at its target yet, or no longer)"
	}
	return s
}

// checkHistory checks what ran and what callers were told of it.
func (w *world) checkHistory() {
	for _, v := range history.Check(w.history) {
		w.broken("requests", "%v", v)
	}
}

// checkOwnPacket checks what a daemon itself sends to a caller: a bare reset. An end of data or an answer of its own would
// let what its target broke off look complete.
func (w *world) checkOwnPacket(from netip.AddrPort, p Packet) {
	if e := w.entryAt(from); e != nil && (p.Flags != packet.RST || len(p.Data) > 0) {
		w.broken("answers", "%s sent a packet with flags %d and %d bytes for %v", e.name, p.Flags, len(p.Data), p.Dst)
	}
}
