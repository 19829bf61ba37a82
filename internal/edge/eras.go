package edge

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
)

// This file describes items for the holds after a return of the platform from an older copy, and reports such returns.

// describe implements news.Config.Describe.
func (d *Daemon) describe(it news.Item) news.Facts {
	if _, ok := d.interpreter.DrainedZone(it.Key); ok {
		return news.Facts{Kind: news.KindZoneDrain, Usable: true}
	}
	f := news.Facts{}
	if _, ok := d.interpreter.TargetName(it.Key); ok {
		f.Kind = news.KindTarget
	}
	p, err := d.controlLoop.interpret(it)
	switch {
	case err != nil:
		// applyItem logs the error if the item is put in force.
	case p.Plan != nil:
		f.Kind, f.Version, f.Usable = news.KindConfig, p.Plan.Version, true
	case p.Target != nil:
		f.StartedAt, f.Sequence, f.Draining, f.Usable = p.Target.StartedAt, p.Target.Sequence, p.Target.Draining, true
	}
	return f
}

// eraMetrics holds the metrics of the platform's returns from older copies.
type eraMetrics struct {
	returns gometrics.Counter
	holds   map[heldLabels]gometrics.Counter
}

type heldLabels struct {
	kind  news.Kind
	event news.HoldEvent
}

func newEraMetrics(s *metrics.Set) *eraMetrics {
	m := &eraMetrics{holds: make(map[heldLabels]gometrics.Counter)}
	m.returns = s.Counter(metrics.Family{Name: "fireflypin_platform_returns_total", Help: "Returns of the platform from an older copy."})
	family := metrics.Family{Name: "fireflypin_holds_total", Help: "Items held in force after such a return, by kind and event."}
	for _, kind := range []news.Kind{news.KindConfig, news.KindTarget, news.KindZoneDrain} {
		for _, event := range []news.HoldEvent{news.HoldBegan, news.HoldRenewed, news.HoldWrittenAgain, news.HoldExpired} {
			m.holds[heldLabels{kind, event}] = s.Counter(family,
				metrics.Label{Name: "kind", Value: kind.String()}, metrics.Label{Name: "event", Value: event.String()})
		}
	}
	return m
}

// logEra reports a return of the platform.
func (c *controlLoop) logEra(a news.EraBegan) {
	c.d.metrics.eras.returns.Inc(1)
	c.d.log.Warn("platform returned from an older copy", "op", "platform", "event", "returned", "era", a.To, "previous_era", a.From,
		"revision", a.Complete.Revision, "peer", a.Peer)
}

// logHeld reports an event of a hold. Many targets may be held at once.
func (c *controlLoop) logHeld(now time.Time, h *news.Held) {
	if counter := c.d.metrics.eras.holds[heldLabels{h.Kind, h.Event}]; counter != nil {
		counter.Inc(1)
	}
	if h.Kind == news.KindTarget && !c.d.stateLogLimit.allow(now, targetHeld) {
		return
	}
	c.d.log.Info("hold after a return of the platform", "op", "lists", "event", "held", "kind", h.Kind.String(), "change", h.Event.String(),
		"key", h.Key, "in_force", h.Kept.String(), "published", h.Published.String(), "for_ms", h.For.Milliseconds())
}
