package standin

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/model"
)

var (
	serviceAddr = netip.MustParseAddrPort("192.0.2.10:443")
	callersAddr = netip.MustParseAddrPort("127.0.0.1:1")
	targetsAddr = netip.MustParseAddrPort("127.0.0.1:2")
	targetAddr  = netip.MustParseAddrPort("127.0.0.1:10")
	callerAddr  = netip.MustParseAddrPort("127.0.0.1:20")
	testStart   = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

type inFlight struct {
	from, to netip.AddrPort
	data     []byte
}

// simulation delivers datagrams between a caller, the fabric and one target in virtual time. There is no daemon: the
// fabric sends the caller's packets directly to the target.
type simulation struct {
	now    time.Time
	rand   *rand.Rand
	loss   float64
	jitter time.Duration
	caller *Caller
	fabric *Fabric
	target *Target
	queue  timerHeap[inFlight]
}

func newSimulation(seed uint64, w Workload, tc TargetConfig) *simulation {
	source := func() *rand.Rand { seed++; return rand.New(rand.NewPCG(seed, 7)) }
	w.Service = serviceAddr
	tc.Name, tc.Gateway, tc.Rand = "t1", targetsAddr, source()
	s := &simulation{now: testStart, rand: source()}
	s.fabric = NewFabric(FabricConfig{ReturnPaths: map[netip.AddrPort]model.ReturnPath{serviceAddr: model.ReturnDirect}, Rand: source()})
	s.fabric.SetEntries(s.now, []FabricEntry{{Data: targetAddr}})
	s.target = NewTarget(s.now, tc)
	s.caller = NewCaller(s.now, CallerConfig{
		Name: "c1", Gateway: callersAddr, Sources: []netip.Addr{netip.MustParseAddr("10.0.0.1")},
		Workloads: []Workload{w}, Rand: source(),
	})
	return s
}

func (s *simulation) send(from netip.AddrPort, out []Datagram) {
	for _, d := range out {
		if s.rand.Float64() < s.loss {
			continue
		}
		at := s.now.Add(time.Millisecond + time.Duration(s.rand.Float64()*float64(s.jitter)))
		heap.Push(&s.queue, timer[inFlight]{at: at, key: inFlight{from: from, to: d.Addr, data: d.Data}})
	}
}

func (s *simulation) deliver(f inFlight) {
	d := Datagram{Addr: f.from, Data: f.data}
	switch f.to {
	case callersAddr:
		s.send(callersAddr, s.fabric.Handle(s.now, d))
	case targetsAddr:
		s.send(targetsAddr, s.fabric.HandleTarget(s.now, d))
	case targetAddr:
		s.send(targetAddr, s.target.Handle(s.now, d))
	case callerAddr:
		s.send(callerAddr, s.caller.Handle(s.now, d))
	}
}

// run advances the virtual time by d and runs everything that is due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		next := earliest(earliest(s.caller.Next(), s.target.Next()), (*timerQueue[inFlight])(&s.queue).next())
		if next.IsZero() || next.After(end) {
			s.now = end
			return
		}
		if next.After(s.now) {
			s.now = next
		}
		if f, ok := (*timerQueue[inFlight])(&s.queue).pop(s.now); ok {
			s.deliver(f)
		}
		s.send(callerAddr, s.caller.Tick(s.now))
		s.send(targetAddr, s.target.Tick(s.now))
	}
}

// finish stops the caller, waits for its sessions to end and returns the history of caller and target.
func (s *simulation) finish() history.History {
	s.send(callerAddr, s.caller.Stop(s.now))
	s.run(time.Minute)
	h := s.caller.History()
	h.Add(s.target.History())
	return h
}

func countAttemptResults(h history.History) map[history.AttemptResult]int {
	counts := make(map[history.AttemptResult]int)
	for _, o := range h.Outcomes {
		counts[o.AttemptResult]++
	}
	return counts
}

func countFlowResults(h history.History) map[history.FlowResult]int {
	counts := make(map[history.FlowResult]int)
	for _, f := range h.Flows {
		counts[f.Result]++
	}
	return counts
}

func TestWorkloadsAreServed(t *testing.T) {
	workloads := []Workload{
		{Name: "hold", Kind: WorkloadHold, Rate: 20},
		{Name: "bulk", Kind: WorkloadBulk, Rate: 5, AnswerBytes: 100_000},
		{Name: "stream", Kind: WorkloadStream, Sessions: 10, Interval: 300 * time.Millisecond},
		{Name: "channel", Kind: WorkloadChannel, Sessions: 10, Interval: 300 * time.Millisecond},
	}
	links := []struct {
		name   string
		loss   float64
		jitter time.Duration
	}{
		{"clean link", 0, 0},
		{"reordering link", 0, 5 * time.Millisecond},
		{"link that loses 5 %", 0.05, 2 * time.Millisecond},
	}
	Convey("Every flow of every workload finishes and every request gets a response", t, func() {
		for _, w := range workloads {
			for _, l := range links {
				Convey(w.Name+" over a "+l.name, func() {
					sim := newSimulation(1, w, TargetConfig{Slots: 8})
					sim.loss, sim.jitter = l.loss, l.jitter
					sim.run(12 * time.Second)
					h := sim.finish()
					So(history.Check(h), ShouldBeEmpty)
					So(countAttemptResults(h)[history.AttemptAnswered], ShouldBeGreaterThan, 50)
					So(countAttemptResults(h)[history.AttemptUnknown], ShouldEqual, 0)
					So(countFlowResults(h), ShouldResemble, map[history.FlowResult]int{history.FlowFinished: len(h.Flows)})
					So(sim.caller.OpenFlowCount(), ShouldEqual, 0)
					So(sim.target.Connections(), ShouldEqual, 0)
				})
			}
		}
	})
}
