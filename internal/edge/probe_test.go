package edge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func TestProbeQueue(t *testing.T) {
	Convey("A target is reported to other daemons at most once per interval, independently of other targets", t, func() {
		q := newProbeQueue()
		now := time.Unix(100, 0)
		a, b := model.TargetIDOf("a"), model.TargetIDOf("b")
		So(q.mayReport(now, a), ShouldBeTrue)
		So(q.mayReport(now.Add(time.Second), a), ShouldBeFalse)
		So(q.mayReport(now.Add(time.Second), b), ShouldBeTrue)
		So(q.mayReport(now.Add(reportedProbeInterval), a), ShouldBeTrue)
	})
	Convey("Requesting a probe does not block when the queue is full", t, func() {
		q := newProbeQueue()
		for range 10 * maxQueuedProbes {
			q.request(&model.Target{})
		}
		So(q.suspects, ShouldHaveLength, maxQueuedProbes)
	})
	Convey("Three failed targets within a second start probes of the zone, at most once per interval; single failures do not", t, func() {
		q := newProbeQueue()
		now := time.Unix(100, 0)
		for range 5 {
			now = now.Add(600 * time.Millisecond)
			So(q.recordFailure(now), ShouldBeFalse)
		}
		now = now.Add(time.Minute)
		So(q.recordFailure(now), ShouldBeFalse)
		So(q.recordFailure(now), ShouldBeFalse)
		So(q.recordFailure(now.Add(300*time.Millisecond)), ShouldBeTrue)
		So(q.recordFailure(now.Add(400*time.Millisecond)), ShouldBeFalse)
		So(q.recordFailure(now.Add(reportedProbeInterval+500*time.Millisecond)), ShouldBeFalse)
	})
}

// prober answers the n-th attempt with found[n], after the delay after[n].
type prober struct {
	after []time.Duration
	found []bool
	mu    sync.Mutex
	n     int
}

func (p *prober) Present(ctx context.Context, _ *model.Target) bool {
	p.mu.Lock()
	i := p.n
	p.n++
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(p.after[i]):
		return p.found[i]
	}
}

func TestClassifyAttemptResult(t *testing.T) {
	notCalled := func() bool { panic("otherResponds was called") }
	cases := []struct {
		name          string
		attemptResult attemptResult
		otherResponds func() bool
		want          probeResult
	}{
		{"found", attemptResult{found: true}, notCalled, targetFound},
		{"refused", attemptResult{refused: true}, notCalled, targetReplaced},
		{"unresponsive while another target responds", attemptResult{}, func() bool { return true }, targetAbsent},
		{"unresponsive while no target responds, as with a full link", attemptResult{}, func() bool { return false }, targetUnknown},
	}
	for _, c := range cases {
		Convey("Classifies the attempts: "+c.name, t, func() {
			So(c.attemptResult.probeResult(c.otherResponds), ShouldEqual, c.want)
		})
	}
}

func TestConnectAttempts(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		after []time.Duration
		found []bool
		want  bool
		// refused is true if all attempts failed before the timeout.
		refused bool
		took    time.Duration
	}{
		{"found at once", []time.Duration{2 * ms, 0, 0}, []bool{true, false, false}, true, false, 2 * ms},
		{"refused each time", []time.Duration{2 * ms, 3 * ms, 4 * ms}, []bool{false, false, false}, false, true, 9 * ms},
		{"one packet lost", []time.Duration{time.Second, 2 * ms, 0}, []bool{false, true, false}, true, false, attemptInterval + 2*ms},
		{"two packets lost", []time.Duration{time.Second, time.Second, 2 * ms}, []bool{false, false, true}, true, false, 2*attemptInterval + 2*ms},
		{"slow", []time.Duration{100 * ms, time.Second, time.Second}, []bool{true, false, false}, true, false, 100 * ms},
		{"unresponsive", []time.Duration{time.Second, time.Second, time.Second}, []bool{false, false, false}, false, false, probeTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(c.name, t, func() {
					d := &Daemon{prober: &prober{after: c.after, found: c.found}}
					start := time.Now()
					So(d.connect(t.Context(), nil, probeAttempts), ShouldResemble, attemptResult{found: c.want, refused: c.refused})
					So(time.Since(start), ShouldEqual, c.took)
				})
			})
		})
	}
}
