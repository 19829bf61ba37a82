package soak

import (
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
	switch {
	case h == nil || h.state != targetServes || from == h.entry.Address:
		return
	case now.Before(w.troubledUntil):
		return
	case !slices.ContainsFunc(w.config.Routes, func(r Route) bool { return r.Address == f.key.Service }):
		return
	}
	if e := w.entryAt(from); e != nil {
		if !now.Before(e.troubledUntil) {
			w.broken("open flows", "%s reset %v > %v, whose target %s lives", e.name, f.key.Caller, f.key.Service, h.entry.Name)
		}
		return
	}
	if e := w.refusedFrom[f.key]; e != nil && !now.Before(e.troubledUntil) {
		w.broken("open flows", "%s sent a packet of %v > %v, which is open at %s, to %v, which refused it", e.name, f.key.Caller, f.key.Service, h.entry.Name, from)
	}
}

// checkHistory checks what ran and what callers were told of it.
func (w *world) checkHistory() {
	for _, v := range history.Check(w.history) {
		w.broken("requests", "%v", v)
	}
}
