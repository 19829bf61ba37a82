package health

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func service(n int) *model.Service {
	svc := &model.Service{Name: "booking"}
	for i := range n {
		name := fmt.Sprintf("booking-%02d", i)
		svc.Targets = append(svc.Targets, &model.Target{
			ID:             model.TargetIDOf(name),
			Name:           name,
			Service:        svc.Name,
			Zone:           model.Zone{Region: "r", Name: string(rune('a' + i%3))},
			Report:         netip.MustParseAddrPort("127.0.0.1:1"),
			Weight:         1,
			MaxConnections: 2000,
			Slots:          3,
		})
	}
	return svc
}

// fixture is a monitor that probes every target of one service.
type fixture struct {
	svc   *model.Service
	loads *placement.LoadTable
	m     *Monitor
}

func newFixture(n int) fixture {
	svc := service(n)
	s := model.NewSnapshot(model.Revisions{}, nil, nil, []*model.Service{svc}, nil, nil)
	loads := placement.NewLoadTable()
	loads.SetTable(start, placement.NewTable(s))
	m := New(Config{}, 1, loads)
	m.SetTargets([]*model.Service{svc})
	m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{1} }, 1)
	return fixture{svc: svc, loads: loads, m: m}
}

func (f fixture) id(i int) model.TargetID {
	return f.svc.Targets[i].ID
}

func (f fixture) down(now time.Time, i int) bool {
	f.m.Tick(now)
	return f.loads.Observe(now, f.id(i)).Down
}

func (f fixture) reason(now time.Time, i int) Reason {
	return f.m.Statuses(now)[i].Reason
}

func TestProbers(t *testing.T) {
	Convey("Each target has two probers if there are enough daemons, and the probes are spread over the daemons", t, func() {
		for _, daemons := range []int{1, 2, 3, 75} {
			var live []model.MachineID
			for i := range daemons {
				live = append(live, model.MachineID(1+i*7919))
			}
			load := make(map[model.MachineID]int)
			const targets = 750
			for target := range model.TargetID(targets) {
				probers := 0
				for _, self := range live {
					if IsProber(self, 1000+target*31, live, 2) {
						probers++
						load[self]++
					}
				}
				So(probers, ShouldEqual, min(2, daemons))
			}
			for _, n := range load {
				So(n, ShouldBeLessThanOrEqualTo, 2*2*targets/daemons)
			}
		}
	})
	Convey("A daemon outside the list probes nothing", t, func() {
		So(IsProber(9, 1, []model.MachineID{1, 2}, 3), ShouldBeFalse)
	})
}

func TestHysteresis(t *testing.T) {
	Convey("A probed target", t, func() {
		f := newFixture(4)
		probe := func(ok bool) {
			f.m.HandleProbe(start, Result{Target: f.id(0), OK: ok})
		}
		Convey("goes down with the third failure in a row and up with the second success", func() {
			probe(false)
			probe(false)
			So(f.down(start, 0), ShouldBeFalse)
			probe(true)
			probe(false)
			probe(false)
			So(f.down(start, 0), ShouldBeFalse)
			probe(false)
			So(f.down(start, 0), ShouldBeTrue)
			So(f.reason(start, 0), ShouldEqual, ReasonProbesFail)
			probe(true)
			So(f.down(start, 0), ShouldBeTrue)
			probe(true)
			So(f.down(start, 0), ShouldBeFalse)
		})
		Convey("is not ejected for failed probes while connection attempts get responses", func() {
			for range 5 {
				probe(false)
			}
			f.loads.Answered(start, f.id(0), time.Millisecond)
			So(f.down(start, 0), ShouldBeFalse)
			So(f.reason(start, 0), ShouldEqual, ReasonOnlyProbesFail)
			So(f.down(start.Add(4*time.Second), 0), ShouldBeTrue)
		})
	})
}

func TestUnresponsiveTarget(t *testing.T) {
	Convey("A target whose probes succeed but that does not respond to connection attempts", t, func() {
		f := newFixture(4)
		miss := func(now time.Time, n int) {
			for range n {
				f.loads.Unanswered(now, f.id(0))
			}
		}
		f.m.HandleProbe(start, Result{Target: f.id(0), OK: true})
		miss(start, 5)
		So(f.down(start, 0), ShouldBeTrue)
		So(f.reason(start, 0), ShouldEqual, ReasonUnresponsive)
		Convey("is tried again after the ejection, and the first missed response doubles the time", func() {
			later := start.Add(5 * time.Second)
			So(f.down(later, 0), ShouldBeFalse)
			miss(later.Add(time.Millisecond), 1)
			later = later.Add(time.Millisecond)
			So(f.down(later, 0), ShouldBeTrue)
			So(f.down(later.Add(9*time.Second), 0), ShouldBeTrue)
			So(f.down(later.Add(10*time.Second), 0), ShouldBeFalse)
		})
		Convey("is not ejected again for attempts from before the ejection", func() {
			miss(start.Add(time.Second), 9)
			So(f.down(start.Add(5*time.Second), 0), ShouldBeFalse)
		})
		Convey("is readmitted after one response", func() {
			f.loads.Answered(start.Add(time.Second), f.id(0), time.Millisecond)
			So(f.down(start.Add(time.Second), 0), ShouldBeFalse)
		})
	})
	Convey("With daemons that each saw a few missed responses", t, func() {
		reporter := newFixture(4)
		reporter.m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{8, 9} }, 2)
		reporter.loads.Unanswered(start, reporter.id(0))
		reporter.loads.Unanswered(start, reporter.id(0))
		sums, kind := DecodeSummaries(nil, reporter.m.AppendTo(start, nil, 200))
		So(kind, ShouldEqual, errkind.None)
		f := newFixture(4)
		f.m.HandleSummaries(start, 2, sums)
		Convey("their missed responses add up with those of this daemon", func() {
			f.loads.Unanswered(start, f.id(0))
			f.loads.Unanswered(start, f.id(0))
			So(f.down(start, 0), ShouldBeFalse)
			f.loads.Unanswered(start, f.id(0))
			So(f.down(start, 0), ShouldBeTrue)
			So(f.reason(start, 0), ShouldEqual, ReasonUnresponsive)
		})
		Convey("the reports of two of them suffice if this daemon has no flows on the target", func() {
			So(f.down(start, 0), ShouldBeFalse)
			f.m.HandleSummaries(start, 3, sums)
			f.m.HandleSummaries(start, 4, sums)
			So(f.down(start, 0), ShouldBeTrue)
			So(f.reason(start, 0), ShouldEqual, ReasonPeersUnresponsive)
			So(f.down(start.Add(5*time.Second), 0), ShouldBeFalse)
		})
		Convey("a response to an attempt of this daemon outweighs their reports", func() {
			f.loads.Answered(start, f.id(0), time.Millisecond)
			f.m.HandleSummaries(start, 3, sums)
			f.m.HandleSummaries(start, 4, sums)
			So(f.down(start, 0), ShouldBeFalse)
		})
		Convey("a reporting daemon reports once that its missed responses are over", func() {
			reporter.loads.Answered(start, reporter.id(0), time.Millisecond)
			again, _ := DecodeSummaries(nil, reporter.m.AppendTo(start, nil, 200))
			So(again[0], ShouldResemble, Summary{Target: reporter.id(0)})
			So(reporter.m.AppendTo(start, nil, 200), ShouldBeEmpty)
		})
	})
}

func TestMaxEjectedShare(t *testing.T) {
	Convey("At most half of a service's targets are ejected, those with this daemon's own evidence first", t, func() {
		f := newFixture(6)
		for i := range 5 {
			for range 3 {
				f.m.HandleProbe(start, Result{Target: f.id(i)})
			}
		}
		for range 5 {
			f.loads.Unanswered(start, f.id(4))
		}
		f.m.Tick(start)
		down, kept := 0, 0
		for _, s := range f.m.Statuses(start) {
			if s.Down {
				down++
			}
			if s.Reason == ReasonEjectionLimit {
				kept++
			}
		}
		So(down, ShouldEqual, 3)
		So(kept, ShouldEqual, 2)
		So(f.loads.Observe(start, f.id(4)).Down, ShouldBeTrue)
	})
	Convey("The only target of a service is never ejected", t, func() {
		f := newFixture(1)
		for range 9 {
			f.loads.Unanswered(start, f.id(0))
		}
		So(f.down(start, 0), ShouldBeFalse)
		So(f.reason(start, 0), ShouldEqual, ReasonEjectionLimit)
	})
}

func TestMisleadingReports(t *testing.T) {
	Convey("With a daemon that has flows on a target", t, func() {
		f := newFixture(4)
		report := func(connections int) {
			f.m.HandleProbe(start, Result{Target: f.id(0), OK: true, Report: placement.Report{Connections: connections}})
			f.m.Tick(start)
		}
		for range 100 {
			f.loads.Opened(f.id(0))
		}
		Convey("a report that the target is idle is dropped and the reason shown", func() {
			report(0)
			So(f.reason(start, 0), ShouldEqual, ReasonReportTooLow)
			So(f.loads.Observe(start, f.id(0)).FleetKnown, ShouldBeFalse)
		})
		Convey("a report that the target is full although it has few flows is dropped and the reason shown", func() {
			report(2000)
			So(f.reason(start, 0), ShouldEqual, ReasonReportTooHigh)
			So(f.loads.Observe(start, f.id(0)).FleetKnown, ShouldBeFalse)
		})
		Convey("a plausible report is used, also if another daemon read it", func() {
			report(150)
			So(f.loads.Observe(start, f.id(0)).FleetOpen, ShouldEqual, 150)
			f.m.HandleSummaries(start.Add(time.Second), 2, []Summary{
				{Target: f.id(0), Reported: true, Connections: 170, Age: 200 * time.Millisecond},
			})
			observed := f.loads.Observe(start.Add(time.Second), f.id(0))
			So(observed.FleetOpen, ShouldEqual, 170)
			So(observed.ReportAge, ShouldEqual, 200*time.Millisecond)
		})
	})
}

func TestReportTooLow(t *testing.T) {
	Convey("A report is rejected if it is too low for the number of flows that the owner's share implies", t, func() {
		for _, c := range []struct {
			reported, open, owners int
			want                   bool
		}{
			{reported: 0, open: 21, owners: 8, want: true},
			{reported: 0, open: 3, owners: 8, want: false},
			{reported: 200, open: 26, owners: 8, want: false},
			{reported: 120, open: 26, owners: 8, want: false},
			{reported: 95, open: 100, owners: 1, want: false},
			{reported: 40, open: 100, owners: 1, want: true},
			{reported: 500, open: 6, owners: 300, want: false},
		} {
			So(reportTooLow(c.reported, c.open, c.owners), ShouldEqual, c.want)
		}
	})
}

func TestAppendToLimit(t *testing.T) {
	Convey("A section stays within its limit, and every target is reported in turn", t, func() {
		f := newFixture(30)
		for _, target := range f.svc.Targets {
			f.m.HandleProbe(start, Result{Target: target.ID, OK: true, Report: placement.Report{Connections: 500}})
		}
		reported := make(map[model.TargetID]bool)
		for range 4 {
			section := f.m.AppendTo(start, nil, 100)
			So(len(section), ShouldBeLessThanOrEqualTo, 100)
			sums, _ := DecodeSummaries(nil, section)
			for _, s := range sums {
				reported[s.Target] = true
			}
		}
		So(len(reported), ShouldEqual, 30)
	})
}

func TestSummaryRoundTrip(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		s := Summary{
			Target:    model.TargetID(rapid.Uint32Min(1).Draw(r, "target")),
			Probed:    rapid.Bool().Draw(r, "probed"),
			ProbeDown: rapid.Bool().Draw(r, "down"),
			Misses:    rapid.Uint8().Draw(r, "misses"),
			Reported:  rapid.Bool().Draw(r, "reported"),
		}
		if s.Reported {
			s.Shedding = rapid.Bool().Draw(r, "shedding")
			s.Connections = rapid.Uint32().Draw(r, "connections")
			s.BusySlots = rapid.Uint8().Draw(r, "busy")
			s.Age = time.Duration(rapid.IntRange(0, 255).Draw(r, "age")) * SummaryAgeStep
		}
		b := s.AppendTo(s.AppendTo(nil))
		got, kind := DecodeSummaries(nil, b)
		if kind != errkind.None || len(got) != 2 || got[0] != s || got[1] != s {
			r.Fatalf("%+v became %+v (%s)", s, got, kind)
		}
		cut := rapid.IntRange(0, len(b)).Draw(r, "cut")
		DecodeSummaries(nil, b[:cut])
	})
}

func TestDue(t *testing.T) {
	Convey("Every probed target is due once per interval, and the probes are spread over it", t, func() {
		f := newFixture(30)
		seen := make(map[string]int)
		most := 0
		for tick := range 50 {
			due := f.m.Due(start.Add(time.Duration(tick)*100*time.Millisecond), nil)
			most = max(most, len(due))
			for _, target := range due {
				seen[target.Name]++
			}
		}
		So(len(seen), ShouldEqual, 30)
		for _, n := range seen {
			So(n, ShouldBeBetweenOrEqual, 4, 5)
		}
		So(most, ShouldBeLessThan, 15)
	})
	Convey("A daemon that does not probe any target has nothing due", t, func() {
		f := newFixture(4)
		f.m.SetLive(func(model.Zone) []model.MachineID { return []model.MachineID{2, 3} }, 2)
		So(f.m.Due(start.Add(time.Hour), nil), ShouldBeEmpty)
	})
}

func TestProber(t *testing.T) {
	Convey("The prober reads a target's report over HTTP", t, func() {
		probed := make(chan struct{}, 16)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"connections":7,"busy_slots":2,"shedding":true,"warming":false}`)
			probed <- struct{}{}
		}))
		defer server.Close()
		target := service(1).Targets[0]
		target.Report = netip.MustParseAddrPort(server.Listener.Addr().String())
		f := newFixture(1)
		p := NewProber(ProberConfig{Timeout: 5 * time.Second}, f.m)
		defer p.client.CloseIdleConnections()
		report, err := p.fetchReport(context.Background(), target)
		So(err, ShouldBeNil)
		So(report, ShouldResemble, placement.Report{Connections: 7, BusySlots: 2, Shedding: true})

		Convey("and stops with its context", func() {
			<-probed
			f.svc.Targets[0].Report = target.Report
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				p.Run(ctx)
				close(done)
			}()
			<-probed
			cancel()
			<-done
		})
	})
	Convey("A refused connection is a failed probe", t, func() {
		f := newFixture(1)
		p := NewProber(ProberConfig{}, f.m)
		_, err := p.fetchReport(context.Background(), f.svc.Targets[0])
		So(err, ShouldNotBeNil)
	})
}
