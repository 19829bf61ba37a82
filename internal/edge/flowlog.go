package edge

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flowtag"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

// flowID names a flow in logs: both addresses and the initial sequence number of its SYN, or "-" if another daemon
// received the SYN.
func flowID(caller, service netip.AddrPort, isn uint32) string {
	if isn == 0 {
		return fmt.Sprintf("%v>%v/-", caller, service)
	}
	return fmt.Sprintf("%v>%v/%08x", caller, service, isn)
}

// eventOf returns the log event for the reason of a verdict.
func eventOf(r tags.Reason) logEvent {
	switch r {
	case tags.Repeated:
		return flowRepeated
	case tags.Learned:
		return flowLearned
	}
	return flowPlaced
}

// recordAssignment counts and logs a forwarded packet that did more than continue a known flow, after a wait.
func (d *Daemon) recordAssignment(now time.Time, m *packet.Meta, w wait, v *tags.Verdict) {
	switch v.Reason {
	case tags.Placed:
		d.metrics.placed.Inc(1)
		d.metrics.placements.With(v.Target.Service).Update(int64(d.engine.Loads().Open(v.Target.ID)))
	case tags.Repeated:
		d.metrics.repeated.Inc(1)
	case tags.Learned:
		d.metrics.learned.Inc(1)
	}
	event := eventOf(v.Reason)
	if v.Replaced {
		d.metrics.replaced.Inc(1)
		event = flowReplaced
	}
	if !d.flowLogLimit.allow(now, event) {
		return
	}
	o := d.engine.Loads().Observe(now, v.Target.ID)
	if v.Reason == tags.Learned {
		d.log.Info("flow learned", "op", "flow", "event", event, "flow", flowID(m.Src, m.Dst, 0), "tag", tagText(v.Tag),
			"seq", m.Seq, "ack", m.Ack, "data", m.PayloadLen,
			"service", v.Target.Service, "target", v.Target.Name, "zone", v.Target.Zone.Name, "leaving", v.Target.Draining, "lapsed", v.Target.Expired)
		return
	}
	d.log.Info("flow placed", append([]any{
		"op", "flow", "event", event, "flow", flowID(m.Src, m.Dst, m.Seq), "route", v.Route.Name,
		"service", v.Target.Service, "target", v.Target.Name, "zone", v.Target.Zone.Name, "tag", tagText(v.Tag), "open", o.Open, "slowness", d.speeds.Slowness(v.Target.ID),
		"misses", o.ConsecutiveMisses, "lapsed", v.Target.Expired, "plan", d.planVersion.Load(), "age_ms", d.listsAge(now).Milliseconds(),
	}, synFields(now, m, w)...)...)
}

// synFields returns the fields of a log line that tell whether a SYN is a copy, how old it is, and where it waited.
func synFields(now time.Time, m *packet.Meta, w wait) []any {
	return []any{"copy", m.DuplicateSYN, "first_syn_ms", m.FirstSYNAge.Milliseconds(), "waited_in", w.place, "waited_ms", sinceMillis(now, w.since)}
}

// recordConflict counts and logs a packet whose tag names a different target than its flow's record.
func (d *Daemon) recordConflict(now time.Time, m *packet.Meta, v *tags.Verdict) {
	d.metrics.conflicts.Inc(1)
	if !d.flowLogLimit.allow(now, flowConflict) {
		return
	}
	c := v.Conflict
	d.log.Warn("packet tag and flow record name different targets", "op", "flow", "event", flowConflict, "flow", flowID(m.Src, m.Dst, 0), "tag", tagText(c.Tag),
		"named", d.targetName(c.Named), "recorded", d.targetName(c.Recorded), "sent_to", v.Target.Name, "opening", c.HalfOpen,
		"seq_ahead", c.SeqAhead, "ack_ahead", c.AckAhead, "data", m.PayloadLen, "age_ms", c.Age.Milliseconds())
}

// sinceMillis returns the milliseconds since a time, -1 if that is zero.
func sinceMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge.Milliseconds()
	}
	return now.Sub(at).Milliseconds()
}

// targetName returns the name of a target, empty if the target is unknown.
func (d *Daemon) targetName(id model.TargetID) string {
	if t := d.engine.Target(id); t != nil {
		return t.Name
	}
	return ""
}

func tagText(t flowtag.Tag) string {
	return fmt.Sprintf("%08x", uint32(t))
}

// recordRefused counts and logs a packet that was answered with a reset.
func (d *Daemon) recordRefused(now time.Time, m *packet.Meta, v *tags.Verdict) {
	if v.Target != nil {
		d.recordReset(now, &tags.FlowReset{Caller: m.Src, Service: m.Dst, ISN: v.ISN, Kind: v.Kind, Target: v.Target.ID}, "repeat")
		return
	}
	d.metrics.errorKinds.Add(v.Kind, 1)
	d.metrics.refused.Inc(1)
	if !d.flowLogLimit.allow(now, flowRefused) {
		return
	}
	fields := []any{
		"op", "flow", "event", flowRefused, "flow", flowID(m.Src, m.Dst, m.Seq), "kind", v.Kind,
		"retry_after_ms", v.RetryAfter.Milliseconds(), "plan", d.planVersion.Load(), "age_ms", d.listsAge(now).Milliseconds(),
	}
	if v.Kind == errkind.ServiceShort && v.Route != nil {
		fields = append(fields, "cause", "shortage", "route", v.Route.Name, "priority", v.Route.Priority)
	}
	d.log.Info("flow refused", fields...)
}

// recordDropped counts and logs a packet that was dropped without a reset, after a wait.
func (d *Daemon) recordDropped(now time.Time, m *packet.Meta, tag flowtag.Tag, w wait, v *tags.Verdict) {
	d.metrics.errorKinds.Add(v.Kind, 1)
	if !d.flowLogLimit.allow(now, flowDropped) {
		return
	}
	isn, syn := uint32(0), []any(nil)
	if m.Flags.Has(packet.SYN) {
		isn, syn = m.Seq, append([]any{"cause", v.Cause}, synFields(now, m, w)...)
	}
	d.log.Info("packet dropped", append([]any{
		"op", "flow", "event", flowDropped, "flow", flowID(m.Src, m.Dst, isn), "kind", v.Kind,
		"tag", tagText(tag), "plan", d.planVersion.Load(), "age_ms", d.listsAge(now).Milliseconds(),
	}, syn...)...)
}

// recordReset counts and logs an open flow that was reset at its caller. cause is "repeat" if a retransmission of the
// flow led to the reset, "silent" if the periodic evaluation of unresponsive targets did.
func (d *Daemon) recordReset(now time.Time, f *tags.FlowReset, cause string) {
	d.metrics.reset.Inc(1)
	d.metrics.errorKinds.Add(f.Kind, 1)
	if !d.flowLogLimit.allow(now, flowReset) {
		return
	}
	ev := d.engine.Loads().Evidence(f.Target)
	d.log.Info("flow reset", "op", "flow", "event", flowReset, "flow", flowID(f.Caller, f.Service, f.ISN), "kind", f.Kind, "cause", cause,
		"target", d.targetName(f.Target), "ended", d.engine.RegistrationEnded(f.Target), "probed_since", !ev.ProbedAt.Before(ev.FirstMiss), "strong", ev.StrongMisses,
		"misses", ev.ConsecutiveMisses, "flows", ev.MissedFlows, "first_miss_ms", sinceMillis(now, ev.FirstMiss),
		"connected", ev.Connected, "probe_ms", sinceMillis(now, ev.ProbedAt))
}
