package soak

import (
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// play executes a step and schedules its end. A step is skipped if its subject is not in a suitable state.
func (w *world) play(s Step) {
	now := time.Now()
	e := w.entries[s.Subject%len(w.entries)]
	switch s.Kind {
	case Kill:
		w.kill(now, e, s.For)
	case KillAll:
		for _, e := range w.entries {
			w.kill(now, e, s.For)
		}
	case Restart:
		began, n := now, e.starts
		if e.stop(syscall.SIGTERM, e.start) {
			w.after(drainTimeout+stopSlack, func() {
				if n == e.starts { // otherwise a later process is stopping
					w.checkStop(e, began)
				}
			})
		}
	case Pause, Stall:
		w.pause(now, e, s.For)
	case StoreSlow, StoreReset, StoreSilent, StoreLost:
		w.spoil(now, e, proxyModes[s.Kind], s.For)
	case StoreDown:
		for _, e := range w.entries {
			w.spoil(now, e, proxyReset, s.For)
		}
	case StoreForgets:
		w.store.forget()
	case ZoneCut, HalfCut, Loss, SYNLoss:
		w.spoilLinks(now, s)
	case Crash, Dark, Drain:
		w.endTarget(s)
	case Lapse:
		w.lapse(s)
	case AddRoute:
		w.addRoute()
	case DropRoute:
		w.dropRoute(s.Subject)
	case Hostile:
		w.hostile(e, s.For)
	case LateCopies:
		w.links.copies++
		w.after(s.For, func() { w.links.copies-- })
	case Settings:
		if err := e.settings(); err != nil {
			w.fail(err)
		}
		e.signal(syscall.SIGHUP)
	}
}

// proxyModes maps the steps that disturb one daemon's connection to the store to proxy modes.
var proxyModes = map[Kind]proxyMode{StoreSlow: proxySlow, StoreReset: proxyReset, StoreSilent: proxySilent, StoreLost: proxyLost}

// troubled records a fault of a daemon that lasts until the given time; the grace time settle is added to it.
func (e *entry) troubled(until time.Time) {
	if until = until.Add(settle); until.After(e.troubledUntil) {
		e.troubledUntil = until
	}
}

func (w *world) kill(now time.Time, e *entry, length time.Duration) {
	if e.stop(syscall.SIGKILL, func() { w.after(length, e.start) }) {
		e.troubled(now.Add(length))
	}
}

func (w *world) pause(now time.Time, e *entry, length time.Duration) {
	if e.cmd == nil || e.leaving {
		return
	}
	e.troubled(now.Add(length))
	e.signal(syscall.SIGSTOP)
	w.after(length, func() { e.signal(syscall.SIGCONT) })
}

// checkStop reports a planned stop, begun at the given time, that is not over. A daemon that had a fault since then is
// not checked.
func (w *world) checkStop(e *entry, began time.Time) {
	if e.leaving && !began.Before(e.troubledUntil.Add(-settle)) {
		w.broken("stops", "%s was still running %v after SIGTERM", e.name, drainTimeout+stopSlack)
	}
}

func (w *world) spoil(now time.Time, e *entry, mode proxyMode, length time.Duration) {
	w.tokens++
	token := w.tokens
	e.store.begin(token, mode)
	e.troubled(now.Add(length))
	w.after(length, func() { e.store.end(token) })
}

func (w *world) spoilLinks(now time.Time, s Step) {
	zone := w.zones[s.Subject%len(w.zones)]
	change := func(by int) {
		switch s.Kind {
		case ZoneCut:
			w.links.cut[zone] += by
		case HalfCut:
			w.links.half[zone] += by
		case SYNLoss:
			w.links.synLossy += by
		default:
			w.links.lossy += by
		}
	}
	change(1)
	w.trouble(now.Add(s.For))
	w.after(s.For, func() {
		change(-1)
		w.trouble(time.Now())
	})
	if s.Kind == ZoneCut {
		for _, e := range w.entries {
			if e.zone == zone {
				w.spoil(now, e, proxySilent, s.For)
			}
		}
	}
}

// lapse removes the registrations of a zone's targets. Those that still serve at the end of the step register again.
func (w *world) lapse(s Step) {
	zone := w.zones[s.Subject%len(w.zones)]
	for _, t := range w.targets {
		if t.entry.Zone != zone || t.state != targetServes || t.entry.Leaving {
			continue
		}
		t.lapse()
		w.after(min(s.For, lapseMost), func() {
			if t.state == targetServes && !t.entry.Leaving {
				t.register(time.Now())
			}
		})
	}
}

// leastServing is the number of targets per zone and service that endTarget leaves running.
const leastServing = 2

// endTarget drains or crashes a target and later starts a new one at its address.
func (w *world) endTarget(s Step) {
	var serving []*target
	for _, t := range w.targets {
		if t.state == targetServes && !t.entry.Leaving && w.serving(t.entry.Zone, t.entry.Service) > leastServing {
			serving = append(serving, t)
		}
	}
	if len(serving) == 0 {
		return
	}
	t := serving[s.Subject%len(serving)]
	service := t.entry.Service
	if s.Subject%2 == 1 && w.serving(t.entry.Zone, service) > leastServing {
		service = w.config.Services[(slices.Index(w.config.Services, service)+1)%len(w.config.Services)]
	}
	again := func() {
		t.leave()
		w.newTarget(service, t.entry.Zone, t.entry.Address)
	}
	switch s.Kind {
	case Drain:
		t.entry.Leaving = true
		t.register(time.Now())
		w.after(drainFor, t.lapse)
		w.after(drainFor+s.For, func() {
			t.leave()
			w.after(reuseAfter, again)
		})
	default:
		state := targetDark
		if s.Kind == Crash {
			state = targetRefuses
		}
		t.crash(state)
		w.after(max(expireAfter, s.For)+reuseAfter, again)
	}
}

const (
	// drainFor is the time from the start of a target's drain to the end of its registration, reuseAfter the time after
	// which its address may be reused.
	drainFor   = 3 * time.Second
	reuseAfter = 2 * time.Second
)

// serving returns the number of targets in a zone that serve a service and are not draining.
func (w *world) serving(zone, service string) int {
	n := 0
	for _, t := range w.targets {
		if t.state == targetServes && !t.entry.Leaving && t.entry.Zone == zone && t.entry.Service == service {
			n++
		}
	}
	return n
}

// maxRoutes bounds the number of routes.
const maxRoutes = 40

func (w *world) addRoute() {
	if len(w.config.Routes) >= maxRoutes {
		return
	}
	n := byte(len(w.configs))
	r := Route{
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, n}), 443),
		Service:    w.config.Services[w.rand.IntN(len(w.config.Services))],
		Repeatable: w.rand.IntN(2) == 0,
	}
	w.publish(append(slices.Clone(w.config.Routes), r))
}

// dropRoute removes a route that was added; callers go on to use its address.
func (w *world) dropRoute(subject int) {
	added := len(w.config.Routes) - firstRoutes
	if added <= 0 {
		return
	}
	i := firstRoutes + subject%added
	w.dropped = append(w.dropped, w.config.Routes[i])
	w.publish(slices.Delete(slices.Clone(w.config.Routes), i, i+1))
}
