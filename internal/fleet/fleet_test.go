package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	testStartTimeout = 30 * time.Second
	testDrainTimeout = 30 * time.Second
	// testDeadline is a request deadline that also holds on a heavily loaded machine.
	testDeadline = 20 * time.Second
)

// loadFirst returns the scenario "first" with deadlines that also hold on a heavily loaded machine.
func loadFirst() *scenario.Scenario {
	s, err := scenario.Load("first")
	So(err, ShouldBeNil)
	for i := range s.Workloads {
		s.Workloads[i].Deadline = testDeadline
	}
	return s
}

// runScenario runs a scenario's callers until during returns, and returns all records of the run.
func runScenario(s *scenario.Scenario, v Variant, during func(ctx context.Context, site *scenario.Site, f *Fleet)) history.History {
	site, err := scenario.Start(s, 1, udpio.System(udpio.Config{}))
	So(err, ShouldBeNil)
	defer site.Close()
	f, err := Start(site, v, nil)
	So(err, ShouldBeNil)
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testStartTimeout)
	defer cancel()
	So(f.WaitReady(ctx), ShouldBeNil)
	So(site.StartCallers(), ShouldBeNil)
	during(ctx, site, f)
	So(site.StopCallers(testDrainTimeout), ShouldEqual, 0)
	return site.History()
}

func sleepFor(d time.Duration) func(context.Context, *scenario.Site, *Fleet) {
	return func(context.Context, *scenario.Site, *Fleet) { time.Sleep(d) }
}

// shouldAnswerEveryRequest checks that there were requests, all were answered, no flow broke and no guarantee was
// violated.
func shouldAnswerEveryRequest(h history.History) {
	sum := scenario.Summarize(h)
	So(sum.Violations, ShouldBeEmpty)
	So(sum.BrokenBy, ShouldBeEmpty)
	So(sum.Answered, ShouldBeGreaterThan, 0)
	So(sum.Answered, ShouldEqual, sum.Requests)
}

func TestEveryVariantServesTheFirstScenario(t *testing.T) {
	Convey("Without faults or changes every request is answered", t, func() {
		for _, v := range Variants() {
			Convey(string(v), func() {
				shouldAnswerEveryRequest(runScenario(loadFirst(), v, sleepFor(2*time.Second)))
			})
		}
	})
}

func TestReplacingDaemonsBreaksNoFlow(t *testing.T) {
	Convey("Every request is answered while both daemons are replaced one after the other", t, func() {
		s := loadFirst()
		h := runScenario(s, VariantDaemon, func(ctx context.Context, site *scenario.Site, f *Fleet) {
			done := make(chan error)
			for _, e := range site.Entries {
				fault := scenario.Fault{Kind: scenario.FaultReplace, Name: e.Name}
				site.RunFaults(ctx, []scenario.Fault{fault}, f, func(_ scenario.Fault, err error) { done <- err })
				So(<-done, ShouldBeNil)
			}
		})
		shouldAnswerEveryRequest(h)
	})
}

func TestCheckFindsDoubleRunInRealHistory(t *testing.T) {
	Convey("The check finds a double run that is added to the records of a real run", t, func() {
		h := runScenario(loadFirst(), VariantTable, sleepFor(time.Second))
		So(history.Check(h), ShouldBeEmpty)
		for _, o := range h.Outcomes {
			if o.Idempotent {
				continue
			}
			h.Runs = append(h.Runs, history.Run{ID: o.ID, Target: "added", Flow: o.Flow, Start: o.Done})
			break
		}
		found := history.Check(h)
		So(len(found), ShouldEqual, 2)
		So(found[0].Rule, ShouldEqual, history.RuleDoubleRun)
		So(found[1].Rule, ShouldEqual, history.RuleAttemptTwice)
	})
}
