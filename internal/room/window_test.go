package room

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// shortWindow returns a window that is short, with a size for all levels.
func shortWindow(size float64) *window {
	w := newWindow()
	w.slots, w.fair = 40, 2
	w.start(siteEpoch, size)
	return w
}

func TestWindow(t *testing.T) {
	now := siteEpoch.Add(time.Second)
	Convey("A window begins after several rejections, not after one among many responses", t, func() {
		w := newWindow()
		w.slots, w.fair = 40, 2
		for range 50 {
			w.served(siteEpoch, false)
		}
		w.reject(siteEpoch, 0)
		So(w.short, ShouldBeFalse)
		for range 5 {
			w.reject(siteEpoch, 0)
		}
		So(w.short, ShouldBeTrue)
	})
	Convey("It grows and shrinks with the slots of the targets that take flows", t, func() {
		w := shortWindow(8)
		w.setSlots(20)
		So(w.sizes[0], ShouldAlmostEqual, 4)
		w.setSlots(60)
		So(w.sizes[0], ShouldAlmostEqual, 12)
	})
	Convey("Responses as fast as while there is room open a window that is full", t, func() {
		w := shortWindow(2)
		w.running.add(now, 1)
		w.running.add(now, 1)
		So(w.fits(now, 1, 0.5, 0), ShouldBeFalse)
		w.served(now, true)
		So(w.fits(now, 1, 0.5, 0), ShouldBeFalse)
		w.served(now, true)
		So(w.fits(now, 1, 0.5, 0), ShouldBeTrue)
		Convey("but not for a caller that has more than others", func() {
			w.sizes = [levels]float64{2, 2, 2}
			So(w.fits(now, 1, 0.5, excessReserve), ShouldBeFalse)
		})
		Convey("until one is slower or rejected", func() {
			w.sizes = [levels]float64{2, 2, 2}
			w.reject(now, 1)
			So(w.fits(now, 1, 0.5, 0), ShouldBeFalse)
		})
	})
	Convey("A rejection limits the less important requests that are served", t, func() {
		w := shortWindow(8)
		for range 3 {
			w.running.add(now, 2)
		}
		w.reject(now, 0)
		So(w.sizes[0], ShouldEqual, 8)
		So(w.sizes[2], ShouldBeLessThan, 8)
		Convey("and the request's own kind where no other is", func() {
			w := shortWindow(8)
			w.running.add(now, 0)
			w.reject(now, 0)
			So(w.sizes[0], ShouldBeLessThan, 8)
		})
	})
	Convey("The responses of one moment raise it once, however many they are", t, func() {
		w := shortWindow(8)
		w.limited(now, 2)
		for range 100 {
			w.served(now, false)
		}
		So(w.sizes[2], ShouldAlmostEqual, 8*(1+growth))
		w.served(now.Add(stepInterval), false)
		So(w.sizes[2], ShouldAlmostEqual, 8*(1+growth)*(1+growth))
	})
	Convey("It is never cut below half of the fair part", t, func() {
		w := shortWindow(8)
		for i := range 100 {
			w.reject(now.Add(time.Duration(i)*time.Second), 0)
		}
		So(w.sizes[0], ShouldAlmostEqual, 1)
	})
	Convey("The shortage ends once nothing was limited for recoveryTime", t, func() {
		w := shortWindow(8)
		w.limited(now, 2)
		w.tick(now.Add(recoveryTime - 1))
		So(w.short, ShouldBeTrue)
		w.tick(now.Add(recoveryTime))
		So(w.short, ShouldBeFalse)
	})
}

func TestWaiting(t *testing.T) {
	Convey("When a service is short", t, func() {
		svc := &model.Service{Name: "s"}
		route := &model.Route{Name: "r", Address: siteAddress(0), LatencyGoal: 800 * time.Millisecond, Shares: []model.Share{{Service: svc, Weight: 1}}}
		svc.Targets = []*model.Target{{ID: 1, Name: "t", Service: "s", Zone: zoneOf(0), Slots: 2}}
		g := NewGate(zoneOf(0))
		g.ApplyLists(model.NewRoutedSnapshot(model.Parts{Services: []*model.Service{svc}, Routes: []*model.Route{route}}))
		s := g.index.Load().services["s"]
		w := s.zones[zoneOf(0)]
		attempt := func() *tags.Attempt { return &tags.Attempt{Route: route, Service: svc, Hash: 1} }
		for range 10 {
			So(g.Admit(siteEpoch, attempt()).Answer, ShouldEqual, tags.Admit)
		}
		w.start(siteEpoch, 0)
		for range 8 {
			w.running.add(siteEpoch, 0)
		}
		d := g.Admit(siteEpoch, attempt())
		So(d.Answer, ShouldEqual, tags.Wait)
		Convey("a flow waits for a part of its latency goal", func() {
			So(d.MaxWait, ShouldEqual, route.LatencyGoal/waitShare)
			waited := attempt()
			waited.Waited = true
			So(g.Admit(siteEpoch, waited).Answer, ShouldEqual, tags.Wait)
			Convey("and is admitted as soon as there is room", func() {
				for range 8 {
					w.running.remove(siteEpoch, siteEpoch, 0)
				}
				So(g.Admit(siteEpoch, waited).Answer, ShouldEqual, tags.Admit)
				So(s.waiting, ShouldEqual, 0)
			})
			Convey("or given up", func() {
				g.GiveUp(siteEpoch, waited)
				So(s.waiting, ShouldEqual, 0)
				So(s.refused, ShouldEqual, 1)
			})
		})
		Convey("waits that ended elsewhere are forgotten", func() {
			So(s.waiting, ShouldEqual, 1)
			g.NoneWaits()
			So(s.waiting, ShouldEqual, 0)
			g.GiveUp(siteEpoch, attempt())
			So(s.waiting, ShouldEqual, 0)
		})
		Convey("those that would wait longer are refused at once", func() {
			for range 10 {
				d = g.Admit(siteEpoch, attempt())
			}
			So(d.Answer, ShouldEqual, tags.Refuse)
			So(s.waiting, ShouldBeLessThan, 5)
		})
		Convey("the refusal says that the request has not run and when to retry", func() {
			row := errkind.RowOf(errkind.ServiceShort)
			So(row.Answer, ShouldEqual, errkind.AnswerReset)
			So(row.NotRun, ShouldBeTrue)
			So(row.RetryAfter, ShouldBeGreaterThan, 0)
		})
	})
}
