package edge

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func TestWordsOfAbsentTargets(t *testing.T) {
	Convey("Others are told of one target once in a while, and of each target", t, func() {
		p := newProbes()
		now := time.Unix(100, 0)
		a, b := model.TargetIDOf("a"), model.TargetIDOf("b")
		So(p.mayTell(now, a), ShouldBeTrue)
		So(p.mayTell(now.Add(time.Second), a), ShouldBeFalse)
		So(p.mayTell(now.Add(time.Second), b), ShouldBeTrue)
		So(p.mayTell(now.Add(probeToldEvery), a), ShouldBeTrue)
	})
	Convey("Asking for probes never blocks, whatever waits", t, func() {
		p := newProbes()
		for range 10 * maxProbes {
			p.add(&model.Target{})
		}
		So(p.suspects, ShouldHaveLength, maxProbes)
	})
}
