package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/model"
)

// newTarget returns a target of the service "booking" in a zone of region "r".
func newTarget(name, zone string, weight uint32) *model.Target {
	return &model.Target{
		ID:             model.TargetIDOf(name),
		Name:           name,
		Service:        "booking",
		Zone:           model.Zone{Region: "r", Name: zone},
		Weight:         weight,
		MaxConnections: 2000,
		Slots:          3,
	}
}

// fourteenTargets returns 14 equal targets in the zones a, b and c.
func fourteenTargets() []*model.Target {
	var targets []*model.Target
	for i := range 14 {
		targets = append(targets, newTarget(fmt.Sprintf("booking-%02d", i), string(rune('a'+i%3)), 1))
	}
	return targets
}

func tableOf(targets []*model.Target, entryZones ...string) (*Table, *ServiceTable) {
	svc := &model.Service{Name: "booking", Targets: targets, Margin: 0.05}
	var entries []*model.EntryVM
	for _, z := range entryZones {
		entries = append(entries, &model.EntryVM{Name: "entry-" + z, Zone: model.Zone{Region: "r", Name: z}})
	}
	s := model.NewSnapshot(model.Revisions{Plans: 3, Machines: 4}, nil, nil, []*model.Service{svc}, entries, nil)
	t := NewTable(s)
	return t, t.Service(svc)
}

func TestNegLog2(t *testing.T) {
	Convey("The fixed-point logarithm is within 1e-6 of math.Log2 and never increases", t, func() {
		r := rand.New(rand.NewPCG(1, 2))
		for range 100000 {
			x := r.Uint64() >> r.IntN(64)
			want := 64 - math.Log2(float64(x))
			got := float64(negLog2(x)) / (1 << logFractionBits)
			if x > 0 && math.Abs(got-want) > 1e-6 {
				t.Fatalf("negLog2(%d) = %g, want %g", x, got, want)
			}
			if x < math.MaxUint64 && negLog2(x+1) > negLog2(x) {
				t.Fatalf("negLog2 increases at %d", x)
			}
		}
		So(negLog2(0), ShouldBeGreaterThanOrEqualTo, negLog2(1))
	})
}

func TestTableOrder(t *testing.T) {
	Convey("With 14 targets in 3 zones and a fourth zone that has only an entry VM", t, func() {
		table, st := tableOf(fourteenTargets(), "d", "a", "b", "c")
		So(table.Generation(), ShouldResemble, model.Generation{Plans: 3, Machines: 4})

		Convey("the order starts with the default and lists the targets zone by zone in the order of ZoneOrder", func() {
			for h := range model.FlowHash(2000) {
				h = model.FlowHash(mix(uint64(h), 77))
				order := st.Order(h, nil)
				zones := st.ZoneOrder(h, nil)
				if len(order) != 14 || order[0] != st.Default(h) || order[0].Zone != zones[0] {
					t.Fatalf("flow %d: default %v, order %v, zones %v", h, st.Default(h), order, zones)
				}
				if len(zones) != 4 || zones[3].Name != "d" {
					t.Fatalf("flow %d: zones %v", h, zones)
				}
				zoneIndex := 0
				for _, target := range order {
					for target.Zone != zones[zoneIndex] {
						zoneIndex++
					}
				}
				if st.Rank(h, order[5].ID) != 5 {
					t.Fatalf("flow %d: rank of order[5] is %d", h, st.Rank(h, order[5].ID))
				}
			}
		})
		Convey("an unknown target has no rank", func() {
			So(st.Rank(1, 1), ShouldEqual, -1)
		})
	})
	Convey("A service without targets has no default", t, func() {
		_, st := tableOf(nil, "a")
		So(st.Default(1), ShouldBeNil)
		So(st.Order(1, nil), ShouldBeEmpty)
		So(st.ZoneOrder(1, nil), ShouldHaveLength, 1)
	})
	Convey("A service that is not in the generation has no table", t, func() {
		table, _ := tableOf(nil)
		So(table.Service(&model.Service{Name: "other"}), ShouldBeNil)
		So(table.Service(nil), ShouldBeNil)
	})
}

func TestSharesFollowWeights(t *testing.T) {
	Convey("Targets and zones get flows in proportion to their weights", t, func() {
		targets := []*model.Target{
			newTarget("t0", "a", 1), newTarget("t1", "a", 2), newTarget("t2", "b", 3), newTarget("t3", "c", 4),
		}
		_, st := tableOf(targets)
		const flows = 200000
		count := make(map[string]int)
		for i := range uint64(flows) {
			count[st.Default(model.FlowHash(mix(i, 5))).Name]++
		}
		for _, target := range targets {
			p := float64(target.Weight) / 10
			deviation := 5 * math.Sqrt(flows*p*(1-p))
			So(float64(count[target.Name]), ShouldAlmostEqual, flows*p, deviation)
		}
	})
}

func drawTargets(r *rapid.T) []*model.Target {
	n := rapid.IntRange(1, 20).Draw(r, "targets")
	var targets []*model.Target
	for i := range n {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "zone")
		weight := rapid.Uint32Range(1, 8).Draw(r, "weight")
		targets = append(targets, newTarget(fmt.Sprintf("t%d", i), zone, weight))
	}
	return targets
}

func TestAddedTargetMovesOnlyItsFlows(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		targets := drawTargets(r)
		added := newTarget("added", rapid.SampledFrom([]string{"a", "e"}).Draw(r, "zone"), rapid.Uint32Range(1, 8).Draw(r, "weight"))
		_, before := tableOf(targets)
		_, after := tableOf(append([]*model.Target{added}, targets...))
		total := uint32(0)
		for _, target := range targets {
			total += target.Weight
		}
		share := float64(added.Weight) / float64(total+added.Weight)
		const flows = 2000
		seed := rapid.Uint64().Draw(r, "seed")
		moved := 0
		for i := range uint64(flows) {
			h := model.FlowHash(mix(i, seed))
			old, now := before.Default(h), after.Default(h)
			if old == now {
				continue
			}
			moved++
			if now != added {
				r.Fatalf("flow %d moved from %s to %s, which is not the added target", h, old.Name, now.Name)
			}
		}
		if limit := flows*share + 6*math.Sqrt(flows*share*(1-share)); float64(moved) > limit {
			r.Fatalf("%d of %d flows moved, but the share of the added target is %.3f", moved, flows, share)
		}
	})
}

func TestDrainingTargetKeepsItsDefaults(t *testing.T) {
	Convey("A target that starts draining moves no default", t, func() {
		_, before := tableOf(fourteenTargets())
		targets := fourteenTargets()
		targets[3].Draining = true
		_, after := tableOf(targets)
		for i := range uint64(5000) {
			h := model.FlowHash(mix(i, 9))
			if before.Default(h).ID != after.Default(h).ID {
				t.Fatalf("default target of flow %d changed", h)
			}
		}
	})
}

func TestMaglev(t *testing.T) {
	Convey("In a Maglev table of weighted targets", t, func() {
		targets := []*model.Target{newTarget("t0", "a", 1), newTarget("t1", "a", 2), newTarget("t2", "b", 1)}
		_, st := tableOf(targets)
		m := NewMaglev(st, 4099)
		count := make(map[string]int)
		for _, slot := range m.slots {
			count[m.targets[slot].Name]++
		}
		Convey("the numbers of slots are proportional to the weights within 2 slots", func() {
			So(count["t0"], ShouldAlmostEqual, 4099.0/4, 2)
			So(count["t1"], ShouldAlmostEqual, 4099.0/2, 2)
		})
		Convey("a service without targets has no default", func() {
			_, empty := tableOf(nil)
			So(NewMaglev(empty, 4099).Default(1), ShouldBeNil)
		})
	})
}

func TestPerPacketPathDoesNotAllocate(t *testing.T) {
	Convey("Default, Order and ZoneOrder do not allocate", t, func() {
		_, st := tableOf(fourteenTargets(), "d")
		orders := make([]*model.Target, 0, 14)
		zones := make([]model.Zone, 0, 4)
		So(testing.AllocsPerRun(100, func() { st.Default(7) }), ShouldEqual, 0)
		So(testing.AllocsPerRun(100, func() { st.Order(7, orders) }), ShouldEqual, 0)
		So(testing.AllocsPerRun(100, func() { st.ZoneOrder(7, zones) }), ShouldEqual, 0)
	})
}

func BenchmarkDefault(b *testing.B) {
	for _, n := range []int{4, 9, 14, 64} {
		for _, weights := range []int{1, 2} {
			b.Run(fmt.Sprintf("targets=%d/weights=%d", n, weights), func(b *testing.B) {
				var targets []*model.Target
				for i := range n {
					targets = append(targets, newTarget(fmt.Sprintf("t%d", i), string(rune('a'+i%3)), 1+uint32(i%weights)))
				}
				_, st := tableOf(targets)
				b.ReportAllocs()
				h := uint64(0)
				for b.Loop() {
					h += 0x9e3779b97f4a7c15
					st.Default(model.FlowHash(h))
				}
			})
		}
	}
}

func BenchmarkZoneOrder(b *testing.B) {
	_, st := tableOf(fourteenTargets(), "d")
	buf := make([]model.Zone, 0, 4)
	b.ReportAllocs()
	h := uint64(0)
	for b.Loop() {
		h += 0x9e3779b97f4a7c15
		st.ZoneOrder(model.FlowHash(h), buf)
	}
}

func BenchmarkMaglev(b *testing.B) {
	_, st := tableOf(fourteenTargets())
	m := NewMaglev(st, MaglevSlots)
	b.ReportAllocs()
	h := uint64(0)
	for b.Loop() {
		h += 0x9e3779b97f4a7c15
		m.Default(model.FlowHash(h))
	}
}

func TestDefaultIsFirstInOrder(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		_, st := tableOf(drawTargets(r))
		seed := rapid.Uint64().Draw(r, "seed")
		for i := range uint64(300) {
			h := model.FlowHash(mix(i, seed))
			if st.Default(h) != st.Order(h, nil)[0] {
				r.Fatalf("flow %d: Default and Order differ", h)
			}
		}
	})
}
