package membership

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/model"
)

// viewOf returns a View with the given owners.
func viewOf(zones []model.Zone, owners []*model.EntryVM) *View {
	v := &View{Version: 1}
	for _, z := range zones {
		zv := zoneView{zone: z}
		for _, e := range owners {
			if e.Zone == z {
				zv.owners = append(zv.owners, e)
				zv.salts = append(zv.salts, saltOf(e.ID))
			}
		}
		v.zones = append(v.zones, zv)
	}
	return v
}

func zonesOf(entries []*model.EntryVM) []model.Zone {
	var zones []model.Zone
	for _, e := range entries {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return zones
}

// TestOwnerProperties checks that the owner of a flow does not depend on the order of the members, that Owners starts
// with the owner, and that the removal of an owner moves only its own flows, to the next in Owners.
func TestOwnerProperties(t *testing.T) {
	entries := testEntries(3, 8)
	zones := zonesOf(entries)
	proptest.Check(t, func(t *rapid.T) {
		owners := rapid.SliceOfDistinct(rapid.SampledFrom(entries), func(e *model.EntryVM) model.MachineID { return e.ID }).Draw(t, "owners")
		order := rapid.Permutation(zones).Draw(t, "zones")
		h := model.FlowHash(rapid.Uint64().Draw(t, "flow"))
		v := viewOf(zones, owners)
		other := viewOf(zones, rapid.Permutation(owners).Draw(t, "other order"))
		owner := v.Owner(h, order)
		if got := other.Owner(h, order); got != owner {
			t.Fatalf("the same members yield the owners %v and %v", owner, got)
		}
		succession := v.Owners(h, order, nil)
		if len(succession) != len(owners) {
			t.Fatalf("Owners returns %d machines, want %d", len(succession), len(owners))
		}
		if owner == nil {
			return
		}
		if succession[0] != owner {
			t.Fatalf("Owners starts with %v, but the owner is %v", succession[0], owner)
		}
		removed := rapid.SampledFrom(owners).Draw(t, "removed")
		remaining := slices.DeleteFunc(slices.Clone(owners), func(e *model.EntryVM) bool { return e == removed })
		want := owner
		if removed == owner {
			want = nil
			if len(succession) > 1 {
				want = succession[1]
			}
		}
		if got := viewOf(zones, remaining).Owner(h, order); got != want {
			t.Fatalf("without %v the owner is %v, want %v", removed, got, want)
		}
	})
}

func TestOwnersShareFlowsEvenly(t *testing.T) {
	Convey("Each of 8 machines owns 10,000 of 80,000 flows within 4 standard deviations, and each pair of owner and successor has its share within 5 standard deviations", t, func() {
		entries := testEntries(1, 8)
		zones := zonesOf(entries)
		v := viewOf(zones, entries)
		first, second := make(map[model.MachineID]int), make(map[[2]model.MachineID]int)
		var buf []*model.EntryVM
		for i := range 80_000 {
			// Consecutive numbers are the hardest input for the mixing function.
			buf = v.Owners(model.FlowHash(i), zones, buf[:0])
			first[buf[0].ID]++
			second[[2]model.MachineID{buf[0].ID, buf[1].ID}]++
		}
		for _, n := range first {
			So(n, ShouldBeBetween, 10_000-4*94, 10_000+4*94)
		}
		So(len(second), ShouldEqual, 56)
		for _, n := range second {
			So(n, ShouldBeBetween, 1429-5*38, 1429+5*38)
		}
	})
	Convey("Owner does not allocate", t, func() {
		entries := testEntries(8, 75)
		zones := zonesOf(entries)
		v := viewOf(zones, entries)
		So(testing.AllocsPerRun(100, func() { v.Owner(42, zones) }), ShouldEqual, 0)
	})
}
