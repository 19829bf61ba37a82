package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core/tags"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

const (
	// work is the mean time to a response of a target that is not slow, and spread the shape of its distribution.
	work   = 40 * time.Millisecond
	spread = 0.5
)

var address = flow.PackAddrPort(netip.MustParseAddrPort("198.18.0.1:443"))

// siteLoad is a service in two zones, and the responses that one daemon sees of it.
type siteLoad struct {
	rand      *rand.Rand
	now       time.Time
	targets   []*model.Target
	slow      map[model.TargetID]float64
	estimator *Estimator
	table     *placement.ServiceTable
	policy    placement.Policy
}

func newSiteLoad(perZone int) *siteLoad {
	s := &siteLoad{rand: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_700_000_000, 0), slow: make(map[model.TargetID]float64), estimator: NewEstimator()}
	for _, zone := range []string{"a", "b"} {
		for i := range perZone {
			name := fmt.Sprintf("%s%d", zone, i)
			s.targets = append(s.targets, &model.Target{ID: model.TargetIDOf(name), Name: name, Service: "s", Zone: model.Zone{Region: "r", Name: zone}, Slots: 2})
		}
	}
	s.publish(s.targets)
	return s
}

func (s *siteLoad) publish(targets []*model.Target) {
	service := &model.Service{Name: "s", Targets: targets}
	snapshot := model.NewRoutedSnapshot(model.Parts{
		Services: []*model.Service{service},
		Routes:   []*model.Route{{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []model.Share{{Service: service, Weight: 1}}}},
	})
	s.estimator.SetLists(snapshot)
	s.table = placement.NewTable(snapshot).ServiceOf(snapshot.Routes[0], 1)
	s.policy = placement.NewNearest(placement.NearestConfig{Zone: model.Zone{Region: "r", Name: "a"}, Speeds: s.estimator})
}

// respond lets a target respond once.
func (s *siteLoad) respond(t *model.Target) {
	factor := max(s.slow[t.ID], 1)
	if t.Zone.Name == "b" {
		factor *= 1.4 // a longer way
	}
	after := time.Duration(float64(work) * factor * math.Exp(spread*s.rand.NormFloat64()-spread*spread/2))
	s.estimator.ResponseBegan(s.now, tags.FlowEvent{Target: t.ID, Address: address}, after, 2000)
}

// run lets each target respond some times a second.
func (s *siteLoad) run(length time.Duration, perSecond int) {
	step := time.Second / time.Duration(perSecond)
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		for _, t := range s.targets {
			s.respond(t)
		}
		s.estimator.Tick(s.now)
	}
}

// placed returns the share of new flows that go to the slow targets while no flow is open.
func (s *siteLoad) placed() float64 {
	const flows = 4000
	n := 0
	for range flows {
		t, kind := s.policy.Choose(s.now, model.FlowHash(s.rand.Uint64()), s.table, placement.NewLoadTable())
		So(kind, ShouldEqual, errkind.None)
		if s.slow[t.ID] > 1 {
			n++
		}
	}
	return float64(n) / flows
}

// TestSlowTargets replays the load of a service some of whose targets turn slow.
func TestSlowTargets(t *testing.T) {
	for factor, within := range map[float64]time.Duration{2.4: 2 * time.Second, 5: time.Second} {
		Convey(fmt.Sprintf("Two of five targets of a zone that are %v times slower get fewer flows within %v", factor, within), t, func() {
			s := newSiteLoad(5)
			s.run(3*time.Second, 8)
			before := s.estimator.Len()
			s.slow[s.targets[0].ID], s.slow[s.targets[1].ID] = factor, factor
			s.run(within, 8)
			So(before, ShouldEqual, 0)
			So(s.placed(), ShouldBeLessThan, 0.15) // 0.4 without estimates
			So(s.placed(), ShouldBeGreaterThan, 0.005)
			Convey("and their share again once they are fast", func() {
				clear(s.slow)
				s.run(2*time.Second, 8)
				for _, target := range s.targets[:2] {
					So(s.estimator.Slowness(target.ID), ShouldEqual, 1)
				}
			})
			Convey("or once nothing was heard of them for some time", func() {
				s.now = s.now.Add(maxAge + time.Second)
				s.estimator.Tick(s.now)
				So(s.estimator.Len(), ShouldEqual, 0)
			})
		})
	}
	Convey("If most targets of a zone are slow, none of them counts as slow", t, func() {
		s := newSiteLoad(3)
		s.slow[s.targets[0].ID], s.slow[s.targets[1].ID] = 5, 5
		s.run(3*time.Second, 8)
		So(s.estimator.Len(), ShouldEqual, 0)
	})
	Convey("Neither a zone that is further away is slow nor a target that got heavier requests by chance", t, func() {
		s, wrong, all := newSiteLoad(5), 0, 0
		for range 200 {
			s.run(100*time.Millisecond, 10)
			wrong, all = wrong+s.estimator.Len(), all+len(s.targets)
		}
		So(float64(wrong)/float64(all), ShouldBeLessThan, 0.02)
	})
	Convey("A target that warms up is not judged by it, nor one that rejects requests by its fast rejections", t, func() {
		s := newSiteLoad(5)
		cold, full := s.targets[0], s.targets[1]
		cold.WarmUntil = s.now.Add(4 * time.Second)
		s.publish(s.targets)
		s.slow[cold.ID] = 5
		s.run(3*time.Second, 8)
		So(s.estimator.Slowness(cold.ID), ShouldEqual, 1)
		before := s.estimator.targets[full.ID].value
		for range 20 {
			s.estimator.ResponseBegan(s.now, tags.FlowEvent{Target: full.ID, Address: address}, time.Millisecond, 100)
		}
		So(s.estimator.targets[full.ID].value, ShouldEqual, before)
	})
	Convey("A target that is silent, left, or was seen a few times only has no estimate", t, func() {
		s := newSiteLoad(5)
		gone := s.targets[0]
		s.slow[gone.ID] = 5
		s.run(2*time.Second, 8)
		So(s.estimator.Slowness(gone.ID), ShouldBeGreaterThan, 2.5)
		s.publish(s.targets[1:])
		s.estimator.Tick(s.now)
		So(s.estimator.Slowness(gone.ID), ShouldEqual, 1)
		s.publish(s.targets)
		for range minResponses - 1 {
			s.respond(gone)
		}
		s.estimator.Tick(s.now)
		So(s.estimator.Slowness(gone.ID), ShouldEqual, 1)
	})
}
