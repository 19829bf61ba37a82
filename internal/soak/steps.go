package soak

import (
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// execute executes a step and schedules its end. A step is skipped if its subject is not in a suitable state.
func (w *harness) execute(s Step) {
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
			w.after(drainTimeout+stopGrace, func() {
				if n == e.starts { // otherwise a later process is stopping
					w.checkStop(e, began)
				}
			})
		}
	case Pause, Stall:
		w.pause(now, e, s.For)
	case StoreSlow, StoreReset, StoreUnresponsive, StoreResponsesLost:
		w.disturbStore(now, e, proxyModes[s.Kind], s.For)
	case StoreDown:
		for _, e := range w.entries {
			w.disturbStore(now, e, proxyReset, s.For)
		}
	case StoreCompact:
		w.store.compact()
	case ZoneCut, OneWayCut, Loss, SYNLoss:
		w.disturbLinks(now, s)
	case Crash, Unresponsive, Drain:
		w.stopTarget(s)
	case Expire:
		w.expireRegistration(s)
	case AddRoute:
		w.addRoute()
	case DropRoute:
		w.dropRoute(s.Subject)
	case Hostile:
		w.sendHostileTraffic(e, s.For)
	case LateDuplicates:
		w.links.duplicateFaults++
		w.after(s.For, func() { w.links.duplicateFaults-- })
	case ReloadSettings:
		if err := e.writeSettings(); err != nil {
			w.fail(err)
		}
		e.signal(syscall.SIGHUP)
	}
}

// proxyModes maps the steps that disturb one daemon's connection to the store to proxy modes.
var proxyModes = map[Kind]proxyMode{StoreSlow: proxySlow, StoreReset: proxyReset, StoreUnresponsive: proxyDropAll, StoreResponsesLost: proxyDropResponses}

// recordFault records a fault of a daemon that lasts until the given time; faultGrace is added to it.
func (e *entry) recordFault(until time.Time) {
	if until = until.Add(faultGrace); until.After(e.excusedUntil) {
		e.excusedUntil = until
	}
}

func (w *harness) kill(now time.Time, e *entry, length time.Duration) {
	if e.stop(syscall.SIGKILL, func() { w.after(length, e.start) }) {
		e.recordFault(now.Add(length))
	}
}

func (w *harness) pause(now time.Time, e *entry, length time.Duration) {
	if e.cmd == nil || e.stopping {
		return
	}
	e.recordFault(now.Add(length))
	e.signal(syscall.SIGSTOP)
	w.after(length, func() { e.signal(syscall.SIGCONT) })
}

// checkStop reports a planned stop, begun at the given time, that is not over. A daemon that had a fault since then is
// not checked.
func (w *harness) checkStop(e *entry, began time.Time) {
	if e.stopping && !began.Before(e.excusedUntil.Add(-faultGrace)) {
		w.reportBreak("stops", "%s was still running %v after SIGTERM", e.name, drainTimeout+stopGrace)
	}
}

func (w *harness) disturbStore(now time.Time, e *entry, mode proxyMode, length time.Duration) {
	w.lastToken++
	token := w.lastToken
	e.storeProxy.activate(token, mode)
	e.recordFault(now.Add(length))
	w.after(length, func() { e.storeProxy.deactivate(token) })
}

func (w *harness) disturbLinks(now time.Time, s Step) {
	zone := w.zones[s.Subject%len(w.zones)]
	change := func(by int) {
		switch s.Kind {
		case ZoneCut:
			w.links.partitions[zone] += by
		case OneWayCut:
			w.links.oneWayCuts[zone] += by
		case SYNLoss:
			w.links.synLossFaults += by
		default:
			w.links.lossFaults += by
		}
	}
	change(1)
	w.recordLinkFault(now.Add(s.For))
	w.after(s.For, func() {
		change(-1)
		w.recordLinkFault(time.Now())
	})
	if s.Kind == ZoneCut {
		for _, e := range w.entries {
			if e.zone == zone {
				w.disturbStore(now, e, proxyDropAll, s.For)
			}
		}
	}
}

// expireRegistration removes the registrations of a zone's targets. Those that still serve at the end of the step
// register again.
func (w *harness) expireRegistration(s Step) {
	zone := w.zones[s.Subject%len(w.zones)]
	for _, t := range w.targets {
		if t.entry.Zone != zone || t.state != targetServing || t.entry.Leaving {
			continue
		}
		t.expireRegistration()
		w.after(min(s.For, maxExpiredTime), func() {
			if t.state == targetServing && !t.entry.Leaving {
				t.register(time.Now())
			}
		})
	}
}

// minServing is the number of targets per zone and service that stopTarget leaves running.
const minServing = 2

// stopTarget drains or crashes a target and later starts a new one at its address.
func (w *harness) stopTarget(s Step) {
	var serving []*target
	for _, t := range w.targets {
		if t.state == targetServing && !t.entry.Leaving && w.serving(t.entry.Zone, t.entry.Service) > minServing {
			serving = append(serving, t)
		}
	}
	if len(serving) == 0 {
		return
	}
	t := serving[s.Subject%len(serving)]
	service := t.entry.Service
	if s.Subject%2 == 1 && w.serving(t.entry.Zone, service) > minServing {
		service = w.config.Services[(slices.Index(w.config.Services, service)+1)%len(w.config.Services)]
	}
	replaceTarget := func() {
		t.stop()
		w.newTarget(service, t.entry.Zone, t.entry.Address)
	}
	switch s.Kind {
	case Drain:
		t.entry.Leaving = true
		t.register(time.Now())
		w.after(drainTime, t.expireRegistration)
		w.after(drainTime+s.For, func() {
			t.stop()
			w.after(addressReuseDelay, replaceTarget)
		})
	default:
		state := targetUnresponsive
		if s.Kind == Crash {
			state = targetRefusing
		}
		t.crash(state)
		w.after(max(registrationTTL, s.For)+addressReuseDelay, replaceTarget)
	}
}

const (
	// drainTime is the time from the start of a target's drain to the end of its registration, addressReuseDelay the
	// time after which its address may be reused.
	drainTime         = 3 * time.Second
	addressReuseDelay = 2 * time.Second
)

// serving returns the number of targets in a zone that serve a service and are not draining.
func (w *harness) serving(zone, service string) int {
	n := 0
	for _, t := range w.targets {
		if t.state == targetServing && !t.entry.Leaving && t.entry.Zone == zone && t.entry.Service == service {
			n++
		}
	}
	return n
}

// maxRoutes bounds the number of routes.
const maxRoutes = 40

func (w *harness) addRoute() {
	if len(w.config.Routes) >= maxRoutes {
		return
	}
	n := byte(len(w.configHistory))
	r := Route{
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, n}), 443),
		Service:    w.config.Services[w.rand.IntN(len(w.config.Services))],
		Repeatable: w.rand.IntN(2) == 0,
	}
	w.publish(append(slices.Clone(w.config.Routes), r))
}

// dropRoute removes a route that was added; callers go on to use its address.
func (w *harness) dropRoute(subject int) {
	added := len(w.config.Routes) - permanentRoutes
	if added <= 0 {
		return
	}
	i := permanentRoutes + subject%added
	w.droppedRoutes = append(w.droppedRoutes, w.config.Routes[i])
	w.publish(slices.Delete(slices.Clone(w.config.Routes), i, i+1))
}
