package standin

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
)

func reasons(h history.History) map[string]int {
	counts := make(map[string]int)
	for _, o := range h.Outcomes {
		if o.AttemptResult == history.AttemptNotRun {
			counts[o.Reason]++
		}
	}
	return counts
}

func causes(h history.History) map[history.Cause]int {
	counts := make(map[history.Cause]int)
	for _, f := range h.Flows {
		if f.Result == history.FlowBroken {
			counts[f.Cause]++
		}
	}
	return counts
}

func TestTargetShedsLoad(t *testing.T) {
	overload := Workload{Name: "crowd", Kind: WorkloadHold, Rate: 200, Think: 10 * time.Millisecond}
	Convey("An overloaded target refuses requests, never runs the refused attempts, and serves the caller later", t, func() {
		Convey("with a not-run answer", func() {
			sim := newSimulation(2, overload, TargetConfig{Slots: 1, QueueLimit: 2, ServiceTime: 5 * time.Millisecond})
			sim.run(5 * time.Second)
			h := sim.finish()
			So(history.Check(h), ShouldBeEmpty)
			So(reasons(h)["shed"], ShouldBeGreaterThan, 0)
			So(countFlowResults(h)[history.FlowBroken], ShouldEqual, 0)
		})
		Convey("with a reset of the new connection", func() {
			sim := newSimulation(2, overload, TargetConfig{Slots: 1, QueueLimit: 2, ServiceTime: 5 * time.Millisecond, Shed: ShedReset})
			sim.run(5 * time.Second)
			h := sim.finish()
			So(history.Check(h), ShouldBeEmpty)
			So(countFlowResults(h)[history.FlowRefused], ShouldBeGreaterThan, 0)
			So(countFlowResults(h)[history.FlowBroken], ShouldEqual, 0)
		})
		Convey("with a reset while it is draining, and open flows continue", func() {
			sim := newSimulation(2, Workload{Name: "s", Kind: WorkloadStream, Sessions: 5}, TargetConfig{})
			sim.run(5 * time.Second)
			sim.target.SetDraining(true)
			sim.caller.startWorkload(sim.now, Workload{Name: "late", Kind: WorkloadStream, Service: serviceAddr, Sessions: 1})
			sim.run(5 * time.Second)
			So(sim.target.Connections(), ShouldEqual, 5)
			h := sim.finish()
			So(countFlowResults(h)[history.FlowFinished], ShouldEqual, 5)
			So(countFlowResults(h)[history.FlowRefused], ShouldBeGreaterThan, 0)
			So(history.Check(h), ShouldBeEmpty)
		})
		Convey("with a reset at its connection limit", func() {
			sim := newSimulation(2, Workload{Name: "s", Kind: WorkloadStream, Sessions: 20}, TargetConfig{MaxConnections: 10})
			sim.run(3 * time.Second)
			So(sim.target.Connections(), ShouldEqual, 10)
			So(history.Check(sim.finish()), ShouldBeEmpty)
		})
	})
}

func TestDeadlinesAndCancellations(t *testing.T) {
	slow := Workload{Name: "slow", Kind: WorkloadHold, Rate: 20, Deadline: 300 * time.Millisecond}
	Convey("A request past its deadline is cancelled, and the target reports whether it had started", t, func() {
		sim := newSimulation(3, slow, TargetConfig{Slots: 1, QueueLimit: 1000, ServiceTime: 200 * time.Millisecond})
		// Jitter reorders the packets, so that some cancellations arrive while their requests are still queued.
		sim.jitter = 80 * time.Millisecond
		sim.run(5 * time.Second)
		h := sim.finish()
		So(history.Check(h), ShouldBeEmpty)
		So(reasons(h)["cancelled"]+reasons(h)["deadline"], ShouldBeGreaterThan, 0)
		aborted := 0
		for _, r := range h.Runs {
			if r.Aborted {
				aborted++
			}
		}
		So(aborted, ShouldBeGreaterThan, 0)
	})
}

func TestUnresponsiveTarget(t *testing.T) {
	streams := Workload{Name: "s", Kind: WorkloadStream, Sessions: 4, Interval: 200 * time.Millisecond, Deadline: 2 * time.Second}
	Convey("A caller times out on a flow that gets no more responses, while its other flows continue", t, func() {
		sim := newSimulation(4, streams, TargetConfig{})
		sim.run(5 * time.Second)
		sim.target.DropFlow(sim.target.Flows()[0])
		sim.run(30 * time.Second)
		So(causes(sim.caller.History()), ShouldResemble, map[history.Cause]int{history.CauseTimedOut: 1})
		So(len(sim.caller.Flows("s")), ShouldEqual, 4)
	})
	Convey("An unresponsive target still reports that it is healthy", t, func() {
		sim := newSimulation(4, streams, TargetConfig{})
		sim.run(3 * time.Second)
		sim.target.SetFault(FaultUnresponsive)
		sim.run(30 * time.Second)
		So(causes(sim.caller.History())[history.CauseTimedOut], ShouldEqual, 4)
		So(sim.target.Report(sim.now).Shedding, ShouldBeFalse)
	})
}

func TestReportsAndColdStart(t *testing.T) {
	w := Workload{Name: "s", Kind: WorkloadStream, Sessions: 5}
	Convey("Load reports show the actual load, or the false load of the configured fault", t, func() {
		sim := newSimulation(5, w, TargetConfig{ColdFor: 10 * time.Second})
		sim.run(5 * time.Second)
		So(sim.target.Report(sim.now).Connections, ShouldEqual, 5)
		So(sim.target.Report(sim.now).Warming, ShouldBeTrue)
		sim.run(6 * time.Second)
		So(sim.target.Report(sim.now).Warming, ShouldBeFalse)
		sim.target.SetFault(FaultReportsFull)
		So(sim.target.Report(sim.now), ShouldResemble, LoadReport{Connections: 2000, BusySlots: 3, Shedding: true})
		sim.target.SetFault(FaultReportsIdle)
		So(sim.target.Report(sim.now), ShouldResemble, LoadReport{})
	})
}

func TestFabricDetectsFailedEntryVMs(t *testing.T) {
	Convey("The fabric keeps sending packets to a failed entry VM until it detects the failure", t, func() {
		sim := newSimulation(6, Workload{Name: "h", Kind: WorkloadHold, Rate: 1}, TargetConfig{})
		other := netip.MustParseAddrPort("127.0.0.1:11")
		sim.fabric.SetEntries(sim.now, []FabricEntry{{Data: targetAddr}, {Data: other}})
		sim.fabric.SetEntries(sim.now, []FabricEntry{{Data: targetAddr}})
		So(len(sim.fabric.entries), ShouldEqual, 2)
		So(sim.fabric.Next(), ShouldEqual, sim.now.Add(time.Second))
		sim.fabric.Tick(sim.now.Add(time.Second))
		So(len(sim.fabric.entries), ShouldEqual, 1)
	})
}

func TestFabricDuringPartition(t *testing.T) {
	Convey("While two zones are partitioned, a caller's packets go only to the entry VMs that it can reach", t, func() {
		sim := newSimulation(7, Workload{Name: "h", Kind: WorkloadHold, Rate: 100}, TargetConfig{})
		other := netip.MustParseAddrPort("127.0.0.1:11")
		sim.fabric.SetEntries(sim.now, []FabricEntry{{Data: targetAddr, Place: "a"}, {Data: other, Place: "b"}})
		sim.fabric.cfg.CallerPlace = func(netip.Addr) Place { return "a" }
		sim.fabric.Cut("b", "a", true)
		sim.run(2 * time.Second)
		h := sim.finish()
		So(countFlowResults(h), ShouldResemble, map[history.FlowResult]int{history.FlowFinished: len(h.Flows)})
		So(len(h.Flows), ShouldBeGreaterThan, 100)
	})
}
