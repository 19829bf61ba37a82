package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func TestScaledConfig(t *testing.T) {
	Convey("Failure detection times are proportional to the heartbeat interval, and the config is valid for any interval", t, func() {
		So(ScaledConfig(time.Second).WithDefaults(), ShouldResemble, Config{}.WithDefaults())
		So(ScaledConfig(500*time.Millisecond).FailedAfter, ShouldEqual, 1500*time.Millisecond)
		for _, heartbeat := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second} {
			c := ScaledConfig(heartbeat)
			c.Self, c.Zone, c.Incarnation, c.Rand = 1, model.Zone{Name: "a"}, 1, rand.New(rand.NewPCG(1, 1))
			So(c.WithDefaults().Validate(), ShouldBeNil)
		}
	})
}
