package daemon

import (
	"time"

	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/internal/membership"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// ticksPerHealthEvaluation is the number of engine ticks between two evaluations of the targets.
	ticksPerHealthEvaluation = 10
	// healthSectionBytes is the maximum size of the health section of one heartbeat.
	healthSectionBytes = 64
)

// targetHealth connects the health monitor to the engine. It selects the probing daemons, passes the results
// in peers' heartbeats to the monitor and adds this daemon's results to its own heartbeats.
type targetHealth struct {
	monitor *health.Monitor
	engine  *owners.Engine
	ticks   int
	// viewVersion is the version of the membership view that the probers were selected from.
	viewVersion uint64
}

func newTargetHealth(self model.MachineID, engine *owners.Engine) *targetHealth {
	return &targetHealth{monitor: health.New(health.Config{}, self, engine.Loads()), engine: engine}
}

// applyLists sets the targets of a new set of lists.
func (h *targetHealth) applyLists(s *model.Snapshot) {
	h.monitor.SetTargets(s.Services)
	h.chooseProbers()
}

// tick evaluates the targets once every ticksPerHealthEvaluation calls. Only the ticking goroutine may call it.
func (h *targetHealth) tick(now time.Time) []health.Change {
	h.ticks++
	if h.ticks%ticksPerHealthEvaluation != 0 {
		return nil
	}
	if v := h.engine.View(); v.Version != h.viewVersion {
		h.viewVersion = v.Version
		h.chooseProbers()
	}
	return h.monitor.Tick(now)
}

// chooseProbers sets the monitor's reachable daemons. Targets in a zone without a reachable daemon
// are probed by the daemons of all other zones.
func (h *targetHealth) chooseProbers() {
	members := h.engine.View().Members()
	live := make(map[model.Zone][]model.MachineID)
	var all []model.MachineID
	owners := 0
	for _, m := range members {
		if !m.Reachable {
			continue
		}
		live[m.Entry.Zone] = append(live[m.Entry.Zone], m.Entry.ID)
		all = append(all, m.Entry.ID)
		owners += countOwner(m)
	}
	h.monitor.SetLive(func(z model.Zone) []model.MachineID {
		if len(live[z]) == 0 {
			return all
		}
		return live[z]
	}, owners)
}

func countOwner(m membership.MemberView) int {
	if m.Owner {
		return 1
	}
	return 0
}

// section returns the health section of the next heartbeat.
func (h *targetHealth) section() wire.Section {
	return wire.Section{ID: wire.SectionHealth, Data: h.monitor.AppendTo(time.Now(), nil, healthSectionBytes)}
}

// handle processes the health section of a peer's heartbeat.
func (h *targetHealth) handle(from model.MachineID, data []byte) errkind.Kind {
	summaries, kind := health.DecodeSummaries(nil, data)
	h.monitor.HandleSummaries(time.Now(), from, summaries)
	return kind
}

// probeTargets requests load reports from targets until the tasks end.
func (d *Daemon) probeTargets() error {
	health.NewProber(health.ProberConfig{}, d.health.monitor).Run(d.tasksCtx)
	return nil
}

// logHealth logs the targets that were marked down or up.
func (d *Daemon) logHealth(changes []health.Change) {
	for _, c := range changes {
		d.log.Warn("target health changed", "op", "health", "event", "changed",
			"target", c.Target.Name, "down", c.Down, "reason", c.Reason.String())
	}
}

// TargetHealth is the health of one target in the status report.
type TargetHealth struct {
	Name string `json:"name"`
	// Down is true while new flows avoid the target. Reason says why, or why the health of a target that is
	// up is in doubt.
	Down   bool   `json:"down"`
	Reason string `json:"reason"`
	// Reported is the number of connections in the target's last load report, or -1 without a report.
	Reported int `json:"reported_connections"`
	// Unanswered is the share of recent connection attempts that got no response, from 0 to 1.
	Unanswered float64 `json:"unanswered"`
	// HandshakeMillis is the mean handshake time in milliseconds, or 0 while unknown.
	HandshakeMillis float64 `json:"handshake_ms"`
}

// report returns the health of every target.
func (h *targetHealth) report(now time.Time) []TargetHealth {
	var all []TargetHealth
	for _, s := range h.monitor.Statuses(now) {
		t := TargetHealth{
			Name: s.Target.Name, Down: s.Down, Reason: s.Reason.String(), Reported: -1,
			Unanswered: s.Observed.Unanswered, HandshakeMillis: float64(s.Observed.Handshake) / float64(time.Millisecond),
		}
		if s.Observed.FleetKnown {
			t.Reported = s.Observed.Reported
		}
		all = append(all, t)
	}
	return all
}
