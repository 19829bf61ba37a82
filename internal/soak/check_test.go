package soak

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// newTestHarness returns a harness with one daemon, two targets and a caller with one open flow, all without sockets.
func newTestHarness() (*harness, *flow) {
	w := &harness{
		startedAt: time.Now(), store: newStore(), zones: []string{"z0"}, entryByData: make(map[netip.AddrPort]*entry),
		refusedFrom: make(map[packet.FlowKey]*entry), links: links{partitions: map[string]int{}, oneWayCuts: map[string]int{}},
	}
	w.config = Config{Version: 1, Services: []string{"booking", "brochure"}}
	w.config.Routes = []Route{{Address: netip.MustParseAddrPort("198.18.0.1:8000"), Service: "booking", Repeatable: true}}
	w.configHistory = []datedConfig{{Config: w.config}}
	e := &entry{w: w, name: "z0-0", zone: "z0", ip: netip.MustParseAddr("127.10.0.1")}
	w.entries, w.entryByData[e.addrPort(dataPort)] = []*entry{e}, e
	for i, service := range []string{"booking", "brochure"} {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, 0, byte(1 + i)}), 1)
		w.targets = append(w.targets, &target{w: w, entry: TargetEntry{Name: service, Service: service, Zone: "z0", Address: addr}})
	}
	f := &flow{
		c: &caller{w: w, zone: "z0"}, route: w.config.Routes[0], servedBy: w.targets[0], open: true,
		key: packet.FlowKey{Caller: netip.MustParseAddrPort("127.60.0.1:1025"), Service: w.config.Routes[0].Address},
	}
	return w, f
}

func TestPromiseChecks(t *testing.T) {
	initial := history.AttemptID{Request: 5}
	cases := []struct {
		name    string
		do      func(w *harness, f *flow, now time.Time)
		promise string
	}{
		{"a daemon resets an open flow", func(w *harness, f *flow, now time.Time) {
			w.checkReset(now, f, w.entries[0].addrPort(dataPort))
		}, "open flows"},
		{"a daemon with a recent fault resets an open flow", func(w *harness, f *flow, now time.Time) {
			w.entries[0].recordFault(now)
			w.checkReset(now, f, w.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon resets an open flow while links have a fault", func(w *harness, f *flow, now time.Time) {
			w.recordLinkFault(now)
			w.checkReset(now, f, w.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon resets an open flow after its target has crashed", func(w *harness, f *flow, now time.Time) {
			f.servedBy.state = targetUnresponsive
			w.checkReset(now, f, w.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon sends a FIN to a caller", func(w *harness, _ *flow, _ time.Time) {
			w.checkOwnPacket(w.entries[0].addrPort(dataPort), Packet{Flags: packet.FIN})
		}, "answers"},
		{"a daemon refuses a flow with a reset without data", func(w *harness, _ *flow, _ time.Time) {
			w.checkOwnPacket(w.entries[0].addrPort(dataPort), Packet{Flags: packet.RST})
		}, ""},
		{"a target sends a FIN to a caller", func(w *harness, f *flow, _ time.Time) {
			w.checkOwnPacket(f.servedBy.entry.Address, Packet{Flags: packet.FIN | packet.ACK})
		}, ""},
		{"the flow's own target resets an open flow", func(w *harness, f *flow, now time.Time) {
			w.checkReset(now, f, f.servedBy.entry.Address)
		}, ""},
		{"another target resets an open flow after a misrouted packet", func(w *harness, f *flow, now time.Time) {
			w.refusedFrom[f.key] = w.entries[0]
			w.checkReset(now, f, w.targets[1].entry.Address)
		}, "open flows"},
		{"all packets of an open flow reach another target for two seconds", func(w *harness, f *flow, now time.Time) {
			w.misroute(f, now, misroutePackets)
		}, "open flows"},
		{"one of the packets in between reaches the flow's own target", func(w *harness, f *flow, now time.Time) {
			w.misroute(f, now, misroutePackets-1)
			w.checkMisrouted(now, w.entries[0], f.servedBy, f.key, Packet{})
			w.misroute(f, now, misroutePackets-1)
		}, ""},
		{"the misrouted packets belong to an earlier flow between the same addresses", func(w *harness, f *flow, now time.Time) {
			f.initial -= 1 << 20
			f.nextSeq = f.initial + 1
			w.misroute(f, now, misroutePackets)
		}, ""},
		{"packets are misrouted after the flow's target has crashed", func(w *harness, f *flow, now time.Time) {
			f.servedBy.state = targetUnresponsive
			w.misroute(f, now, misroutePackets)
		}, ""},
		{"packets are misrouted by a daemon with a recent fault", func(w *harness, f *flow, now time.Time) {
			w.entries[0].recordFault(now)
			w.misroute(f, now, misroutePackets)
		}, ""},
		{"a new flow reaches a service that has no route from its address", func(w *harness, f *flow, now time.Time) {
			w.checkRoute(now, w.entries[0], w.targets[1], f.key)
		}, "plan"},
		{"a new flow reaches the service of its route", func(w *harness, f *flow, now time.Time) {
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, ""},
		{"a new flow follows a route that was removed within routeSlack", func(w *harness, f *flow, now time.Time) {
			w.configHistory = []datedConfig{{Config: w.config, replacedAt: now.Add(-routeSlack)}, {}}
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, ""},
		{"a new flow follows a route that was removed longer ago than routeSlack", func(w *harness, f *flow, now time.Time) {
			w.configHistory = []datedConfig{{Config: w.config, replacedAt: now.Add(-2 * routeSlack)}, {}}
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, "plan"},
		{"a reported revision decreases", func(w *harness, _ *flow, _ time.Time) {
			w.entries[0].statusReceived(status{Complete: 9, Plan: 2})
			w.entries[0].statusReceived(status{Complete: 8, Plan: 2})
		}, "revisions"},
		{"reported revisions increase", func(w *harness, _ *flow, _ time.Time) {
			w.entries[0].statusReceived(status{Complete: 9, Plan: 2})
			w.entries[0].statusReceived(status{Complete: 9, Plan: 3})
		}, ""},
		{"a refused request is executed", func(w *harness, f *flow, now time.Time) {
			f.pending, f.sentAt = &request{id: 5}, now
			w.recordOutcome(now, f, history.FateNotRun, history.CauseReset, history.AttemptID{})
			w.history.Runs = append(w.history.Runs, history.Run{ID: initial, Target: "booking", Start: now})
			w.checkHistory()
		}, "requests"},
		{"a request that is not idempotent is executed twice", func(w *harness, f *flow, now time.Time) {
			f.pending, f.sentAt = &request{id: 5}, now
			w.recordOutcome(now, f, history.FateUnknown, history.CauseReset, history.AttemptID{})
			again := history.AttemptID{Request: 5, Attempt: 1}
			w.history.Runs = append(w.history.Runs, history.Run{ID: initial, Target: "a", Start: now}, history.Run{ID: again, Target: "b", Start: now})
			w.checkHistory()
		}, "requests"},
		{"a daemon does not exit after a stop request", func(w *harness, _ *flow, now time.Time) {
			w.entries[0].stopping = true
			w.checkStop(w.entries[0], now)
		}, "stops"},
	}
	for _, c := range cases {
		Convey("The checks report the expected violation, or none, when "+c.name, t, func() {
			w, f := newTestHarness()
			c.do(w, f, time.Now())
			if c.promise == "" {
				So(w.breaks, ShouldBeEmpty)
				return
			}
			So(w.breaks, ShouldNotBeEmpty)
			So(w.breaks[0].Promise, ShouldEqual, c.promise)
		})
	}
}

// misroute delivers packets of a flow to another target, spread evenly over misrouteTime.
func (w *harness) misroute(f *flow, now time.Time, packets int) {
	f.c.flows = map[uint16]*flow{f.key.Caller.Port(): f}
	w.callerByIP = map[netip.Addr]*caller{f.key.Caller.Addr(): f.c}
	for i := range packets {
		at := now.Add(misrouteTime * time.Duration(i) / time.Duration(packets-1))
		w.checkMisrouted(at, w.entries[0], w.targets[1], f.key, Packet{})
	}
}

func TestRouters(t *testing.T) {
	Convey("Routers use the ready daemons of a zone, all of its daemons when fewer than half are ready, and other zones when none is", t, func() {
		w := &harness{}
		for _, name := range []string{"a0", "a1", "a2", "b0"} {
			w.entries = append(w.entries, &entry{w: w, name: name, zone: name[:1], ready: true})
		}
		used := func() map[string]bool {
			out := make(map[string]bool)
			for port := range uint16(200) {
				key := packet.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.60.0.1"), port)}
				out[w.route("a", key).name] = true
			}
			return out
		}
		So(used(), ShouldResemble, map[string]bool{"a0": true, "a1": true, "a2": true})
		w.entries[0].ready = false
		So(used(), ShouldResemble, map[string]bool{"a1": true, "a2": true})
		w.entries[1].ready = false
		So(used(), ShouldResemble, map[string]bool{"a0": true, "a1": true, "a2": true})
		w.entries[2].ready = false
		So(used(), ShouldResemble, map[string]bool{"b0": true})
	})
	Convey("With modulo hashing, more than half of the flows change daemons when the number of daemons changes", t, func() {
		w := &harness{hash: Modulo}
		for _, name := range []string{"a0", "a1", "a2", "a3"} {
			w.entries = append(w.entries, &entry{w: w, name: name, zone: "a", ready: true})
		}
		const flows = 1000
		kept := 0
		for port := range uint16(flows) {
			key := packet.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.60.0.1"), port)}
			w.entries[3].ready = true
			before := w.route("a", key)
			w.entries[3].ready = false
			if w.route("a", key) == before {
				kept++
			}
		}
		So(kept, ShouldBeLessThan, flows/2)
	})
}
