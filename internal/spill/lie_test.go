package spill

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// absurdDemand is the highest demand that a report can name.
const absurdDemand = math.MaxUint32 * demandUnit

// lie lets a daemon send a report of its own making to all other daemons of the fleet, in addition to its true one.
func (f *fleet) lie(zone, i int, report []byte) {
	for _, boards := range f.boards {
		for _, b := range boards {
			if b == f.boards[zone][i] {
				continue
			}
			if err := b.Receive(f.now, addrOf(zone, i), f.zones[zone].Name, report); err != nil {
				panic(err)
			}
		}
	}
}

// maxUseBesideFalseReport is the highest use of a zone, as a multiple of its slots, while one daemon reports absurd
// demand of another zone. All zones together have room for the demand.
const maxUseBesideFalseReport = 1.25

// TestAbsurdDemandOfAnotherZone guards callers of a busy zone against a daemon elsewhere that reports more than can be
// true.
func TestAbsurdDemandOfAnotherZone(t *testing.T) {
	for _, reporter := range []int{1, 2} {
		Convey(fmt.Sprintf("If a daemon of zone z%d names an absurd demand of zone z1, a busy zone still sends its excess to the others", reporter), t, func() {
			So(fleetBesideFalseReport(reporter).highestUse(), ShouldBeLessThan, maxUseBesideFalseReport)
		})
	}
}

// fleetBesideFalseReport returns a fleet with one busy zone in which a daemon has reported an absurd demand of zone z1.
func fleetBesideFalseReport(reporter int) *fleet {
	f := newFleet(4, 22)
	f.demand[0] = 120
	f.run(4 * time.Second)
	f.lie(reporter, 0, encodeReport(nil, []zoneEntry{{zone: hashOf("z1"), service: hashOf(testService), demand: absurdDemand}}))
	return f
}

// TestAbsurdDemand guards callers against a daemon with a fault that reports more than can be true.
func TestAbsurdDemand(t *testing.T) {
	service := hashOf(testService)
	for _, reporter := range []int{1, 2} {
		Convey(fmt.Sprintf("If a daemon of zone z%d names an absurd demand of zone z1, a zone with slots left keeps its flows", reporter), t, func() {
			So(fleetBesideFalseReport(reporter).shares(3)[3], ShouldAlmostEqual, 1, 1e-9)
		})
	}
	for _, perZone := range []int{4, 22} {
		Convey(fmt.Sprintf("If one of %d daemons of a zone names an absurd demand of its own, its zone keeps most flows and nobody is pushed out", perZone), t, func() {
			f := newFleet(4, perZone)
			f.run(4 * time.Second)
			f.lie(0, 1, encodeReport([]ownEntry{{service: service, demand: absurdDemand, duration: math.MaxUint16 * durationUnit}}, nil))
			So(f.shares(0)[0], ShouldBeGreaterThan, 0.7)
			f.run(newsDelay)
			So(f.highestUse(), ShouldBeLessThan, targetUse)
			So(f.shares(0)[0], ShouldAlmostEqual, 1, 1e-9)
		})
	}
	Convey("If one of two daemons of a zone names an absurd demand of its own, no zone is filled above its share of use", t, func() {
		f := newFleet(4, 2)
		f.run(4 * time.Second)
		f.lie(0, 1, encodeReport([]ownEntry{{service: service, demand: absurdDemand}}, nil))
		So(f.highestUse(), ShouldBeLessThan, targetUse)
	})
}

// TestCallersOnFewDaemons guards the true demand of daemons with far more callers than the others.
func TestCallersOnFewDaemons(t *testing.T) {
	Convey("The demand of a daemon counts in full if it is a few times that of the others, or if most have no callers", t, func() {
		now := time.Unix(1_700_000_000, 0)
		for _, others := range []float64{0, 1} {
			b := NewBoard("z0")
			b.SetOwn(now, []Sample{{Service: testService, Rate: others / durationOfRequest.Seconds(), Duration: durationOfRequest}})
			for i := range 4 {
				demand := others
				if i == 0 {
					demand = 7
				}
				report := encodeReport([]ownEntry{{service: hashOf(testService), demand: demand, duration: durationOfRequest}}, nil)
				So(b.Receive(now, addrOf(0, i+1), "z0", report), ShouldBeNil)
			}
			So(b.ownZoneDemand(hashOf(testService)), ShouldAlmostEqual, 7+4*others, 0.01)
		}
	})
}

// TestTrueDemandAboveBound guards the callers of a zone in a true burst against the bound on what a zone can claim.
func TestTrueDemandAboveBound(t *testing.T) {
	for _, c := range []struct{ perSlot, excess float64 }{{2, 0.01}, {2.9, 0.01}, {5, 0.15}} {
		Convey(fmt.Sprintf("With a true demand of %v per slot no zone is filled more than %v above the common level", c.perSlot, c.excess), t, func() {
			f := newFleet(4, 22)
			f.demand[0] = c.perSlot * zoneSlots
			f.run(4 * time.Second)
			total := 0.0
			for _, d := range f.demand {
				total += d
			}
			level := max(targetUse, total/(4*zoneSlots))
			So(f.highestUse(), ShouldBeLessThan, level*(1+c.excess))
		})
	}
}

// TestUnknownZones guards the news of zones against a daemon that names zones or services that no lists have.
func TestUnknownZones(t *testing.T) {
	Convey("Zones and services that the lists do not have are not kept or told to others", t, func() {
		f := newFleet(4, 4)
		f.demand[0] = 120
		f.run(4 * time.Second)
		for n := range 40 {
			var made []zoneEntry
			for i := range 17 {
				made = append(made, zoneEntry{zone: uint32(n), service: uint32(i), demand: absurdDemand},
					zoneEntry{zone: hashOf("z1"), service: uint32(i), demand: absurdDemand})
			}
			f.lie(2, 0, encodeReport(nil, made))
		}
		So(f.boards[0][0].zones, ShouldHaveLength, 3)
		f.run(zoneMaxAge)
		So(f.highestUse(), ShouldBeLessThan, 0.85)
	})
	Convey("A zone whose targets are gone is forgotten, and is heard of again once it has some", t, func() {
		f := newFleet(3, 4)
		f.run(4 * time.Second)
		b := f.boards[0][0]
		b.SetServices(map[string][]model.Zone{testService: f.zones[:2]})
		So(b.zones, ShouldHaveLength, 1)
		f.run(slowInterval)
		So(b.zones, ShouldHaveLength, 1)
		b.SetServices(map[string][]model.Zone{testService: f.zones})
		f.run(slowInterval)
		So(b.zones, ShouldHaveLength, 2)
	})
}

// TestUnderstatedDemand guards the callers of a full zone one of whose relays misses the demand of the others, as after a
// cut within the zone.
func TestUnderstatedDemand(t *testing.T) {
	Convey("While one relay of a full zone names no demand and the other the true one, the zone gets no flows of others", t, func() {
		f := newFleet(3, 22)
		f.demand[0], f.demand[1] = 110, 90
		f.run(4 * time.Second)
		f.silent[f.boards[1][0]] = true
		highest := 0.0
		for n := range 40 {
			if n%3 == 0 {
				report := encodeReport(nil, []zoneEntry{{zone: hashOf("z1"), service: hashOf(testService)}})
				for _, b := range f.boards[0][:fleetRelays] {
					So(b.Receive(f.now, addrOf(1, 0), f.zones[1].Name, report), ShouldBeNil)
				}
			}
			f.run(fleetTick)
			highest = max(highest, f.shares(0)[1])
		}
		So(highest, ShouldBeLessThan, 0.02)
		Convey("and it gets some soon after its demand has fallen", func() {
			f.demand[1] = 10
			f.run(newsDelay)
			So(f.shares(0)[1], ShouldBeGreaterThan, 0.1)
		})
	})
}
