package edge

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/warmup"
	"github.com/fireflypin/fireflypin/model"
)

func newWarmupGate(s *settings.Settings, m *metrics.Set) *warmup.Gate {
	g := warmup.NewGate(warmup.Config{Self: s.Peer, Zone: s.Zone, Overage: s.Warmup.Overage, Slack: s.Warmup.Slack})
	read := func(c warmup.Cause) func() float64 { return func() float64 { return float64(g.Count(c)) } }
	m.CounterFunc(metrics.Family{Name: "fireflypin_warming_offers_total", Help: "First packets sent to targets that warm up with a published rate."},
		read(warmup.Allowed))
	denied := metrics.Family{Name: "fireflypin_warming_denied_total", Help: "Targets that a new flow passed over since they warm up, by cause."}
	for _, c := range warmup.Causes() {
		if c != warmup.Allowed {
			m.CounterFunc(denied, read(c), metrics.Label{Name: "cause", Value: c.String()})
		}
	}
	return g
}

// updateWarmup passes the known daemons to the gate of targets that warm up, and logs the targets that this daemon begins
// or ceases to use.
func (c *controlLoop) updateWarmup(now time.Time) {
	if !c.limitsWarmup() && len(c.used) == 0 {
		return
	}
	c.d.warmup.SetPeers(now, lo.Map(c.news.Peers(now), func(p news.Peer, _ int) warmup.Peer {
		return warmup.Peer{Addr: p.Addr, Zone: p.Zone, Heard: p.Heard, Live: p.Live, Leaving: p.Leaving, Known: c.zoneSizes[p.Addr]}
	}))
	used := c.usedTargets(now)
	for name := range used {
		if !c.used[name] {
			c.logUse(now, name, "begun")
		}
	}
	for name := range c.used {
		if !used[name] {
			c.logUse(now, name, "ended")
		}
	}
	c.used = used
}

// limitsWarmup reports whether a service has a published rate for targets that warm up.
func (c *controlLoop) limitsWarmup() bool {
	plan := c.directory.Plan()
	return plan != nil && lo.SomeBy(plan.Services, func(s directory.ServiceSpec) bool { return s.WarmupRate > 0 })
}

// warmupReports returns what the other daemons of the zone are told for their gates.
func (c *controlLoop) warmupReports() []news.Report {
	if !c.limitsWarmup() {
		return nil
	}
	return []news.Report{{Kind: news.ReportZone, Data: binary.AppendUvarint(nil, uint64(c.d.warmup.Known()))}}
}

// handleReports takes what other daemons added to their heartbeats. Reports of other kinds come from daemons of another
// release.
func (c *controlLoop) handleReports(a news.ReportsReceived) {
	for _, r := range a.Reports {
		if r.Kind == news.ReportZone {
			c.recordZoneSize(a.From, r)
		}
	}
}

// recordZoneSize records how many daemons another one knows in its zone. Data that cannot be read counts as not told.
func (c *controlLoop) recordZoneSize(from news.Member, r news.Report) {
	if c.zoneSizes == nil || len(c.zoneSizes) > maxZoneSizes {
		c.zoneSizes = make(map[netip.AddrPort]int)
	}
	size, _ := binary.Uvarint(r.Data) // 0 if it cannot be read
	c.zoneSizes[from.Addr] = int(min(size, maxZoneSize))
}

const (
	// maxZoneSizes bounds the recorded numbers; daemons tell theirs again with each heartbeat.
	maxZoneSizes = 4096
	// maxZoneSize bounds a number that another daemon tells.
	maxZoneSize = 1 << 20
)

// usedTargets returns the names of the targets that this daemon uses, nil if there are none.
func (c *controlLoop) usedTargets(now time.Time) map[string]bool {
	s := c.d.engine.Lists()
	if s == nil {
		return nil
	}
	var used map[string]bool
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			if !c.uses(now, t) {
				continue
			}
			if used == nil {
				used = make(map[string]bool)
			}
			used[t.Name] = true
		}
	}
	return used
}

func (c *controlLoop) uses(now time.Time, t *model.Target) bool {
	return !t.Draining && !t.ZoneDraining && c.d.warmup.Uses(now, t)
}

func (c *controlLoop) logUse(now time.Time, target, event string) {
	if c.d.stateLogLimit.allow(now, targetUse) {
		c.d.log.Info("use of a target that warms up", "op", "warmup", "event", event, "target", target)
	}
}
