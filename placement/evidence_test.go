package placement

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// Guards against a race between an answer of a target and a failed probe of it that began before the answer: in
// whichever order the two are recorded, the target must not count as failed.
func TestAnswerDuringFailedProbe(t *testing.T) {
	Convey("A target that answers while the failure of an earlier probe is recorded does not count as failed", t, func() {
		targets := fourteenTargets()
		id := targets[0].ID
		for i := range 20_000 {
			_, _, l := newLoadTables(targets)
			began := start.Add(time.Duration(i) * time.Second)
			var wg sync.WaitGroup
			wg.Go(func() { l.Alive(began.Add(time.Millisecond), id) })
			wg.Go(func() { l.NotFound(began, id, 1, ProbeNoAnswer) })
			wg.Wait()
			ev := l.Evidence(id)
			if ev.probeFailed() {
				t.Fatalf("round %d: probe failed with %d missed responses, answered %v after the probe began", i, ev.ConsecutiveMisses, ev.LastAnswer.Sub(ev.ProbedAt))
			}
		}
	})
	Convey("A probe that began before an answer, or before the target restarted, records no missed response", t, func() {
		targets := fourteenTargets()
		_, _, l := newLoadTables(targets)
		l.Alive(start.Add(time.Millisecond), targets[0].ID)
		So(l.NotFound(start, targets[0].ID, 1, ProbeNoAnswer), ShouldBeFalse)
		So(l.Evidence(targets[0].ID).ConsecutiveMisses, ShouldEqual, 0)
		restarted := *targets[1]
		restarted.StartedAt = start
		table, _ := tableOf([]*model.Target{&restarted}, "a")
		l.SetTable(start.Add(time.Millisecond), table)
		So(l.NotFound(start, restarted.ID, 1, ProbeNoAnswer), ShouldBeFalse)
		So(l.NotFound(start.Add(2*time.Millisecond), restarted.ID, 1, ProbeNoAnswer), ShouldBeTrue)
		So(l.Evidence(restarted.ID).ConsecutiveMisses, ShouldEqual, 1)
	})
}
