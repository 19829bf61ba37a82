package edge

import (
	"fmt"
	"time"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/packet"
)

// flowID names a flow in logs: its ends and the number that its first packet carries.
func flowID(m *packet.Meta) string {
	return fmt.Sprintf("%v>%v/%08x", m.Src, m.Dst, m.Seq)
}

// notePlaced counts and logs a first packet that was sent to a target.
func (d *Daemon) notePlaced(now time.Time, m *packet.Meta, v *core.TagVerdict) {
	open := d.engine.Loads().Open(v.Target.ID)
	switch v.Reason {
	case core.TagPlaced:
		d.metrics.placed.Inc(1)
		d.metrics.placements.With(v.Target.Service).Update(int64(open))
	case core.TagRepeated:
		d.metrics.repeated.Inc(1)
	case core.TagMoved:
		d.metrics.moved.Inc(1)
	}
	if !d.flowLines.AllowN(now, 1) {
		d.flowsUnlogged.Add(1)
		return
	}
	d.log.Info("flow placed", "op", "flow", "event", v.Reason.String(), "flow", flowID(m), "route", v.Route.Name,
		"service", v.Target.Service, "target", v.Target.Name, "zone", v.Target.Zone.Name, "open", open,
		"plan", d.planVersion.Load(), "age_ms", d.newsAge(now).Milliseconds())
}

// noteRefused counts and logs a first packet that was refused.
func (d *Daemon) noteRefused(now time.Time, m *packet.Meta, v *core.TagVerdict) {
	d.metrics.kinds.Add(v.Kind, 1)
	d.metrics.refused.Inc(1)
	if !d.flowLines.AllowN(now, 1) {
		d.flowsUnlogged.Add(1)
		return
	}
	d.log.Info("flow refused", "op", "flow", "event", "refused", "flow", flowID(m), "kind", v.Kind,
		"retry_after_ms", v.RetryAfter.Milliseconds(), "plan", d.planVersion.Load(), "age_ms", d.newsAge(now).Milliseconds())
}

// noteReset counts and logs an open flow that was ended at its caller.
func (d *Daemon) noteReset(f *core.TagReset) {
	d.metrics.kinds.Add(f.Kind, 1)
	d.metrics.reset.Inc(1)
	ev := d.engine.Loads().Evidence(f.Target)
	target := ""
	if t := d.engine.Target(f.Target); t != nil {
		target = t.Name
	}
	d.log.Info("flow reset", "op", "flow", "event", "reset", "flow", fmt.Sprintf("%v>%v", f.Caller, f.Service), "kind", f.Kind,
		"target", target, "misses", ev.MissesInRow, "flows", ev.MissedFlows, "first_miss_ms", time.Since(ev.FirstMiss).Milliseconds())
}
