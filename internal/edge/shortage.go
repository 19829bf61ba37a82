// First packets that wait while their service is short.

package edge

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/room"
)

// hold keeps a SYN back as its verdict says, and reports whether it did.
func (f *forwarder) hold(now time.Time, raw []byte, v *tags.Verdict) bool {
	service := v.Route.ServiceOf(f.meta.Key().Hash())
	return f.d.waiting.Hold(room.Waiting{
		Packet:  append([]byte(nil), raw...),
		Arrived: f.wait.since,
		Until:   now.Add(v.MaxWait),
		Service: service.Name,
		Level:   v.Level,
	})
}

// releaseWaiting decides again on the SYNs that wait: they are placed where there is room, or refused once their wait
// is over.
func (f *forwarder) releaseWaiting(now time.Time) {
	if f.d.waiting.Empty() {
		return
	}
	var kept []room.Waiting
	full := make(map[string]bool)
	used := 0
	for _, w := range f.d.waiting.Take() {
		if full[w.Service] && now.Before(w.Until) {
			kept = append(kept, w)
			continue
		}
		if used == len(f.in) {
			f.flush()
			used = 0
		}
		f.in[used].N = copy(f.in[used].Buf, w.Packet)
		_ = f.d.guard.Contain("packets", w.Packet, func() { // logged by Contain
			if !f.release(now, used, w) {
				full[w.Service] = true
				kept = append(kept, w)
			}
		})
		used++
	}
	f.d.waiting.GiveBack(kept)
	f.flush()
}

// release decides on one waiting SYN; false means that it waits on.
func (f *forwarder) release(now time.Time, i int, w room.Waiting) bool {
	raw := f.in[i].Buf[:f.in[i].N]
	tag, kind := f.d.transport.Decode(raw, &f.meta)
	if kind != errkind.None {
		f.d.metrics.errorKinds.Add(kind, 1)
		return true
	}
	f.wait = wait{waitedForRoom, w.Arrived}
	v := f.d.engine.FromWaiting(now, &f.meta)
	if v.MaxWait > 0 {
		if now.Before(w.Until) {
			return false
		}
		v = f.d.engine.GiveUp(now, &f.meta)
	}
	if now.Sub(w.Arrived) >= stallLimit {
		v = tags.Verdict{Op: core.OpDrop, Kind: errkind.PacketOutdated, Cause: tags.CauseWaited}
	}
	f.execute(now, i, raw, tag, &v)
	return true
}

// tickSpeeds compares the targets' speeds and logs those that have become slow or are no longer slow.
func (c *controlLoop) tickSpeeds(now time.Time) {
	for _, change := range c.d.speeds.Tick(now) {
		t := c.d.engine.Target(change.Target)
		switch {
		case t == nil || !c.d.stateLogLimit.allow(now, targetSpeed):
		case change.Slow:
			c.d.log.Info("target is slow", "op", "speed", "event", "slow", "target", t.Name, "service", change.Service, "zone", t.Zone.Name, "slowness", change.Slowness)
		default:
			c.d.log.Info("target is no longer slow", "op", "speed", "event", "slow_ended", "target", t.Name, "service", change.Service, "zone", t.Zone.Name)
		}
	}
}

// tickShortage decides on the SYNs that wait and logs the services that have become short or are no longer short.
func (c *controlLoop) tickShortage(now time.Time) {
	for _, change := range c.d.gate.Tick(now) {
		c.d.logShortage(&change)
	}
	if now.Sub(c.roomMeasuredAt) >= statusInterval {
		c.roomMeasuredAt = now
		c.d.metrics.setRoom(c.d.gate.Services(now))
	}
	if c.d.waiting.Empty() {
		c.d.gate.NoneWaits()
		return
	}
	if c.waitingForwarder == nil {
		c.waitingForwarder = c.d.newForwarder(c.d.data)
	}
	c.waitingForwarder.releaseWaiting(now)
}

// logShortage logs that a service has become short or is no longer short.
func (d *Daemon) logShortage(s *room.Change) {
	if s.Short {
		d.log.Warn("service is short of room", "op", "room", "event", "short", "service", s.Service, "zones", strings.Join(s.Zones, ","),
			"slots", s.Slots, "in_progress", s.InProgress, "rejected", s.Rejected)
		return
	}
	d.log.Info("service has room again", "op", "room", "event", "over", "service", s.Service,
		"slots", s.Slots, "lasted_ms", s.Lasted.Milliseconds(), "refused", s.Refused)
}

// countDaemons tells the gate how many daemons of the zone are live.
func (c *controlLoop) countDaemons(now time.Time) {
	own := c.d.settings.Zone.Name
	c.d.gate.SetDaemons(1 + lo.CountBy(c.news.Members(now), func(m news.Member) bool { return m.Zone == own }))
}
