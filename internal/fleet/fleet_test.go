package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

func TestBaselinesServeTheFirstScenario(t *testing.T) {
	Convey("Without changes each baseline answers every request", t, func() {
		for _, v := range []Variant{VariantTable, VariantHash} {
			Convey(string(v), func() {
				s, err := scenario.Load("../../scenarios/first.yaml")
				So(err, ShouldBeNil)
				site, err := scenario.Start(s, 1, udpio.System(udpio.Config{}))
				So(err, ShouldBeNil)
				defer site.Close()
				f, err := Start(site, v, nil)
				So(err, ShouldBeNil)
				defer f.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				So(f.WaitReady(ctx), ShouldBeNil)
				So(site.StartCallers(), ShouldBeNil)
				time.Sleep(2 * time.Second)
				So(site.StopCallers(10*time.Second), ShouldEqual, 0)
				sum := scenario.Summarize(site.History())
				So(sum.Violations, ShouldBeEmpty)
				So(sum.Broken, ShouldEqual, 0)
				So(sum.Answered, ShouldBeGreaterThan, 0)
				So(sum.Answered, ShouldEqual, sum.Requests)
			})
		}
	})
}
