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
		s.setPlatformDown(s.Scenario.Zones, true)
		s.runAfter(ctx, f.For, func() { s.setPlatformDown(s.Scenario.Zones, false) })
		return nil
	case FaultDrainTarget:
		return s.drainTarget(f)
	case FaultTargetReportsIdle, FaultTargetReportsFull, FaultTargetUnresponsive:
		return s.injectTargetFault(ctx, f)
	case FaultTargetDropsFlows:
		return s.dropFlows(f.Name)
	default:
		return fmt.Errorf("apply fault: unknown kind %q", f.Kind)
	}
}

// runAfter calls f once d has passed. It never calls f if d is 0.
func (s *Site) runAfter(ctx context.Context, d time.Duration, f func()) {
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
	s.killed[name] = true
	s.setFabricEntries()
	s.mu.Unlock()
	s.runAfter(ctx, killNotice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.published.unregistered[name] = true
		_ = s.publish(standin.ListMachines)
	})
	return nil
}

func (s *Site) drain(ctx context.Context, name string, fleet Fleet) error {
	if err := s.setMachineDraining(name, true, time.Time{}); err != nil {
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
	if err := s.setMachineDraining(name, false, time.Time{}); err != nil {
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

// setMachineDraining publishes that a machine is draining, with an optional deadline, or that it is live again.
func (s *Site) setMachineDraining(name string, draining bool, deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published.draining[name] = draining
	s.published.drainDeadline[name] = deadline
	return s.publish(standin.ListMachines)
}

func (s *Site) drainTarget(f Fault) error {
	var deadline time.Time
	if f.For > 0 {
		deadline = time.Now().Add(f.For)
	}
	return s.setMachineDraining(f.Name, true, deadline)
}

func (s *Site) pause(ctx context.Context, f Fault) error {
	s.Links.Pause(f.Name)
	s.runAfter(ctx, f.For, func() { s.Links.Resume(f.Name) })
	return nil
}

// partition disconnects a zone from the other zones and from the platform.
func (s *Site) partition(ctx context.Context, f Fault) error {
	s.setPartitioned(f.Name, true)
	s.runAfter(ctx, f.For, func() { s.setPartitioned(f.Name, false) })
	return nil
}

func (s *Site) setPartitioned(zone string, on bool) {
	for _, other := range s.Scenario.Zones {
		if other != zone {
			s.setLinkCut(standin.Place(zone), standin.Place(other), on)
		}
	}
	s.setPlatformDown([]string{zone}, on)
}

func (s *Site) setLinkCut(a, b standin.Place, on bool) {
	s.Links.Cut(a, b, on)
	s.fabricNode.Do(func(time.Time) []standin.Datagram {
		s.fabric.Cut(a, b, on)
		return nil
	})
}

func (s *Site) setPlatformDown(zones []string, down bool) {
	for _, zone := range zones {
		if p := s.platforms[zone]; p != nil {
			p.SetFault(standin.PlatformFault{Down: down})
		}
	}
}

func (s *Site) injectTargetFault(ctx context.Context, f Fault) error {
	faults := map[FaultKind]standin.TargetFault{
		FaultTargetReportsIdle:  standin.FaultReportsIdle,
		FaultTargetReportsFull:  standin.FaultReportsFull,
		FaultTargetUnresponsive: standin.FaultUnresponsive,
	}
	t, err := s.findTarget(f.Name)
	if err != nil {
		return err
	}
	t.setFault(faults[f.Kind])
	s.runAfter(ctx, f.For, func() { t.setFault(standin.FaultNone) })
	return nil
}

// droppedFlowsInterval sets how many of its open flows a target drops: one in droppedFlowsInterval.
const droppedFlowsInterval = 10

func (s *Site) dropFlows(name string) error {
	t, err := s.findTarget(name)
	if err != nil {
		return err
	}
	t.node.Do(func(time.Time) []standin.Datagram {
		for i, k := range t.machine.Flows() {
			if i%droppedFlowsInterval == 0 {
				t.machine.DropFlow(k)
			}
		}
		return nil
	})
	return nil
}

// findTarget returns the running target with the given name.
func (s *Site) findTarget(name string) (*runningTarget, error) {
	for _, t := range s.runningTargets() {
		if t.plan.Name == name {
			return t, nil
		}
	}
	return nil, fmt.Errorf("find target: target %q is not running", name)
}

func (t *runningTarget) setFault(fault standin.TargetFault) {
	t.node.Do(func(time.Time) []standin.Datagram {
		t.machine.SetFault(fault)
		return nil
	})
}
