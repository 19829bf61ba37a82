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

// prober answers tries in turn, each after a time.
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

func TestProbesThatTellNothing(t *testing.T) {
	Convey("A probe that failed only after this process had stood still tells nothing of its target", t, func() {
		So(conclusive(false, 3*time.Millisecond), ShouldBeTrue)
		So(conclusive(false, probeTimeout+2*time.Millisecond), ShouldBeTrue)
		So(conclusive(false, probeTimeout+60*time.Millisecond), ShouldBeFalse)
		So(conclusive(true, probeTimeout+60*time.Millisecond), ShouldBeTrue)
	})
}

func TestPresent(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		after []time.Duration
		found []bool
		want  bool
		took  time.Duration
	}{
		{"found at once", []time.Duration{2 * ms, 0}, []bool{true, false}, true, 2 * ms},
		{"refused twice", []time.Duration{2 * ms, 3 * ms}, []bool{false, false}, false, 5 * ms},
		{"one packet lost", []time.Duration{time.Second, 2 * ms}, []bool{false, true}, true, probeSpacing + 2*ms},
		{"slow", []time.Duration{100 * ms, time.Second}, []bool{true, false}, true, 100 * ms},
		{"silent", []time.Duration{time.Second, time.Second}, []bool{false, false}, false, probeTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey(c.name, t, func() {
					d := &Daemon{prober: &prober{after: c.after, found: c.found}}
					start := time.Now()
					So(d.present(t.Context(), nil, probeTries), ShouldEqual, c.want)
					So(time.Since(start), ShouldEqual, c.took)
				})
			})
		})
	}
}
