package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/placement"
)

// summary returns the summary of a target on a heartbeat at the given time.
func (f fixture) summary(now time.Time, i int) Summary {
	all, _ := DecodeSummaries(nil, f.m.AppendTo(now, nil, 1000))
	for _, s := range all {
		if s.Target == f.id(i) {
			return s
		}
	}
	return Summary{}
}

func TestLifetimeOfOwnProbes(t *testing.T) {
	Convey("With a target whose probes failed", t, func() {
		f := newFixture(4)
		lifetime := Config{}.WithDefaults().ProbeLifetime
		for range 3 {
			f.m.HandleProbe(start, Result{Target: f.id(0)})
		}
		Convey("the result is used by this daemon and reported to others until its lifetime is over", func() {
			before, after := start.Add(lifetime-1), start.Add(lifetime)
			So(f.down(before, 0), ShouldBeTrue)
			So(f.summary(before, 0).Probed, ShouldBeTrue)
			So(f.down(after, 0), ShouldBeFalse)
			So(f.summary(after, 0).Probed, ShouldBeFalse)
		})
		Convey("the result stays as long as probes fail", func() {
			for i := range 20 {
				now := start.Add(time.Duration(i) * time.Second)
				f.m.HandleProbe(now, Result{Target: f.id(0)})
				So(f.down(now.Add(time.Second), 0), ShouldBeTrue)
			}
		})
		Convey("after its lifetime three new failures are needed", func() {
			later := start.Add(lifetime)
			f.m.HandleProbe(later, Result{Target: f.id(0)})
			f.m.HandleProbe(later, Result{Target: f.id(0)})
			So(f.down(later, 0), ShouldBeFalse)
			f.m.HandleProbe(later, Result{Target: f.id(0)})
			So(f.down(later, 0), ShouldBeTrue)
		})
	})
}

func TestOldReportsNotSent(t *testing.T) {
	Convey("A daemon reports a target's load report with its age, until the age exceeds what a summary can hold", t, func() {
		f := newFixture(4)
		f.m.HandleProbe(start, Result{Target: f.id(0), OK: true, Report: placement.Report{Connections: 7}})
		So(f.summary(start.Add(maxSummaryAge), 0).Reported, ShouldBeTrue)
		So(f.summary(start.Add(maxSummaryAge), 0).Age, ShouldEqual, maxSummaryAge)
		So(f.summary(start.Add(time.Hour), 0).Reported, ShouldBeFalse)
	})
}
