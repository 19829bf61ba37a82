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

func TestWordsOfAbsentTargets(t *testing.T) {
	Convey("A target is reported to other daemons at most once per interval, independently of other targets", t, func() {
		p := newProbes()
		now := time.Unix(100, 0)
		a, b := model.TargetIDOf("a"), model.TargetIDOf("b")
		So(p.mayTell(now, a), ShouldBeTrue)
		So(p.mayTell(now.Add(time.Second), a), ShouldBeFalse)
		So(p.mayTell(now.Add(time.Second), b), ShouldBeTrue)
		So(p.mayTell(now.Add(probeToldEvery), a), ShouldBeTrue)
	})
	Convey("Requesting a probe does not block when the queue is full", t, func() {
		p := newProbes()
		for range 10 * maxWaiting {
			p.add(&model.Target{})
		}
		So(p.suspects, ShouldHaveLength, maxWaiting)
	})
	Convey("Three failed targets within a second start a search of the zone, at most once per interval; single failures do not", t, func() {
		p := newProbes()
		now := time.Unix(100, 0)
		for range 5 {
			now = now.Add(600 * time.Millisecond)
			So(p.died(now), ShouldBeFalse)
		}
		now = now.Add(time.Minute)
		So(p.died(now), ShouldBeFalse)
		So(p.died(now), ShouldBeFalse)
		So(p.died(now.Add(300*time.Millisecond)), ShouldBeTrue)
		So(p.died(now.Add(400*time.Millisecond)), ShouldBeFalse)
		So(p.died(now.Add(probeToldEvery+500*time.Millisecond)), ShouldBeFalse)
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

func TestSilenceOfATarget(t *testing.T) {
	never := func() bool { panic("reached was called") }
	cases := []struct {
		name    string
		answer  answer
		reached func() bool
		want    finding
	}{
		{"found", answer{found: true}, never, targetFound},
		{"refused", answer{refused: true}, never, targetReplaced},
		{"unresponsive while another target responds", answer{}, func() bool { return true }, targetAbsent},
		{"unresponsive while no target responds, as with a full link", answer{}, func() bool { return false }, targetUnknown},
	}
	for _, c := range cases {
		Convey("Classifies the answer: "+c.name, t, func() {
			So(c.answer.finding(c.reached), ShouldEqual, c.want)
		})
	}
}

func TestPresent(t *testing.T) {
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
		{"one packet lost", []time.Duration{time.Second, 2 * ms, 0}, []bool{false, true, false}, true, false, probeSpacing + 2*ms},
		{"two packets lost", []time.Duration{time.Second, time.Second, 2 * ms}, []bool{false, false, true}, true, false, 2*probeSpacing + 2*ms},
		{"slow", []time.Duration{100 * ms, time.Second, time.Second}, []bool{true, false, false}, true, false, 100 * ms},
		{"unresponsive", []time.Duration{time.Second, time.Second, time.Second}, []bool{false, false, false}, false, false, probeTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(c.name, t, func() {
					d := &Daemon{prober: &prober{after: c.after, found: c.found}}
					start := time.Now()
					So(d.present(t.Context(), nil, probeTries), ShouldResemble, answer{found: c.want, refused: c.refused})
					So(time.Since(start), ShouldEqual, c.took)
				})
			})
		})
	}
}
