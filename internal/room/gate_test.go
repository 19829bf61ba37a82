package room

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// siteOf returns a site of 88 daemons and 128 slots with a demand relative to the slots.
func siteOf(seed uint64, load float64) siteConfig {
	return siteConfig{seed: seed, zones: 4, perZone: 22, targetsPerZone: 16, slots: 2, queue: 8, kinds: twoKinds(128, load)}
}

// slotTime returns the time of all slots of a site.
func slotTime(s *site, length time.Duration) float64 {
	return float64(len(s.targets)*s.cfg.slots) * float64(length)
}

func (s *site) rejections() int { return s.results[0].rejected + s.results[1].rejected }
func (s *site) refusals() int   { return s.results[0].refused + s.results[1].refused }

func TestRoomForAll(t *testing.T) {
	Convey("While a service has room, no flow waits or is refused", t, func() {
		s := newSite(siteOf(1, 0.6)).run(5 * time.Second)
		So(s.refusals(), ShouldEqual, 0)
		So(s.credit(), ShouldBeGreaterThan, 0.999)
		without := siteOf(1, 0.6)
		without.noGate = true
		So(newSite(without).run(5*time.Second).connections, ShouldEqual, s.connections)
	})
}

func TestImportantFirst(t *testing.T) {
	Convey("When less important requests come in a burst", t, func() {
		cfg := siteOf(2, 0.7)
		cfg.demand = func(at time.Duration, kind int) float64 {
			if kind == 0 && at > time.Second && at < 5*time.Second {
				return 4
			}
			return 1
		}
		s := newSite(cfg).run(6 * time.Second)
		Convey("the important ones are served", func() {
			So(s.results[1].share(), ShouldBeGreaterThan, 0.97)
		})
		Convey("their reserve is not left empty", func() {
			So(float64(s.idle)/slotTime(s, 4*time.Second), ShouldBeLessThan, 0.1)
		})
	})
}

func TestShortageOfImportantRequests(t *testing.T) {
	Convey("When the important requests alone are too many, they are limited as well", t, func() {
		cfg := siteOf(3, 1)
		cfg.demand = func(_ time.Duration, kind int) float64 { return [...]float64{0, 12}[kind] }
		s := newSite(cfg).run(4 * time.Second)
		So(s.results[1].refused, ShouldBeGreaterThan, 0)
		without := cfg
		without.noGate = true
		So(s.rejections(), ShouldBeLessThan, newSite(without).run(4*time.Second).rejections()/2)
	})
}

// TestLoadAcrossLimit bounds the idle slots and the rejected requests together: a gate that shuts too far leaves slots
// idle, one that opens too far leaves the choice to the targets' queues.
func TestLoadAcrossLimit(t *testing.T) {
	shapes := map[string]func(at time.Duration, kind int) float64{
		"square": func(at time.Duration, _ int) float64 {
			if int(at/(2*time.Second))%2 == 0 {
				return 0.6
			}
			return 1.6
		},
		"wave":  func(at time.Duration, _ int) float64 { return 1 + 0.6*math.Sin(at.Seconds()*3) },
		"slow":  func(at time.Duration, _ int) float64 { return 1 + 0.4*math.Sin(at.Seconds()) },
		"above": func(time.Duration, int) float64 { return 1.5 },
	}
	Convey("When the load crosses the limit up and down", t, func() {
		for name, demand := range shapes {
			for seed := range uint64(3) {
				Convey(name+string(rune('0'+seed)), func() {
					cfg := siteOf(seed, 1)
					cfg.demand = demand
					s := newSite(cfg).run(8 * time.Second)
					without := cfg
					without.noGate = true
					plain := newSite(without).run(8 * time.Second)
					So(float64(s.idle)/slotTime(s, 8*time.Second), ShouldBeLessThan, 0.15)
					So(s.rejections(), ShouldBeLessThan, plain.rejections()/2)
					So(s.credit(), ShouldBeGreaterThan, 0.95*plain.credit())
					So(s.results[1].share(), ShouldBeGreaterThan, 0.95)
				})
			}
		}
	})
}

// siteWithRoomAgain runs a site with too much load, or too few targets, until a time, and counts the requests that begin
// a retransmission's time later.
func siteWithRoomAgain(byLoad bool) *site {
	const (
		end            = 3 * time.Second
		retransmission = 200 * time.Millisecond
	)
	if byLoad {
		cfg := siteOf(4, 1)
		cfg.from = end + retransmission
		cfg.demand = func(at time.Duration, _ int) float64 {
			if at < end {
				return 2
			}
			return 0.6
		}
		return newSite(cfg).run(5 * time.Second)
	}
	cfg := siteOf(5, 0.8)
	cfg.from = end + retransmission
	s := newSite(cfg)
	drain := func(draining bool) func() {
		return func() {
			for i, t := range s.targets {
				t.model.Draining = draining && i%2 == 0
			}
			s.apply()
		}
	}
	s.at(time.Second, drain(true))
	s.at(end, func() {
		for _, d := range s.daemons {
			for _, svc := range d.gate.index.Load().services {
				s.refusedBefore += svc.refused
			}
		}
		drain(false)()
	})
	return s.run(5 * time.Second)
}

// TestRoomThatIsBack bounds what requests lose that begin a retransmission's time after there is room again.
func TestRoomThatIsBack(t *testing.T) {
	servedOnTime := func(s *site) {
		for _, r := range s.results {
			So(r.asked, ShouldBeGreaterThan, 100)
			So(float64(r.onTime)/float64(r.asked), ShouldBeGreaterThan, 0.99)
		}
	}
	Convey("When the load falls below the limit", t, func() {
		servedOnTime(siteWithRoomAgain(true))
	})
	Convey("When targets come back", t, func() {
		s := siteWithRoomAgain(false)
		So(s.refusedBefore, ShouldBeGreaterThan, 1000)
		servedOnTime(s)
	})
}

// TestRefusalsOnceRoomIsBack: a daemon that refuses while there is room sends callers away for nothing.
func TestRefusalsOnceRoomIsBack(t *testing.T) {
	const maxRefusals = 10 // of all daemons together, from a retransmission's time after there is room again
	Convey("When the load falls below the limit", t, func() {
		So(siteWithRoomAgain(true).refusals(), ShouldBeLessThan, maxRefusals)
	})
	Convey("When targets come back", t, func() {
		So(siteWithRoomAgain(false).refusals(), ShouldBeLessThan, maxRefusals)
	})
}

func TestFairBetweenCallers(t *testing.T) {
	Convey("When one caller address sends half of the requests, the others are served before its excess", t, func() {
		cfg := siteOf(6, 1.5)
		cfg.hog = 0.5
		s := newSite(cfg).run(5 * time.Second)
		others := (s.results[0].credit - s.hog.credit) / (s.results[0].owed - s.hog.owed)
		So(others, ShouldBeGreaterThan, 1.5*s.hog.share())
	})
}

func TestFailures(t *testing.T) {
	const length = 5 * time.Second
	Convey("Targets that fall silent do not make a service short", t, func() {
		s := newSite(siteOf(7, 0.5))
		s.at(2*time.Second, func() {
			for i, t := range s.targets {
				t.dark = i%3 == 0
			}
		})
		s.run(length)
		So(s.refusals(), ShouldEqual, 0)
	})
	Convey("When half of the daemons are gone, the others serve as much", t, func() {
		all := newSite(siteOf(8, 1.5)).run(length)
		s := newSite(siteOf(8, 1.5))
		s.at(2*time.Second, func() {
			var kept []*siteDaemon
			for i, d := range s.daemons {
				if i%2 == 0 {
					d.gate.SetDaemons(s.cfg.perZone / 2)
					kept = append(kept, d)
				}
			}
			s.daemons, s.cfg.perZone = kept, s.cfg.perZone/2
		})
		s.run(length)
		So(s.credit(), ShouldBeGreaterThan, 0.95*all.credit())
		So(s.results[1].share(), ShouldBeGreaterThan, 0.95)
	})
	Convey("When a zone's targets are gone, its callers compete for those of the others", t, func() {
		s := newSite(siteOf(10, 0.9))
		s.at(time.Second, func() {
			for _, t := range s.targets {
				t.model.ZoneDraining = t.model.Zone == zoneOf(0)
			}
			s.apply()
		})
		s.run(length)
		So(s.results[1].share(), ShouldBeGreaterThan, 0.95)
		So(float64(s.idle)/slotTime(s, length), ShouldBeLessThan, 0.1)
		g := s.daemons[0].gate
		So(g.index.Load().services["service"].zones[zoneOf(0)].slots, ShouldEqual, 0)
	})
	Convey("A request that got no response before its flow ended is not a rejection", t, func() {
		s := newSite(siteOf(7, 0.5)).run(length)
		g, w := s.daemons[0].gate, s.daemons[0].gate.index.Load().services["service"].zones[zoneOf(0)]
		e := tags.FlowEvent{Target: s.targets[0].model.ID, Address: flow.PackAddrPort(siteAddress(0)), Requests: 1}
		before := w.rejected.value(s.time())
		for range 10 {
			g.RequestSent(s.time(), e)
			g.FlowEnded(s.time(), e, tags.FlowEnd{Pending: true})
		}
		So(w.rejected.value(s.time()), ShouldEqual, before)
		So(w.short, ShouldBeFalse)
	})
	Convey("A target that claims a thousand slots does not keep its zone's window open", t, func() {
		cfg := siteOf(11, 2)
		honest := newSite(cfg).run(length)
		s := newSite(cfg)
		s.targets[0].model.Slots = 1000
		s.apply()
		s.run(length)
		So(s.rejections(), ShouldBeLessThan, honest.rejections()*3/2)
	})
}

// overload is a site whose demand is three times the usual one for some time.
type overload struct {
	begin, end time.Duration
}

func (o overload) site(seed uint64, load float64) *site {
	cfg := siteOf(seed, load)
	cfg.demand = func(at time.Duration, _ int) float64 {
		if at > o.begin && at < o.end {
			return 3
		}
		return 1
	}
	return newSite(cfg)
}

// TestLengthOfShortage bounds the length of a shortage: the time of the overload, a retransmission until callers whose
// packets were dropped are back, and the time without a limit that ends it.
func TestLengthOfShortage(t *testing.T) {
	const retransmission = 200 * time.Millisecond
	o := overload{begin: time.Second, end: 3 * time.Second}
	Convey("A shortage is over soon after the overload", t, func() {
		s := o.site(15, 0.7).run(8 * time.Second)
		for _, d := range s.daemons {
			for _, c := range d.changes {
				So(c.Lasted, ShouldBeLessThanOrEqualTo, o.end-o.begin+retransmission+recoveryTime+siteTick)
			}
		}
	})
}

func TestChanges(t *testing.T) {
	Convey("A shortage is reported once when it begins and once when it is over", t, func() {
		s := overload{begin: time.Second, end: 3 * time.Second}.site(15, 0.7).run(6 * time.Second)
		reporting := 0
		for _, d := range s.daemons {
			if len(d.changes) == 0 {
				continue
			}
			reporting++
			So(d.changes, ShouldHaveLength, 2)
			So(d.changes[0].Short, ShouldBeTrue)
			So(d.changes[0].Zones, ShouldNotBeEmpty)
			last := d.changes[len(d.changes)-1]
			So(last.Short, ShouldBeFalse)
			So(last.Lasted, ShouldBeGreaterThanOrEqualTo, recoveryTime)
		}
		So(reporting, ShouldBeGreaterThan, len(s.daemons)*9/10)
	})
	Convey("Full queues that keep no flow back are not reported", t, func() {
		s := newService("s")
		w := s.window(zoneOf(0))
		w.slots, w.fair = 40, 2
		w.start(siteEpoch, 2)
		_, changed := s.tick(siteEpoch)
		So(changed, ShouldBeFalse)
		w.limited(siteEpoch, 1)
		c, changed := s.tick(siteEpoch)
		So(changed, ShouldBeTrue)
		So(c.Short, ShouldBeTrue)
	})
}

func TestFairPart(t *testing.T) {
	Convey("A daemon's fair part of the slots follows the number of live daemons at once", t, func() {
		s := newSite(siteOf(14, 0.5))
		g := s.daemons[0].gate
		zones := g.index.Load().services["service"].zones
		So(zones[zoneOf(0)].fair, ShouldAlmostEqual, 32.0/22)
		So(zones[zoneOf(1)].fair, ShouldAlmostEqual, 32.0/22/4)
		g.SetDaemons(11)
		So(zones[zoneOf(0)].fair, ShouldAlmostEqual, 32.0/11)
	})
}

func TestQueue(t *testing.T) {
	at := siteEpoch
	Convey("Packets are taken by importance, then in the order of arrival", t, func() {
		var q Queue
		So(q.Empty(), ShouldBeTrue)
		for i, level := range []int{1, 0, 1, 0} {
			So(q.Hold(Waiting{Packet: []byte{byte(i)}, Level: level, Arrived: at.Add(time.Duration(i))}), ShouldBeTrue)
		}
		var order []byte
		for _, w := range q.Take() {
			order = append(order, w.Packet[0])
		}
		So(order, ShouldResemble, []byte{1, 3, 0, 2})
		So(q.Empty(), ShouldBeTrue)
	})
	Convey("The queue is bounded", t, func() {
		var q Queue
		for range maxQueued {
			q.Hold(Waiting{})
		}
		So(q.Hold(Waiting{}), ShouldBeFalse)
	})
}

func TestRing(t *testing.T) {
	Convey("Requests whose end was never seen are forgotten", t, func() {
		r := ring{span: requestBuckets}
		r.add(siteEpoch, 0)
		r.add(siteEpoch, 1)
		So(r.upTo(siteEpoch.Add(time.Second), 0), ShouldEqual, 1)
		So(r.upTo(siteEpoch.Add(time.Second), 1), ShouldEqual, 2)
		So(r.upTo(siteEpoch.Add(requestBuckets*bucketWidth), levels-1), ShouldEqual, 0)
	})
	Convey("The end of a forgotten request takes nothing from others", t, func() {
		r := ring{span: requestBuckets}
		r.add(siteEpoch, 0)
		later := siteEpoch.Add(10 * time.Second)
		r.add(later, 0)
		r.remove(later, siteEpoch, 0)
		So(r.upTo(later, 0), ShouldEqual, 1)
		r.remove(later, later.Add(-time.Millisecond), 0)
		So(r.upTo(later, 0), ShouldEqual, 0)
	})
}

func TestRouteWithoutGoal(t *testing.T) {
	Convey("Flows to a route without a latency goal are always admitted", t, func() {
		cfg := siteOf(13, 3)
		for i := range cfg.kinds {
			cfg.kinds[i].goal = 0
		}
		s := newSite(cfg).run(time.Second)
		So(s.refusals(), ShouldEqual, 0)
		So(NewGate(model.Zone{}).Admit(siteEpoch, &tags.Attempt{}).Answer, ShouldEqual, tags.Admit)
	})
}
