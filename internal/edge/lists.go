package edge

import (
	"errors"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/news"
)

// applyItems passes changed items to the directory and schedules the application of the result.
func (c *controlLoop) applyItems(now time.Time, items []news.Item) {
	for _, it := range items {
		c.applyItem(now, it)
	}
	switch {
	case c.d.engine.Lists() == nil:
		c.applyAt = now
	case c.applyAt.IsZero():
		c.applyAt = now.Add(applyDelay + time.Duration(c.directory.Len())*applyDelayPerTarget)
	}
}

func (c *controlLoop) applyItem(now time.Time, it news.Item) {
	if zone, ok := c.d.interpreter.DrainedZone(it.Key); ok {
		c.setZoneDraining(zone, it)
		return
	}
	name, isTarget := c.d.interpreter.TargetName(it.Key)
	if it.Removed && isTarget && len(it.Value) == 0 {
		c.endRegistration(now, name, it.Position())
		return
	}
	p, err := c.interpret(it)
	switch {
	case err != nil:
		c.reportUnusable(now, it, err)
		if isTarget {
			c.endRegistration(now, name, it.Position())
		}
	case p.Plan != nil && !it.Removed:
		c.setPlan(p.Plan, it.Position())
	case p.Target != nil:
		c.register(now, it, p.Target)
	}
}

// maxLoggedKeyBytes bounds the part of an item's key that is logged.
const maxLoggedKeyBytes = 200

// reportUnusable counts and logs an item that cannot be used. Another writer may write such items all the time.
func (c *controlLoop) reportUnusable(now time.Time, it news.Item, err error) {
	kind := errkind.DocumentInvalid
	var unusable *UnusableItem
	if errors.As(err, &unusable) {
		kind = unusable.Kind
	}
	c.d.metrics.unusable.Inc(1)
	c.d.metrics.errorKinds.Add(kind, 1)
	if !c.d.stateLogLimit.allow(now, itemUnusable) {
		return
	}
	c.d.log.Warn("published item is unusable", "op", "lists", "event", "refused", "key", it.Key[:min(len(it.Key), maxLoggedKeyBytes)],
		"kind", errkind.RowOf(kind).Name, "bytes", len(it.Value), "revision", it.Position(), "err", err)
}

// interpret parses a published item. An item whose parsing panics is unusable.
func (c *controlLoop) interpret(it news.Item) (p ParsedItem, err error) {
	if fault := c.d.guard.Contain("items", it.Value, func() { p, err = c.d.interpreter.Interpret(it) }); fault != nil {
		return ParsedItem{}, fault
	}
	return p, err
}

func (c *controlLoop) setPlan(p *directory.Plan, at news.Position) {
	if !c.directory.SetPlan(p) {
		return
	}
	c.d.planVersion.Store(p.Version)
	c.d.log.Info("plan applied", "op", "lists", "event", "adopted", "version", p.Version, "revision", at,
		"routes", len(p.Routes), "services", len(p.Services))
}

func (c *controlLoop) register(now time.Time, it news.Item, r *directory.Registration) {
	c.directory.Register(now, *r)
	event := "registered"
	if it.Removed {
		event = "ended"
		c.directory.EndRegistration(now, r.Name)
	}
	if c.d.engine.Lists() == nil {
		return // included in the target count that is logged with the first lists
	}
	if c.d.stateLogLimit.allow(now, targetChanged) {
		c.d.log.Info("target changed", "op", "targets", "event", event, "target", r.Name, "service", r.Service, "zone", r.Zone,
			"address", r.Address, "leaving", r.Draining, "warmup_ms", r.Warmup.Milliseconds(), "revision", it.Position())
	}
}

func (c *controlLoop) endRegistration(now time.Time, name string, at news.Position) {
	c.directory.EndRegistration(now, name)
	if c.d.stateLogLimit.allow(now, targetChanged) {
		c.d.log.Info("target changed", "op", "targets", "event", "ended", "target", name, "revision", at)
	}
}

// applyRetryDelay is the wait after a panic while changes were applied: as long as refused callers are told to
// wait before they retry.
const applyRetryDelay = time.Second

// applyListsContained applies collected changes. After a panic the lists in use stay, and it tries again after
// applyRetryDelay.
func (c *controlLoop) applyListsContained(now time.Time) {
	if now.Before(c.retryAt) {
		return
	}
	if err := c.d.guard.Contain("adopt", nil, func() { c.applyLists(now) }); err != nil {
		c.applyAt, c.retryAt = now.Add(applyRetryDelay), now.Add(applyRetryDelay)
	}
}

// applyLists applies collected changes once they are due. The first lists are applied only once everything published
// has been read and is up to date: changes reported by other daemons before are only a part of it, and an outdated
// response may name targets that are no longer registered.
func (c *controlLoop) applyLists(now time.Time) {
	first := c.d.engine.Lists() == nil
	switch {
	case first && (!c.news.Synced() || c.news.Outdated(now)):
		c.applyAt = time.Time{}
		c.applyTargets(now)
		return
	case !first && (c.applyAt.IsZero() || now.Before(c.applyAt)):
		return
	}
	c.applyAt = time.Time{}
	s := c.directory.Snapshot(now)
	if s == nil {
		return
	}
	c.d.gate.ApplyLists(s)
	c.d.speeds.SetLists(s)
	c.d.engine.ApplyLists(now, s, admission.NewTable(s))
	c.reportDrains(now, s.DrainingZones)
	if first {
		c.d.log.Info("first lists applied", "op", "lists", "event", "first", "version", c.d.planVersion.Load(), "targets", c.directory.Len(),
			"revision", c.news.Complete().Revision, "era", c.news.Complete().Era, "age_ms", c.news.Age(now).Milliseconds())
		c.startForwarding()
		c.d.placeHeldSYNs(now)
	}
}

// applyTargets applies targets alone, for open flows, once all of them are known and before the lists are complete.
func (c *controlLoop) applyTargets(now time.Time) {
	if c.forwarding || !c.news.TargetsKnown() {
		return
	}
	c.d.engine.ApplyTargets(now, c.directory.Targets(now))
	c.d.log.Info("targets applied, forwarding open flows", "op", "lists", "event", "targets", "targets", c.directory.Len())
	c.startForwarding()
}

// startForwarding starts the forwarding of packets.
func (c *controlLoop) startForwarding() {
	if !c.forwarding {
		c.forwarding = true
		close(c.d.targetsApplied)
	}
}
