package lists

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

// readDrainingZones reads the zones that operators drain, each by its name or, if several regions have a zone of that
// name, as region/zone.
func (r *machineReader) readDrainingZones(m *yamldoc.Map) {
	known := r.machines.zones()
	items := m.Texts("draining_zones", false)
	for i := range items {
		it := &items[i]
		matches := lo.Filter(known, func(z model.Zone, _ int) bool { return z.Name == it.Text || z.String() == it.Text })
		switch {
		case len(matches) == 0:
			it.AddFinding("no machine is in a zone %q", it.Text)
		case len(matches) > 1:
			it.AddFinding("%d regions have a zone %q; write %q", len(matches), it.Text, matches[0].String())
		case slices.Contains(r.machines.drainingZones, matches[0]):
			it.AddFinding("zone %q appears twice", it.Text)
		default:
			r.machines.drainingZones = append(r.machines.drainingZones, matches[0])
		}
	}
	slices.SortFunc(r.machines.drainingZones, func(a, b model.Zone) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Region, b.Region))
	})
}

// zones returns the zones of all machines.
func (m *Machines) zones() []model.Zone {
	zones := lo.Map(m.entries, func(e *model.EntryVM, _ int) model.Zone { return e.Zone })
	for _, e := range m.endpoints {
		zones = append(zones, e.row.vm.Zone)
	}
	return lo.Uniq(zones)
}

// drainingZoneNames returns the names of the zones that operators drain.
func (m *Machines) drainingZoneNames() []string {
	return lo.Map(m.drainingZones, func(z model.Zone, _ int) string { return z.Name })
}

// published returns a target as a Snapshot holds it: a copy of its own if operators drain its zone, since all Snapshots
// of a document share the targets.
func (m *Machines) published(t *model.Target) *model.Target {
	if !slices.Contains(m.drainingZones, t.Zone) {
		return t
	}
	drained := *t
	drained.ZoneDraining = true
	return &drained
}
