package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func TestOldProbesIgnored(t *testing.T) {
	Convey("A daemon that probes a target again after a long pause ignores the results from before it", t, func() {
		f := newFixture(4)
		for range 10 {
			f.m.HandleProbe(start, Result{Target: f.id(0)})
		}
		So(f.down(start, 0), ShouldBeTrue)
		f.m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{2, 3, 4} }, 3)
		later := start.Add(time.Hour)
		So(f.down(later, 0), ShouldBeFalse)
		f.m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{1} }, 1)
		So(f.down(later, 0), ShouldBeFalse)
	})
}
