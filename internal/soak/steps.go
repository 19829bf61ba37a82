package soak

import (
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// execute executes a step and schedules its end. A step is skipped if its subject is not in a suitable state.
func (h *harness) execute(s Step) {
	now := time.Now()
	e := h.entries[s.Subject%len(h.entries)]
	switch s.Kind {
	case Kill:
		h.kill(now, e, s.For)
	case KillAll:
		for _, e := range h.entries {
			h.kill(now, e, s.For)
		}
	case Restart:
		stopRequestedAt, startCount := now, e.starts
		if e.stop(syscall.SIGTERM, e.start) {
			h.after(drainTimeout+stopGrace, func() {
				if startCount == e.starts { // otherwise a later process is stopping
					h.checkStop(e, stopRequestedAt)
				}
			})
		}
	case Pause, Stall:
		h.pause(now, e, s.For)
	case StoreSlow, StoreReset, StoreUnresponsive, StoreResponsesLost:
		h.disturbStore(now, e, proxyModes[s.Kind], s.For)
	case StoreDown:
		for _, e := range h.entries {
			h.disturbStore(now, e, proxyReset, s.For)
		}
	case StoreReturn:
		h.returnStore(now, s.For)
	case StoreCompact:
		h.store.compact()
	case ZoneCut, OneWayCut, Loss, SYNLoss:
		h.disturbLinks(now, s)
	case Crash, Unresponsive, Drain:
		h.stopTarget(s)
	case Expire:
		h.expireRegistration(s)
	case ZoneDrain:
		h.drainZone(s)
	case AddRoute:
		h.addRoute()
	case DropRoute:
		h.dropRoute(s.Subject)
	case Hostile:
		h.sendHostileTraffic(e, s.For)
	case LateDuplicates:
		h.links.duplicateFaults++
		h.after(s.For, func() { h.links.duplicateFaults-- })
	case ReloadSettings:
		if err := e.writeSettings(); err != nil {
			h.fail(err)
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

func (h *harness) kill(now time.Time, e *entry, length time.Duration) {
	if e.stop(syscall.SIGKILL, func() { h.after(length, e.start) }) {
		e.recordFault(now.Add(length))
	}
}

func (h *harness) pause(now time.Time, e *entry, length time.Duration) {
	if e.cmd == nil || e.stopping {
		return
	}
	e.recordFault(now.Add(length))
	e.signal(syscall.SIGSTOP)
	h.after(length, func() { e.signal(syscall.SIGCONT) })
}

// checkStop reports a planned stop, begun at the given time, that is not over. A daemon that had a fault since then is
// not checked.
func (h *harness) checkStop(e *entry, stopRequestedAt time.Time) {
	if e.stopping && !stopRequestedAt.Before(e.excusedUntil.Add(-faultGrace)) {
		h.reportViolation("stops", "%s was still running %v after SIGTERM", e.name, drainTimeout+stopGrace)
	}
}

func (h *harness) disturbStore(now time.Time, e *entry, mode proxyMode, length time.Duration) {
	h.lastToken++
	token := h.lastToken
	e.storeProxy.activate(token, mode)
	e.recordFault(now.Add(length))
	h.after(length, func() { e.storeProxy.deactivate(token) })
}

func (h *harness) disturbLinks(now time.Time, s Step) {
	zone := h.zones[s.Subject%len(h.zones)]
	change := func(by int) {
		switch s.Kind {
		case ZoneCut:
			h.links.partitions[zone] += by
		case OneWayCut:
			h.links.oneWayCuts[zone] += by
		case SYNLoss:
			h.links.synLossFaults += by
		default:
			h.links.lossFaults += by
		}
	}
	change(1)
	h.recordLinkFault(now.Add(s.For))
	h.after(s.For, func() {
		change(-1)
		h.recordLinkFault(time.Now())
	})
	if s.Kind == ZoneCut {
		for _, e := range h.entries {
			if e.zone == zone {
				h.disturbStore(now, e, proxyDropAll, s.For)
			}
		}
	}
}

// expireRegistration removes the registrations of a zone's targets. Those that still serve at the end of the step
// register again.
func (h *harness) expireRegistration(s Step) {
	zone := h.zones[s.Subject%len(h.zones)]
	for _, t := range h.targets {
		if t.entry.Zone != zone || t.state != targetServing || t.entry.Draining {
			continue
		}
		t.expireRegistration()
		h.after(min(s.For, maxExpiredTime), func() {
			if t.state == targetServing && !t.entry.Draining {
				t.register(time.Now())
			}
		})
	}
}

// minServing is the number of targets per zone and service that stopTarget leaves running.
const minServing = 2

// stopTarget drains or crashes a target and later starts a new one at its address.
func (h *harness) stopTarget(s Step) {
	var serving []*target
	for _, t := range h.targets {
		if t.state == targetServing && !t.entry.Draining && h.serving(t.entry.Zone, t.entry.Service) > minServing {
			serving = append(serving, t)
		}
	}
	if len(serving) == 0 {
		return
	}
	t := serving[s.Subject%len(serving)]
	service := t.entry.Service
	if s.Subject%2 == 1 && h.serving(t.entry.Zone, service) > minServing {
		service = h.config.Services[(slices.Index(h.config.Services, service)+1)%len(h.config.Services)]
	}
	replaceTarget := func() {
		t.stop()
		h.newTarget(service, t.entry.Zone, t.entry.Address)
	}
	switch s.Kind {
	case Drain:
		t.entry.Draining = true
		t.register(time.Now())
		h.after(drainTime, t.expireRegistration)
		h.after(drainTime+s.For, func() {
			t.stop()
			h.after(addressReuseDelay, replaceTarget)
		})
	default:
		state := targetUnresponsive
		if s.Kind == Crash {
			state = targetRefusing
		}
		t.crash(state)
		h.after(max(registrationTTL, s.For)+addressReuseDelay, replaceTarget)
	}
}

const (
	// drainTime is the time from the start of a target's drain to the end of its registration; the target serves at least
	// that long. addressReuseDelay is the time after which the address of a stopped target may be reused.
	drainTime         = 3 * time.Second
	addressReuseDelay = 2 * time.Second
)

// serving returns the number of targets in a zone that serve a service and are not draining.
func (h *harness) serving(zone, service string) int {
	n := 0
	for _, t := range h.targets {
		if t.state == targetServing && !t.entry.Draining && t.entry.Zone == zone && t.entry.Service == service {
			n++
		}
	}
	return n
}

// maxRoutes bounds the number of routes.
const maxRoutes = 40

func (h *harness) addRoute() {
	if len(h.config.Routes) >= maxRoutes {
		return
	}
	n := byte(len(h.configHistory))
	r := Route{
		Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, n}), 443),
		Service:    h.config.Services[h.rand.IntN(len(h.config.Services))],
		Repeatable: h.rand.IntN(2) == 0,
	}
	if h.rand.IntN(2) == 0 {
		r.Regions = []string{h.regionOf(h.zones[h.rand.IntN(len(h.zones))])}
	}
	h.publish(append(slices.Clone(h.config.Routes), r))
}

// dropRoute removes a route that was added; callers go on to use its address.
func (h *harness) dropRoute(subject int) {
	added := len(h.config.Routes) - permanentRoutes
	if added <= 0 {
		return
	}
	i := permanentRoutes + subject%added
	h.droppedRoutes = append(h.droppedRoutes, h.config.Routes[i])
	h.publish(slices.Delete(slices.Clone(h.config.Routes), i, i+1))
}
