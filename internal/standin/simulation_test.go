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
	x := &simulation{now: testStart, rand: source()}
	x.fabric = NewFabric(FabricConfig{Returns: map[netip.AddrPort]model.ReturnPath{serviceAddr: model.ReturnDirect}, Rand: source()})
	x.fabric.SetEntries(x.now, []FabricEntry{{Data: targetAddr}})
	x.target = NewTarget(x.now, tc)
	x.caller = NewCaller(x.now, CallerConfig{
		Name: "c1", Gateway: callersAddr, Sources: []netip.Addr{netip.MustParseAddr("10.0.0.1")},
		Workloads: []Workload{w}, Rand: source(),
	})
	return x
}

func (x *simulation) send(from netip.AddrPort, out []Datagram) {
	for _, d := range out {
		if x.rand.Float64() < x.loss {
			continue
		}
		at := x.now.Add(time.Millisecond + time.Duration(x.rand.Float64()*float64(x.jitter)))
		heap.Push(&x.queue, timer[inFlight]{at: at, key: inFlight{from: from, to: d.Addr, data: d.Data}})
	}
}

func (x *simulation) deliver(f inFlight) {
	d := Datagram{Addr: f.from, Data: f.data}
	switch f.to {
	case callersAddr:
		x.send(callersAddr, x.fabric.Handle(x.now, d))
	case targetsAddr:
		x.send(targetsAddr, x.fabric.HandleTarget(x.now, d))
	case targetAddr:
		x.send(targetAddr, x.target.Handle(x.now, d))
	case callerAddr:
		x.send(callerAddr, x.caller.Handle(x.now, d))
	}
}

// run advances the virtual time by d and runs everything that is due.
func (x *simulation) run(d time.Duration) {
	end := x.now.Add(d)
	for {
		next := earliest(earliest(x.caller.Next(), x.target.Next()), (*timerQueue[inFlight])(&x.queue).next())
		if next.IsZero() || next.After(end) {
			x.now = end
			return
		}
		if next.After(x.now) {
			x.now = next
		}
		if f, ok := (*timerQueue[inFlight])(&x.queue).pop(x.now); ok {
			x.deliver(f)
		}
		x.send(callerAddr, x.caller.Tick(x.now))
		x.send(targetAddr, x.target.Tick(x.now))
	}
}

// finish stops the caller, waits for its sessions to end and returns the history of caller and target.
func (x *simulation) finish() history.History {
	x.send(callerAddr, x.caller.Stop(x.now))
	x.run(time.Minute)
	h := x.caller.History()
	h.Add(x.target.History())
	return h
}

func countFates(h history.History) map[history.Fate]int {
	counts := make(map[history.Fate]int)
	for _, o := range h.Outcomes {
		counts[o.Fate]++
	}
	return counts
}

func countResults(h history.History) map[history.FlowResult]int {
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
					x := newSimulation(1, w, TargetConfig{Slots: 8})
					x.loss, x.jitter = l.loss, l.jitter
					x.run(12 * time.Second)
					h := x.finish()
					So(history.Check(h), ShouldBeEmpty)
					So(countFates(h)[history.FateAnswered], ShouldBeGreaterThan, 50)
					So(countFates(h)[history.FateUnknown], ShouldEqual, 0)
					So(countResults(h), ShouldResemble, map[history.FlowResult]int{history.FlowFinished: len(h.Flows)})
					So(x.caller.Open(), ShouldEqual, 0)
					So(x.target.Connections(), ShouldEqual, 0)
				})
			}
		}
	})
}
