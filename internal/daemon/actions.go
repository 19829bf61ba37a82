package daemon

import (
	"context"
	"time"

	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// perform executes actions returned by the engine.
func (d *Daemon) perform(actions []owners.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case owners.SendPeer:
			d.sender.send(a.To, a.Kind, a.Body)
		case owners.FetchSnapshots:
			d.tasks.Go(func() error { d.fetch(a.From, a.All); return nil })
		case owners.MemberChanged:
			d.limits.memberChanged(d.engine.View(), a)
			d.log.Info("member changed", "op", "members", "event", a.To.String(),
				"member", a.Member.Name, "from", a.From.String(), "incarnation", a.Incarnation)
		case owners.ZoneChanged:
			d.limits.zoneChanged(a)
			d.log.Warn("availability zone changed", "op", "members", "event", "zone",
				"zone", a.Zone.String(), "reachable", a.Reachable)
		case owners.ReadyChanged:
			d.ready.Store(a.Ready)
			d.log.Info("readiness changed", "op", "ready", "event", string(a.Reason), "ready", a.Ready)
		case owners.PeerSection:
			d.handleSection(a)
		case owners.Outdated:
			d.reportOutdated(a.Newest)
		}
	}
}

// sections returns the sections that the daemon's modules add to each heartbeat.
func (d *Daemon) sections() []wire.Section {
	return []wire.Section{
		{ID: wire.SectionLists, Data: d.lists.Digest().AppendTo(nil)},
		d.health.section(),
		d.limits.section(time.Now()),
	}
}

// handleSection dispatches a section of a peer's heartbeat to the module that owns it.
func (d *Daemon) handleSection(a owners.PeerSection) {
	switch a.Section.ID {
	case wire.SectionHealth:
		if kind := d.health.handle(a.From.ID, a.Section.Data); kind != errkind.None {
			d.metrics.errorKinds.Add(kind, 1)
		}
	case wire.SectionLists:
		d.handleListDigest(a)
	case wire.SectionLimits:
		if kind := d.limits.handle(time.Now(), a.From, a.Section.Data); kind != errkind.None {
			d.metrics.errorKinds.Add(kind, 1)
		}
	}
}

func (d *Daemon) handleListDigest(a owners.PeerSection) {
	digest, ok := listsource.DecodeDigest(a.Section.Data)
	if !ok {
		d.metrics.errorKinds.Add(errkind.PeerMalformed, 1)
		return
	}
	d.lists.HandleDigest(a.From.Bulk, digest)
}

func (d *Daemon) reportOutdated(newest uint64) {
	select {
	case d.outdated <- newest:
	default:
	}
}

// fetch requests snapshots of exception logs from a peer and passes them to the engine (see
// Bulk.FetchSnapshots). A failure is only counted because the engine repeats the request.
func (d *Daemon) fetch(from *model.EntryVM, all bool) {
	ctx, cancel := context.WithTimeout(d.tasksCtx, fetchTimeout)
	defer cancel()
	snapshots, err := d.bulk.FetchSnapshots(ctx, from, all)
	if err != nil {
		d.metrics.fetchErrors.Inc(1)
		return
	}
	d.engine.HandleSnapshots(time.Now(), all, snapshots)
}
