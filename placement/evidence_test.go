package placement

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// Guards against a race between an answer of a target and a failed probe of it that began before the answer: in
// whichever order the two are recorded, the target must not count as absent.
func TestAnswerWhileAProbeIsHandedIn(t *testing.T) {
	Convey("A target that answers while the failure of an earlier probe is recorded is not absent", t, func() {
		targets := fourteen()
		id := targets[0].ID
		for i := range 20_000 {
			_, _, l := loaded(targets)
			began := start.Add(time.Duration(i) * time.Second)
			var both sync.WaitGroup
			both.Go(func() { l.Alive(began.Add(time.Millisecond), id) })
			both.Go(func() { l.NotFound(began, id, 1, FoundNothing) })
			both.Wait()
			ev := l.Evidence(id)
			if ev.absent() {
				t.Fatalf("round %d: absent with %d misses, answered %v after the probe began", i, ev.MissesInRow, ev.LastAnswer.Sub(ev.ProbedAt))
			}
		}
	})
	Convey("A probe that began before an answer, or before the target restarted, records no miss", t, func() {
		targets := fourteen()
		_, _, l := loaded(targets)
		l.Alive(start.Add(time.Millisecond), targets[0].ID)
		So(l.NotFound(start, targets[0].ID, 1, FoundNothing), ShouldBeFalse)
		So(l.Evidence(targets[0].ID).MissesInRow, ShouldEqual, 0)
		again := *targets[1]
		again.Born = start
		table, _ := tableOf([]*model.Target{&again}, "a")
		l.SetTable(start.Add(time.Millisecond), table)
		So(l.NotFound(start, again.ID, 1, FoundNothing), ShouldBeFalse)
		So(l.NotFound(start.Add(2*time.Millisecond), again.ID, 1, FoundNothing), ShouldBeTrue)
		So(l.Evidence(again.ID).MissesInRow, ShouldEqual, 1)
	})
}
