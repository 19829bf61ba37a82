// Metrics of services that may be short of room.

package edge

import (
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/room"
)

var (
	admissionsFamily = metrics.Family{Name: "fireflypin_admissions_total", Help: "New flows by service, importance and what became of them."}
	slotsFamily      = metrics.Family{Name: "fireflypin_room_slots", Help: "Slots of a service's targets that take new flows."}
	windowFamily     = metrics.Family{Name: "fireflypin_room_window", Help: "Requests that this daemon may have in progress while the targets are short; 0 while they are not."}
	inProgressFamily = metrics.Family{Name: "fireflypin_room_in_progress", Help: "Requests that this daemon has in progress."}
)

// setRoom updates the metrics of the services. Services beyond maxServiceSeries have none.
func (m *daemonMetrics) setRoom(services []room.ServiceState) {
	for _, s := range services[:min(len(services), maxServiceSeries)] {
		service := metrics.Label{Name: "service", Value: s.Name}
		for _, n := range s.Counts {
			c := m.set.Counter(admissionsFamily, service, metrics.Label{Name: "level", Value: strconv.Itoa(n.Level)},
				metrics.Label{Name: "outcome", Value: n.Outcome.String()})
			c.Inc(n.Flows - c.Count())
		}
		for _, z := range s.Zones {
			zone := metrics.Label{Name: "zone", Value: z.Zone.Name}
			m.set.Gauge(slotsFamily, service, zone).Update(int64(z.Slots))
			m.set.Gauge(inProgressFamily, service, zone).Update(int64(z.InProgress))
			setWindow(m.set.Gauge(windowFamily, service, zone), &z)
		}
	}
}

// setWindow rounds a window up, as a window below 1 admits some flows.
func setWindow(g gometrics.Gauge, z *room.ZoneState) {
	if !z.Short {
		g.Update(0)
		return
	}
	g.Update(int64(z.Window) + 1)
}
