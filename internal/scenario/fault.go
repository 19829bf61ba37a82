package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflypin/fireflypin/internal/standin"
)

// Fleet controls the daemons that faults act on.
type Fleet interface {
	// Stop stops a daemon gracefully and returns when it has exited.
	Stop(ctx context.Context, name string) error
	// Restart starts a new daemon in place of a stopped one and returns when it is ready.
	Restart(ctx context.Context, name string) error
	// Kill terminates a daemon without a graceful stop.
	Kill(name string)
}

const (
	// drainNotice is the time between announcing that an entry VM is draining and stopping its daemon.
	drainNotice = time.Second
	// killNotice is the time until a killed VM is removed from the platform's published list.
	killNotice = 10 * time.Second
)

// RunFaults applies each fault at its scheduled time until ctx is done. It calls report with the fault
// and its error as soon as the fault has been applied. RunFaults itself returns at once.
func (s *Site) RunFaults(ctx context.Context, faults []Fault, fleet Fleet, report func(Fault, error)) {
	for _, f := range faults {
		go func() {
			if wait(ctx, f.At) {
				report(f, s.apply(ctx, f, fleet))
			}
		}()
	}
}

// wait sleeps for d. It returns false if ctx is done first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Site) apply(ctx context.Context, f Fault, fleet Fleet) error {
	switch f.Kind {
	case FaultKill:
		return s.kill(ctx, f.Name, fleet)
	case FaultDrain:
		return s.drain(ctx, f.Name, fleet)
	case FaultReplace:
		return s.replace(ctx, f.Name, fleet)
	case FaultAddTarget:
		return s.addTarget(f.Name)
	case FaultPause:
		return s.pause(ctx, f)
	case FaultPartition:
		return s.partition(ctx, f)
	case FaultPlatformDown:
		s.setPlatform(s.Scenario.Zones, true)
		s.after(ctx, f.For, func() { s.setPlatform(s.Scenario.Zones, false) })
		return nil
	case FaultLeave:
		return s.leave(f)
	case FaultLieIdle, FaultLieFull, FaultSilent:
		return s.lie(ctx, f)
	case FaultSilentFlows:
		return s.silenceFlows(f.Name)
	default:
		return fmt.Errorf("apply fault: unknown kind %q", f.Kind)
	}
}

// after calls f once d has passed. It never calls f if d is 0.
func (s *Site) after(ctx context.Context, d time.Duration, f func()) {
	if d == 0 {
		return
	}
	go func() {
		if wait(ctx, d) {
			f()
		}
	}()
}

func (s *Site) kill(ctx context.Context, name string, fleet Fleet) error {
	s.Links.Kill(name)
	fleet.Kill(name)
	s.mu.Lock()
	s.dead[name] = true
	s.setFabricEntries()
	s.mu.Unlock()
	s.after(ctx, killNotice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.published.removed[name] = true
		_ = s.publish(standin.ListMachines)
	})
	return nil
}

func (s *Site) drain(ctx context.Context, name string, fleet Fleet) error {
	if err := s.mark(name, true, time.Time{}); err != nil {
		return err
	}
	s.mu.Lock()
	s.setFabricEntries()
	s.mu.Unlock()
	if !wait(ctx, drainNotice) {
		return ctx.Err()
	}
	return fleet.Stop(ctx, name)
}

// replace drains an entry VM and starts a new daemon in its place.
func (s *Site) replace(ctx context.Context, name string, fleet Fleet) error {
	if err := s.drain(ctx, name, fleet); err != nil {
		return err
	}
	if err := s.mark(name, false, time.Time{}); err != nil {
		return err
	}
	if err := fleet.Restart(ctx, name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFabricEntries()
	return nil
}

// addTarget starts an additional target of a service and publishes it.
func (s *Site) addTarget(service string) error {
	svc := s.Scenario.service(service)
	if svc == nil {
		return fmt.Errorf("add target: no service %q", service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.targets {
		if t.plan.Service == service {
			n++
		}
	}
	plan := s.Scenario.targetPlan(svc, n)
	t, err := s.startTarget(plan)
	if err != nil {
		return err
	}
	s.published.targets = append(s.published.targets, t.plan)
	return s.publish(standin.ListMachines)
}

// mark publishes that a machine is draining, with an optional deadline, or that it is live again.
func (s *Site) mark(name string, leaving bool, by time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published.leaving[name] = leaving
	s.published.leaveBy[name] = by
	return s.publish(standin.ListMachines)
}

func (s *Site) leave(f Fault) error {
	var by time.Time
	if f.For > 0 {
		by = time.Now().Add(f.For)
	}
	return s.mark(f.Name, true, by)
}

func (s *Site) pause(ctx context.Context, f Fault) error {
	s.Links.Pause(f.Name)
	s.after(ctx, f.For, func() { s.Links.Resume(f.Name) })
	return nil
}

// partition disconnects a zone from the other zones and from the platform.
func (s *Site) partition(ctx context.Context, f Fault) error {
	s.cut(f.Name, true)
	s.after(ctx, f.For, func() { s.cut(f.Name, false) })
	return nil
}

func (s *Site) cut(zone string, on bool) {
	for _, other := range s.Scenario.Zones {
		if other != zone {
			s.cutPair(standin.Place(zone), standin.Place(other), on)
		}
	}
	s.setPlatform([]string{zone}, on)
}

func (s *Site) cutPair(a, b standin.Place, on bool) {
	s.Links.Cut(a, b, on)
	s.fabNode.Do(func(time.Time) []standin.Datagram {
		s.fabric.Cut(a, b, on)
		return nil
	})
}

func (s *Site) setPlatform(zones []string, down bool) {
	for _, zone := range zones {
		if p := s.platform[zone]; p != nil {
			p.SetFault(standin.PlatformFault{Down: down})
		}
	}
}

func (s *Site) lie(ctx context.Context, f Fault) error {
	kinds := map[FaultKind]standin.Lie{
		FaultLieIdle: standin.LieIdle,
		FaultLieFull: standin.LieFull,
		FaultSilent:  standin.LieSilent,
	}
	t, err := s.target(f.Name)
	if err != nil {
		return err
	}
	t.setLie(kinds[f.Kind])
	s.after(ctx, f.For, func() { t.setLie(standin.LieNone) })
	return nil
}

// silencedShare sets how many of its open flows a target drops: one in silencedShare.
const silencedShare = 10

func (s *Site) silenceFlows(name string) error {
	t, err := s.target(name)
	if err != nil {
		return err
	}
	t.node.Do(func(time.Time) []standin.Datagram {
		for i, k := range t.machine.Flows() {
			if i%silencedShare == 0 {
				t.machine.SilenceFlow(k)
			}
		}
		return nil
	})
	return nil
}

// target returns the running target with the given name.
func (s *Site) target(name string) (*runningTarget, error) {
	for _, t := range s.runningTargets() {
		if t.plan.Name == name {
			return t, nil
		}
	}
	return nil, fmt.Errorf("find target: target %q is not running", name)
}

func (t *runningTarget) setLie(l standin.Lie) {
	t.node.Do(func(time.Time) []standin.Datagram {
		t.machine.SetLie(l)
		return nil
	})
}
