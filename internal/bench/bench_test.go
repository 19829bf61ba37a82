package bench

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/model"
)

func TestMaxOverMean(t *testing.T) {
	cases := []struct {
		counts []int
		want   float64
	}{
		{nil, 0}, {[]int{0, 0}, 0}, {[]int{5, 5, 5}, 1}, {[]int{6, 3, 3}, 1.5}, {[]int{4, 0, 0, 0}, 4},
	}
	Convey("Max over mean", t, func() {
		for _, c := range cases {
			So(maxOverMean(c.counts), ShouldEqual, c.want)
		}
	})
}

func TestDrainingTargetsAreExcludedFromImbalance(t *testing.T) {
	Convey("A draining target counts in the open flows, but not in the max/mean ratios", t, func() {
		s := sampleService("s", []scenario.TargetLoad{
			{Connections: 10, Reported: standin.LoadReport{Connections: 20}},
			{Connections: 10, Reported: standin.LoadReport{Connections: 10}},
			{Connections: 1, Draining: true},
		})
		So(s.Open, ShouldEqual, 21)
		So(s.FlowsMaxOverMean, ShouldEqual, 1)
		So(s.ReportedMaxOverMean, ShouldEqual, 20.0/15)
	})
}

func TestLowestRevisions(t *testing.T) {
	Convey("The lowest revision of each list is taken from the ready members only", t, func() {
		members := []fleet.Status{
			{State: fleet.StateReady, Revisions: model.Revisions{Customers: 2, Plans: 5, Machines: 9}},
			{State: fleet.StateKilled, Revisions: model.Revisions{}},
			{State: fleet.StateReady, Revisions: model.Revisions{Customers: 3, Plans: 4, Machines: 9}},
		}
		low := lowestRevisions(members)
		So(low, ShouldResemble, model.Revisions{Customers: 2, Plans: 4, Machines: 9})
		So(revisionOf(low, standin.ListPlans), ShouldEqual, 4)
	})
}

func TestRates(t *testing.T) {
	Convey("Rates are computed from the difference between the first and the last status", t, func() {
		first := []fleet.Status{{Packets: 100, Forwards: 50, ControlBytes: 1000}, {}}
		last := []fleet.Status{{Packets: 200, Forwards: 60, ControlBytes: 3000}, {Packets: 100}}
		So(forwardedShare(first, last), ShouldEqual, 0.05)
		So(controlRate(first, last, 10), ShouldEqual, 100)
	})
}

func TestLatencies(t *testing.T) {
	Convey("Latencies cover the answered requests of each workload", t, func() {
		start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		var h history.History
		for i := range 100 {
			h.Outcomes = append(h.Outcomes, history.Outcome{
				Workload: "w", AttemptResult: history.AttemptAnswered, Sent: start, Done: start.Add(time.Duration(i+1) * time.Millisecond),
			})
		}
		h.Outcomes = append(h.Outcomes, history.Outcome{Workload: "w", AttemptResult: history.AttemptNotRun})
		got := latencies(h)
		So(len(got), ShouldEqual, 1)
		So(got[0].Count, ShouldEqual, 100)
		So(got[0].P50, ShouldAlmostEqual, 50, 0.1)
		So(got[0].P99, ShouldAlmostEqual, 99, 0.1)
	})
}

func TestRunWithBaseline(t *testing.T) {
	Convey("A short run with a baseline gives a complete result and a plot", t, func() {
		s, err := scenario.Load("first")
		So(err, ShouldBeNil)
		s.Warmup, s.Duration = 200*time.Millisecond, time.Second
		s.Faults = []scenario.Fault{
			{Kind: scenario.FaultDrainTarget, Name: "booking-1"},
			{Kind: scenario.FaultAddTarget, Name: "booking"},
		}
		r, err := Run(context.Background(), Config{Scenario: s, Variant: fleet.VariantTable, Seed: 1})
		So(err, ShouldBeNil)
		So(r.Summary.Violations, ShouldBeEmpty)
		So(r.Summary.Answered, ShouldBeGreaterThan, 0)
		So(len(r.Imbalance), ShouldEqual, 2)
		So(len(r.ChangeLatency), ShouldEqual, 2)
		var text strings.Builder
		r.Print(&text)
		So(text.String(), ShouldContainSubstring, "promises broken: 0")
		path := filepath.Join(t.TempDir(), "plot.svg")
		So(Plot(path, []*Result{r}), ShouldBeNil)
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(string(data), ShouldContainSubstring, "<svg")
	})
}

func TestImbalanceWhileTargetsJoin(t *testing.T) {
	Convey("A target that joins during the run is included from then on", t, func() {
		got := imbalanceOf("s", []ServiceSample{
			{Open: 4, FlowsMaxOverMean: 1, busy: []int{2, 2}},
			{Open: 6, FlowsMaxOverMean: 2, busy: []int{2, 2, 1}},
		})
		So(got.FlowsMean, ShouldEqual, 1.5)
		So(got.FlowsWorst, ShouldEqual, 2)
		So(got.BusyMaxOverMean, ShouldEqual, 4.0/3)
	})
}
