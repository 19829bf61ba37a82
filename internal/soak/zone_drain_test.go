package soak

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestZoneDrainCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		since    time.Duration
		do       func(h *harness, now time.Time)
		violated bool
	}{
		{"longer than the bound", zoneDrainBound + time.Millisecond, func(*harness, time.Time) {}, true},
		{"for a shorter time", zoneDrainBound - time.Millisecond, func(*harness, time.Time) {}, false},
		{"by a daemon with a recent fault", time.Minute, func(h *harness, now time.Time) { h.entries[0].recordFault(now) }, false},
		{"while links have a fault", time.Minute, func(h *harness, now time.Time) { h.recordLinkFault(now) }, false},
		{"in another zone", time.Minute, func(h *harness, _ time.Time) { h.targets[0].entry.Zone = "z1" }, false},
	} {
		Convey("A flow opens in a zone that has been drained "+c.name, t, func() {
			h, f := newTestHarness()
			now := time.Now()
			h.drains["z0"] = &zoneDrain{since: now.Add(-c.since), steps: 1}
			c.do(h, now)
			h.checkZoneDrain(now, h.entries[0], h.targets[0], f.key)
			So(len(h.violations) > 0, ShouldEqual, c.violated)
		})
	}
}

func TestDrawZoneDrains(t *testing.T) {
	Convey("Every third seed has drains, which last longer than the bound and end before the run", t, func() {
		isDrain := func(s Step) bool { return s.Kind == ZoneDrain }
		So(slices.ContainsFunc(Draw(2001, Small, time.Minute).Steps, isDrain), ShouldBeFalse)
		steps := Draw(2002, Small, time.Minute).Steps
		So(slices.ContainsFunc(steps, isDrain), ShouldBeTrue)
		for _, s := range steps {
			if isDrain(s) {
				So(s.For, ShouldBeGreaterThan, zoneDrainBound)
			}
			So(s.At+s.For, ShouldBeLessThan, time.Minute)
		}
	})
}

// drainDialect is a Dialect whose items for drains have the zone as their key.
type drainDialect struct{ Dialect }

func (drainDialect) ZoneDrainItem(zone string) (string, []byte) { return zone, []byte("drained") }

// TestDrainAfterReturn guards against drains that the operator of the soak leaves out after a return of the store, which the
// users' operator writes again.
func TestDrainAfterReturn(t *testing.T) {
	Convey("After a return of the store from a copy, drains that stand are written again and others are taken back", t, func() {
		h, _ := newTestHarness()
		h.dialect = drainDialect{}
		h.store.put("config", []byte("x"))
		h.store.put("ended", []byte("drained"))
		copied := time.Now()
		time.Sleep(time.Millisecond)
		h.store.put("ended", nil)
		h.store.put("standing", []byte("drained"))
		h.drains["standing"] = &zoneDrain{since: time.Now(), steps: 1}
		h.store.returnFromCopy(copied)
		So(h.store.has("ended"), ShouldBeTrue)
		So(h.store.has("standing"), ShouldBeFalse)
		for _, zone := range []string{"standing", "ended", "never"} {
			h.writeZoneDrain(zone)
		}
		So(h.store.has("ended"), ShouldBeFalse)
		So(h.store.has("standing"), ShouldBeTrue)
		So(h.store.has("never"), ShouldBeFalse)
	})
}
