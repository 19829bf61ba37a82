package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func flow(i uint64) model.FlowHash {
	return model.FlowHash(mix(i, 123))
}

// placeFlows runs a policy over n flows that stay open and returns the counts by target name or error kind.
func placeFlows(p Policy, st *ServiceTable, l *LoadTable, now time.Time, n int) map[string]int {
	count := make(map[string]int)
	for i := range uint64(n) {
		t, kind := p.Choose(now, flow(i), st, l)
		if kind != errkind.None {
			count[kind.String()]++
			continue
		}
		l.Opened(t.ID)
		count[t.Name]++
	}
	return count
}

func newLoadTables(targets []*model.Target) (*Table, *ServiceTable, *LoadTable) {
	table, st := tableOf(targets, "a", "b", "c")
	l := NewLoadTable()
	l.SetTable(start, table)
	return table, st, l
}

func TestPoliciesSkipDrainingAndDownTargets(t *testing.T) {
	Convey("No policy gives a new flow to a target that is draining or down", t, func() {
		targets := fourteenTargets()
		targets[0].Draining = true
		for name, policy := range map[string]Policy{
			"rendezvous":    Rendezvous{},
			"margin":        Margin{Fraction: 0.05},
			"bounded loads": BoundedLoads{Factor: 1.25},
			"load-aware":    NewLoadAware(LoadAwareConfig{}),
		} {
			Convey(name, func() {
				_, st, l := newLoadTables(targets)
				l.SetDown(targets[1].ID, true)
				count := placeFlows(policy, st, l, start, 3000)
				So(count[targets[0].Name], ShouldEqual, 0)
				So(count[targets[1].Name], ShouldEqual, 0)
				So(count[targets[2].Name], ShouldBeGreaterThan, 0)
			})
		}
	})
}

func TestRefusalKinds(t *testing.T) {
	Convey("The load-aware policy refuses a flow", t, func() {
		policy := NewLoadAware(LoadAwareConfig{})
		Convey("with NoTargetReachable when every target is draining or down", func() {
			targets := fourteenTargets()[:2]
			targets[0].Draining = true
			_, st, l := newLoadTables(targets)
			l.SetDown(targets[1].ID, true)
			_, kind := policy.Choose(start, flow(1), st, l)
			So(kind, ShouldEqual, errkind.NoTargetReachable)
		})
		Convey("with ServiceFull when every target is at its connection limit, and not before", func() {
			targets := fourteenTargets()
			for _, target := range targets {
				target.MaxConnections = 10
			}
			_, st, l := newLoadTables(targets)
			count := placeFlows(policy, st, l, start, 200)
			So(count["service_full"], ShouldEqual, 60)
			for _, target := range targets {
				So(count[target.Name], ShouldEqual, 10)
			}
		})
		Convey("at the connection limit, counting the flows of other owners from the load report", func() {
			targets := fourteenTargets()[:1]
			_, st, l := newLoadTables(targets)
			l.SetOwners(4)
			l.SetReport(targets[0].ID, Report{Connections: 1990, At: start})
			count := placeFlows(policy, st, l, start, 10)
			So(count[targets[0].Name], ShouldEqual, 3)
			So(count["service_full"], ShouldEqual, 7)
		})
		Convey("at the owner's share of the connection limit while there is no load report", func() {
			targets := fourteenTargets()[:1]
			_, st, l := newLoadTables(targets)
			l.SetOwners(4)
			count := placeFlows(policy, st, l, start, 1000)
			So(count[targets[0].Name], ShouldEqual, 625)
		})
	})
}

func TestZoneOverflow(t *testing.T) {
	Convey("Flows leave the home zone only when none of its targets can take them", t, func() {
		targets := fourteenTargets()
		_, st, l := newLoadTables(targets)
		for _, target := range targets {
			l.SetDown(target.ID, target.Zone.Name == "a")
		}
		policy := NewLoadAware(LoadAwareConfig{})
		for i := range uint64(1000) {
			zones := st.ZoneOrder(flow(i), nil)
			got, kind := policy.Choose(start, flow(i), st, l)
			So(kind, ShouldEqual, errkind.None)
			if zones[0].Name == "a" {
				So(got.Zone, ShouldResemble, zones[1])
			} else {
				So(got.Zone, ShouldResemble, zones[0])
			}
		}
	})
}

func TestMarginBalances(t *testing.T) {
	Convey("The load-aware policy keeps max/mean of the flows over the targets at or below 1.02; rendezvous hashing that ignores load does not", t, func() {
		const owners, flows = 8, 28000
		maxOverMean := func(p Policy) float64 {
			_, st, _ := newLoadTables(fourteenTargets())
			var loads [owners]*LoadTable
			for i := range loads {
				_, _, loads[i] = newLoadTables(fourteenTargets())
			}
			total := make(map[string]int)
			for i := range uint64(flows) {
				l := loads[owningDaemon(st, flow(i))]
				target, _ := p.Choose(start, flow(i), st, l)
				l.Opened(target.ID)
				total[target.Name]++
			}
			return float64(maxOf(total)) / (flows / 14)
		}
		So(maxOverMean(Rendezvous{}), ShouldBeGreaterThan, 1.02)
		So(maxOverMean(NewLoadAware(LoadAwareConfig{})), ShouldBeLessThanOrEqualTo, 1.02)
	})
}

// owningDaemon returns the owner of a flow among 8 owners: three each in zones a and b, two in zone c.
func owningDaemon(st *ServiceTable, h model.FlowHash) uint64 {
	pick := mix(uint64(h), 99)
	switch st.Default(h).Zone.Name {
	case "a":
		return pick % 3
	case "b":
		return 3 + pick%3
	default:
		return 6 + pick%2
	}
}

func maxOf(count map[string]int) int {
	m := 0
	for _, n := range count {
		m = max(m, n)
	}
	return m
}

func TestMarginGrowsWithFewFlows(t *testing.T) {
	Convey("The margin grows with the square root as the mean count falls, up to its bound", t, func() {
		c := NewLoadAware(LoadAwareConfig{ReferenceFlows: 1000, MaxMargin: 1})
		withoutReport := &choice{}
		So(c.margin(0.05, means{own: 1000}, withoutReport), ShouldAlmostEqual, 0.05)
		So(c.margin(0.05, means{own: 250}, withoutReport), ShouldAlmostEqual, 0.10)
		So(c.margin(0.05, means{}, withoutReport), ShouldEqual, 1)
	})
}

func TestReportWeight(t *testing.T) {
	Convey("A small own count weighs less against a report, and an old report weighs less against the own count", t, func() {
		c := NewLoadAware(LoadAwareConfig{})
		fresh := &Observation{FleetKnown: true}
		stale := &Observation{FleetKnown: true, ReportAge: time.Hour}
		So(c.reportWeight(fresh, means{own: 500}), ShouldAlmostEqual, 0.75)
		So(c.reportWeight(fresh, means{own: 5}), ShouldBeGreaterThan, 0.95)
		So(c.reportWeight(stale, means{own: 5}), ShouldBeLessThan, 0.1)
		So(c.reportWeight(&Observation{}, means{own: 5}), ShouldEqual, 0)
	})
}

func TestRamp(t *testing.T) {
	Convey("When a target joins a running service with a ramp of 30 s", t, func() {
		table, _, l := newLoadTables(fourteenTargets()[:13])
		_ = table
		next, st := tableOf(fourteenTargets())
		st.service.Ramp = 30 * time.Second
		l.SetTable(start, next)
		joining := fourteenTargets()[13]
		policy := NewLoadAware(LoadAwareConfig{})
		countFlows := func(now time.Time) (got, defaults int) {
			for i := range uint64(20000) {
				if st.Default(flow(i)).ID == joining.ID {
					defaults++
				}
				target, _ := policy.Choose(now, flow(i), st, l)
				if target.ID == joining.ID {
					got++
				}
			}
			return got, defaults
		}
		Convey("it gets no flows at first", func() {
			got, _ := countFlows(start)
			So(got, ShouldEqual, 0)
		})
		Convey("it gets about a third of the flows that default to it after 10 s", func() {
			got, defaults := countFlows(start.Add(10 * time.Second))
			So(float64(got)/float64(defaults), ShouldAlmostEqual, 1.0/3, 0.06)
		})
		Convey("it gets all of them after 30 s", func() {
			got, defaults := countFlows(start.Add(30 * time.Second))
			So(got, ShouldBeGreaterThanOrEqualTo, defaults)
		})
	})
}

func TestUnresponsiveAndSlowTargets(t *testing.T) {
	Convey("A target that leaves connection attempts unanswered gets no new flows", t, func() {
		targets := fourteenTargets()
		_, st, l := newLoadTables(targets)
		for range 20 {
			l.Unanswered(start, targets[0].ID)
		}
		count := placeFlows(NewLoadAware(LoadAwareConfig{}), st, l, start, 1400)
		So(count[targets[0].Name], ShouldEqual, 0)
		Convey("and its share of unanswered attempts decays with time", func() {
			later := start.Add(time.Minute)
			So(l.Observe(later, targets[0].ID).Unanswered, ShouldBeLessThan, 0.2)
		})
		Convey("unless there is no other target", func() {
			for _, target := range targets[1:] {
				l.SetDown(target.ID, true)
			}
			got, kind := NewLoadAware(LoadAwareConfig{}).Choose(start, flow(1), st, l)
			So(kind, ShouldEqual, errkind.None)
			So(got, ShouldEqual, targets[0])
		})
	})
	Convey("A target that answers slowly counts as loaded", t, func() {
		targets := fourteenTargets()
		_, st, l := newLoadTables(targets)
		for _, target := range targets {
			l.Answered(start, target.ID, time.Millisecond)
		}
		for range 50 {
			l.Answered(start, targets[0].ID, 100*time.Millisecond)
		}
		count := placeFlows(NewLoadAware(LoadAwareConfig{}), st, l, start, 7000)
		So(count[targets[0].Name], ShouldBeLessThan, count[targets[3].Name]/4)
	})
}

func TestStaleReportDoesNotCauseHerding(t *testing.T) {
	Convey("Owners that see the same stale report of an idle target send it at most 2.2 times its share", t, func() {
		targets := fourteenTargets()
		for _, target := range targets {
			target.Zone.Name = "a"
		}
		received := 0
		const owners, flowsEach = 8, 700
		for owner := range uint64(owners) {
			_, st, l := newLoadTables(targets)
			for i, target := range targets {
				l.SetReport(target.ID, Report{Connections: 1000 * min(i, 1), At: start})
			}
			for i := range uint64(flowsEach) {
				target, _ := NewLoadAware(LoadAwareConfig{}).Choose(start, flow(owner<<32+i), st, l)
				if target == targets[0] {
					received++
				}
			}
		}
		share := float64(owners*flowsEach) / 14
		So(float64(received), ShouldBeLessThan, 2.2*share)
	})
}

func TestLoadTable(t *testing.T) {
	Convey("In a load table", t, func() {
		targets := fourteenTargets()
		_, _, l := newLoadTables(targets)
		id := targets[0].ID
		Convey("counts survive a change of the lists, also that of a removed target while it has open flows", func() {
			l.Opened(id)
			next, _ := tableOf(targets[1:])
			l.SetTable(start, next)
			So(l.Open(id), ShouldEqual, 1)
			l.Closed(id)
			l.SetTable(start, next)
			So(l.Open(id), ShouldEqual, 0)
			So(l.Observe(start, id), ShouldResemble, Observation{})
		})
		Convey("an older report does not replace a newer one", func() {
			l.SetReport(id, Report{Connections: 7, At: start})
			l.SetReport(id, Report{Connections: 9, At: start.Add(-time.Second)})
			So(l.Observe(start.Add(time.Second), id).FleetOpen, ShouldEqual, 7)
			So(l.Observe(start.Add(time.Second), id).ReportAge, ShouldEqual, time.Second)
		})
		Convey("a report below the owner's own count is raised to that count", func() {
			for range 5 {
				l.Opened(id)
			}
			l.SetReport(id, Report{At: start})
			So(l.Observe(start, id).FleetOpen, ShouldEqual, 5)
		})
		Convey("choosing a target does not allocate", func() {
			_, st, l := newLoadTables(targets)
			var p Policy = NewLoadAware(LoadAwareConfig{})
			So(testing.AllocsPerRun(100, func() { _, _ = p.Choose(start, 7, st, l) }), ShouldEqual, 0)
			So(testing.AllocsPerRun(100, func() { l.Opened(id); l.Closed(id) }), ShouldEqual, 0)
		})
	})
}

func BenchmarkChoose(b *testing.B) {
	_, st, l := newLoadTables(fourteenTargets())
	p := NewLoadAware(LoadAwareConfig{})
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		_, _ = p.Choose(start, flow(i), st, l)
	}
}

func TestExcludingLoads(t *testing.T) {
	Convey("A retried attempt goes to a target that has not been tried", t, func() {
		_, st, l := newLoadTables(fourteenTargets())
		first, _ := NewLoadAware(LoadAwareConfig{}).Choose(start, 7, st, l)
		next, kind := NewLoadAware(LoadAwareConfig{}).Choose(start, 7, st, ExcludingLoads{Loads: l, Tried: []model.TargetID{first.ID}})
		So(kind, ShouldEqual, errkind.None)
		So(next, ShouldNotEqual, first)
	})
}
