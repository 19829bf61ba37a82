package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

func placementExperiments() []experiment {
	fleetTargets := []int{800, 1600, 3200, 6400}
	serviceTargets := []int{4, 9, 14, 32, 64}
	return []experiment{
		{PlacementMemory, Bytes, fleetTargets, placementMemory},
		{PlacementBuild, Nanoseconds, fleetTargets, placementBuild},
		{DefaultChoice, Nanoseconds, serviceTargets, func(n int) float64 {
			st := serviceTable(n)
			return nanoseconds(func(i int) { st.Default(flowHash(i)) })
		}},
		{PolicyChoice, Nanoseconds, serviceTargets, policyChoice},
	}
}

// targetsOf returns n targets of a service, spread over the four zones of one region.
func targetsOf(service string, n int) []*model.Target {
	var targets []*model.Target
	for i := range n {
		name := fmt.Sprintf("%s-target-%d", service, i)
		targets = append(targets, &model.Target{
			ID: model.TargetIDOf(name), Name: name, Service: service,
			Zone:   model.Zone{Region: "region-0", Name: zoneName(i)},
			Report: netip.AddrPortFrom(address(i), 8080),
			Weight: 1, MaxConnections: 4000, Slots: 3,
		})
	}
	return targets
}

// servicesOf returns services with targetsPerService targets each, for the given total number of targets.
func servicesOf(targets int) []*model.Service {
	var services []*model.Service
	for i := 0; i*targetsPerService < targets; i++ {
		name := fmt.Sprintf("service-%04d", i)
		n := min(targetsPerService, targets-i*targetsPerService)
		services = append(services, &model.Service{Name: name, Margin: placement.DefaultMargin, Targets: targetsOf(name, n)})
	}
	return services
}

func snapshotOf(services []*model.Service) *model.Snapshot {
	return model.NewSnapshot(model.Revisions{}, nil, nil, services, nil, nil)
}

func serviceTable(targets int) *placement.ServiceTable {
	svc := &model.Service{Name: "service", Margin: placement.DefaultMargin, Targets: targetsOf("service", targets)}
	return placement.NewTable(snapshotOf([]*model.Service{svc})).Service(svc)
}

func placementMemory(targets int) float64 {
	s := snapshotOf(servicesOf(targets))
	return heapBytes(func() any { return retained{s, placement.NewTable(s)} })
}

func placementBuild(targets int) float64 {
	s := snapshotOf(servicesOf(targets))
	return nanoseconds(func(int) { placement.NewTable(s) })
}

func policyChoice(targets int) float64 {
	svc := &model.Service{Name: "service", Margin: placement.DefaultMargin, Targets: targetsOf("service", targets)}
	table := placement.NewTable(snapshotOf([]*model.Service{svc}))
	st := table.Service(svc)
	loads := placement.NewLoadTable()
	loads.SetTable(epoch, table)
	for _, t := range svc.Targets {
		loads.SetReport(t.ID, placement.Report{Connections: 1000, At: epoch})
	}
	policy := placement.NewLoadAware(placement.LoadAwareConfig{})
	return nanoseconds(func(i int) { _, _ = policy.Choose(epoch, flowHash(i), st, loads) })
}

func healthExperiments() []experiment {
	targets := []int{800, 1600, 3200, 6400}
	return []experiment{
		{HealthBytes, Bytes, []int{5, 10, 20, 40}, healthBytes},
		{HealthMemory, Bytes, targets, healthMemory},
		{HealthTick, Nanoseconds, targets, func(n int) float64 {
			m := newMonitor(n)
			return nanoseconds(func(int) { m.Tick(epoch.Add(time.Second)) })
		}},
	}
}

// newMonitor returns the health monitor of a daemon that has received results for every target from two
// probers.
func newMonitor(targets int) *health.Monitor {
	services := servicesOf(targets)
	loads := placement.NewLoadTable()
	loads.SetTable(epoch, placement.NewTable(snapshotOf(services)))
	m := health.New(health.Config{ResultLifetime: time.Hour}, 1, loads)
	m.SetTargets(services)
	for _, svc := range services {
		for _, t := range svc.Targets {
			sums := []health.Summary{{Target: t.ID, Probed: true, Reported: true, Connections: 1500, BusySlots: 2}}
			m.HandleSummaries(epoch, 2, sums)
			m.HandleSummaries(epoch, 3, sums)
		}
	}
	return m
}

func healthMemory(targets int) float64 {
	return heapBytes(func() any { return newMonitor(targets) })
}

// healthBytes returns the size in bytes of a health section with the results of all targets that a daemon
// probes.
func healthBytes(probed int) float64 {
	services := servicesOf(probed)
	loads := placement.NewLoadTable()
	loads.SetTable(epoch, placement.NewTable(snapshotOf(services)))
	m := health.New(health.Config{}, 1, loads)
	m.SetTargets(services)
	m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{1} }, 1)
	for _, svc := range services {
		for _, t := range svc.Targets {
			m.HandleProbe(epoch, health.Result{Target: t.ID, OK: true, Report: placement.Report{Connections: 1500, BusySlots: 2}})
		}
	}
	const noLimit = 1 << 20
	return float64(len(m.AppendTo(epoch, nil, noLimit)))
}
