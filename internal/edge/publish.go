package edge

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/directory"
	"github.com/fireflypin/fireflypin/internal/news"
)

// changed hands news to the directory.
func (c *control) changed(now time.Time, items []news.Item) {
	for _, it := range items {
		c.changedItem(now, it)
	}
	switch {
	case c.d.engine.Lists() == nil:
		c.adoptAt = now
	case c.adoptAt.IsZero():
		c.adoptAt = now.Add(adoptDelay + time.Duration(c.directory.Len())*adoptPerTarget)
	}
}

func (c *control) changedItem(now time.Time, it news.Item) {
	name, isTarget := c.d.interpreter.TargetName(it.Key)
	if it.Removed && isTarget && len(it.Value) == 0 {
		c.endTarget(now, name, it.Revision)
		return
	}
	p, err := c.interpret(it)
	switch {
	case err != nil:
		c.d.metrics.unusable.Inc(1)
		c.d.log.Warn("a published item cannot be used", "op", "lists", "event", "refused", "key", it.Key, "revision", it.Revision, "err", err)
		if isTarget {
			c.endTarget(now, name, it.Revision)
		}
	case p.Plan != nil && !it.Removed:
		c.setPlan(p.Plan, it.Revision)
	case p.Target != nil:
		c.register(now, it, p.Target)
	}
}

// interpret reads a published item. One whose reading ends in a panic cannot be used.
func (c *control) interpret(it news.Item) (p Published, err error) {
	if fault := c.d.faults.Contain("items", it.Value, func() { p, err = c.d.interpreter.Interpret(it) }); fault != nil {
		return Published{}, fault
	}
	return p, err
}

func (c *control) setPlan(p *directory.Plan, revision uint64) {
	if !c.directory.SetPlan(p) {
		return
	}
	c.d.planVersion.Store(p.Version)
	c.d.log.Info("plan in force", "op", "lists", "event", "adopted", "version", p.Version, "revision", revision,
		"routes", len(p.Routes), "services", len(p.Services))
}

func (c *control) register(now time.Time, it news.Item, r *directory.Registration) {
	c.directory.Register(now, *r)
	event := "registered"
	if it.Removed {
		event = "ended"
		c.directory.End(now, r.Name)
	}
	if c.d.engine.Lists() == nil {
		return // the line on the first lists counts them
	}
	if c.d.stateLines.allow(now, targetChanged) {
		c.d.log.Info("target changed", "op", "targets", "event", event, "target", r.Name, "service", r.Service, "zone", r.Zone,
			"address", r.Address, "leaving", r.Leaving, "warmup_ms", r.Warmup.Milliseconds(), "revision", it.Revision)
	}
}

func (c *control) endTarget(now time.Time, name string, revision uint64) {
	c.directory.End(now, name)
	if c.d.stateLines.allow(now, targetChanged) {
		c.d.log.Info("target changed", "op", "targets", "event", "ended", "target", name, "revision", revision)
	}
}

// adoptRetry is the wait after changes could not be put in force for a fault: as long as a caller is told to wait.
const adoptRetry = time.Second

// adoptContained puts gathered changes in force. After a fault the lists in force stay, and it is tried again later.
func (c *control) adoptContained(now time.Time) {
	if now.Before(c.adoptAgain) {
		return
	}
	if err := c.d.faults.Contain("adopt", nil, func() { c.adopt(now) }); err != nil {
		c.adoptAt, c.adoptAgain = now.Add(adoptRetry), now.Add(adoptRetry)
	}
}

// adopt puts gathered changes in force once they are due, the first ones once everything that is published was read: what other
// daemons tell before is a part of it, and an old answer may name what has ended.
func (c *control) adopt(now time.Time) {
	first := c.d.engine.Lists() == nil
	switch {
	case first && (!c.news.Filled() || c.news.Outdated(now)):
		c.adoptAt = time.Time{}
		c.adoptTargets(now)
		return
	case !first && (c.adoptAt.IsZero() || now.Before(c.adoptAt)):
		return
	}
	c.adoptAt = time.Time{}
	s := c.directory.Snapshot(now)
	if s == nil {
		return
	}
	c.d.engine.Adopt(now, s, admission.NewTable(s))
	if first {
		c.d.log.Info("first lists are in force", "op", "lists", "event", "first", "version", c.d.planVersion.Load(), "targets", c.directory.Len(),
			"revision", c.news.Complete(), "age_ms", c.news.Age(now).Milliseconds())
		c.steers()
		c.d.placeHeld(now)
	}
}

// adoptTargets puts targets in force for open flows, once all of them are known and before the lists are whole.
func (c *control) adoptTargets(now time.Time) {
	if c.steering || !c.news.TargetsKnown() {
		return
	}
	c.d.engine.AdoptTargets(now, c.directory.Targets(now))
	c.d.log.Info("open flows are steered", "op", "lists", "event", "targets", "targets", c.directory.Len())
	c.steers()
}

// steers lets packets through.
func (c *control) steers() {
	if !c.steering {
		c.steering = true
		close(c.d.adopted)
	}
}
