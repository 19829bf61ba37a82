package placementlab

import (
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	. "github.com/smartystreets/goconvey/convey"
)

// shortScenario returns a short scenario with the first workload.
func shortScenario(f Fault, seed uint64) Scenario {
	sc := NewScenario(Workloads[0], f, seed)
	sc.Warmup = 60 * time.Second
	sc.Measure = 60 * time.Second
	return sc
}

func candidate(name string) Candidate {
	for _, c := range Candidates() {
		if c.Name == name {
			return c
		}
	}
	panic("unknown candidate: " + name)
}

// results executes the runs that the tests evaluate, once and concurrently: plain rendezvous hashing and
// the default policy ("chosen") under every fault, and the default policy without a fault for two more
// seeds.
var results = sync.OnceValue(func() []Result {
	var runs []func() Result
	for _, f := range Faults {
		runs = append(runs, func() Result { return Run(shortScenario(f, 1), candidate("plain")) })
		runs = append(runs, func() Result { return Run(shortScenario(f, 1), candidate("chosen")) })
	}
	for _, seed := range []uint64{2, 3} {
		runs = append(runs, func() Result { return Run(shortScenario(Healthy, seed), candidate("chosen")) })
	}
	return runAll(runs, 4)
})

func resultOf(f Fault, policy string) Result {
	for _, r := range results() {
		if r.Fault == f && r.Policy == policy {
			return r
		}
	}
	panic("no result for this fault and policy")
}

func TestRunsAreDeterministic(t *testing.T) {
	Convey("Two runs with the same seed give the same result", t, func() {
		So(Run(shortScenario(FalselyIdle, 1), candidate("chosen")), ShouldResemble, resultOf(FalselyIdle, "chosen"))
	})
}

func TestSteadyStateBalance(t *testing.T) {
	Convey("Without a fault, at current production size, max/mean of flows is at most 1.02 with at most 6 % exceptions", t, func() {
		healthy := lo.Filter(results(), func(r Result, _ int) bool { return r.Fault == Healthy && r.Policy == "chosen" })
		So(healthy, ShouldHaveLength, 3)
		mean := Means(healthy)[0]
		So(mean.FlowsMax, ShouldBeLessThanOrEqualTo, 1.02)
		So(mean.Exceptions, ShouldBeLessThanOrEqualTo, 0.06)
	})
}

func TestFaults(t *testing.T) {
	Convey("The default policy balances flows at least as well as plain hashing under every fault", t, func() {
		for _, f := range Faults {
			So(resultOf(f, "chosen").FlowsMax, ShouldBeLessThanOrEqualTo, resultOf(f, "plain").FlowsMax)
		}
	})
	Convey("An unresponsive target that reports itself idle gets almost no new flows after 5 s", t, func() {
		So(resultOf(FalselyIdle, "chosen").AvoidedAfter, ShouldBeBetweenOrEqual, 0, 5)
	})
	Convey("A draining target gets no new flow from 3 s after the announcement on", t, func() {
		So(resultOf(Drain, "chosen").LateFlows, ShouldEqual, 0)
	})
}

func TestMeans(t *testing.T) {
	Convey("Means are taken over the seeds of a case; different cases stay separate", t, func() {
		means := Means([]Result{
			{Policy: "a", Seed: 1, FlowsMax: 1, LateFlows: 1, Refused: map[string]int{"service_full": 2}},
			{Policy: "a", Seed: 2, FlowsMax: 3, LateFlows: 2, Refused: map[string]int{"service_full": 1}},
			{Policy: "b", Seed: 1, FlowsMax: 5},
		})
		So(means, ShouldHaveLength, 2)
		So(means[0].FlowsMax, ShouldEqual, 2)
		So(means[0].FlowsMaxHighest, ShouldEqual, 3)
		So(means[0].Refused["service_full"], ShouldEqual, 3)
		So(means[1].FlowsMax, ShouldEqual, 5)
	})
}
