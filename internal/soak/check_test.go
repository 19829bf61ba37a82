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
	h := &harness{
		startedAt: time.Now(), store: newStore(), zones: []string{"z0"}, entryByData: make(map[netip.AddrPort]*entry),
		refusedFrom: make(map[packet.FlowKey]*entry), drains: make(map[string]*zoneDrain), links: links{partitions: map[string]int{}, oneWayCuts: map[string]int{}},
	}
	h.config = Config{Version: 1, Services: []string{"booking", "brochure"}}
	h.config.Routes = []Route{{Address: netip.MustParseAddrPort("198.18.0.1:8000"), Service: "booking", Repeatable: true}}
	h.configHistory = []datedConfig{{Config: h.config}}
	e := &entry{h: h, name: "z0-0", zone: "z0", ip: netip.MustParseAddr("127.10.0.1")}
	h.entries, h.entryByData[e.addrPort(dataPort)] = []*entry{e}, e
	for i, service := range []string{"booking", "brochure"} {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, 0, byte(1 + i)}), 1)
		h.targets = append(h.targets, &target{h: h, entry: TargetEntry{Name: service, Service: service, Zone: "z0", Address: addr}})
	}
	f := &flow{
		c: &caller{h: h, zone: "z0"}, route: h.config.Routes[0], servedBy: h.targets[0], open: true,
		key: packet.FlowKey{Caller: netip.MustParseAddrPort("127.60.0.1:1025"), Service: h.config.Routes[0].Address},
	}
	return h, f
}

func TestGuaranteeChecks(t *testing.T) {
	initial := history.AttemptID{Request: 5}
	cases := []struct {
		name      string
		do        func(h *harness, f *flow, now time.Time)
		guarantee string
	}{
		{"a daemon resets an open flow", func(h *harness, f *flow, now time.Time) {
			h.checkReset(now, f, h.entries[0].addrPort(dataPort))
		}, "open flows"},
		{"a daemon with a recent fault resets an open flow", func(h *harness, f *flow, now time.Time) {
			h.entries[0].recordFault(now)
			h.checkReset(now, f, h.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon resets an open flow while links have a fault", func(h *harness, f *flow, now time.Time) {
			h.recordLinkFault(now)
			h.checkReset(now, f, h.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon resets an open flow after its target has crashed", func(h *harness, f *flow, now time.Time) {
			f.servedBy.state = targetUnresponsive
			h.checkReset(now, f, h.entries[0].addrPort(dataPort))
		}, ""},
		{"a daemon sends a new flow to its route's region", func(h *harness, f *flow, now time.Time) {
			h.configHistory[0].Routes[0].Regions = []string{"r0"}
			h.checkRoute(now, h.entries[0], h.targets[0], f.key)
		}, ""},
		{"a daemon sends a new flow to another region", func(h *harness, f *flow, now time.Time) {
			h.configHistory[0].Routes[0].Regions = []string{"r1"}
			h.checkRoute(now, h.entries[0], h.targets[0], f.key)
		}, "plan"},
		{"a daemon sends a FIN to a caller", func(h *harness, _ *flow, _ time.Time) {
			h.checkOwnPacket(h.entries[0].addrPort(dataPort), Packet{Flags: packet.FIN})
		}, "answers"},
		{"a daemon refuses a flow with a reset without data", func(h *harness, _ *flow, _ time.Time) {
			h.checkOwnPacket(h.entries[0].addrPort(dataPort), Packet{Flags: packet.RST})
		}, ""},
		{"a target sends a FIN to a caller", func(h *harness, f *flow, _ time.Time) {
			h.checkOwnPacket(f.servedBy.entry.Address, Packet{Flags: packet.FIN | packet.ACK})
		}, ""},
		{"the flow's own target resets an open flow", func(h *harness, f *flow, now time.Time) {
			h.checkReset(now, f, f.servedBy.entry.Address)
		}, ""},
		{"another target resets an open flow after a misrouted packet", func(h *harness, f *flow, now time.Time) {
			h.refusedFrom[f.key] = h.entries[0]
			h.checkReset(now, f, h.targets[1].entry.Address)
		}, "open flows"},
		{"all packets of an open flow reach another target for two seconds", func(h *harness, f *flow, now time.Time) {
			h.misroute(f, now, misroutePackets)
		}, "open flows"},
		{"one of the packets in between reaches the flow's own target", func(h *harness, f *flow, now time.Time) {
			h.misroute(f, now, misroutePackets-1)
			h.checkMisrouted(now, h.entries[0], f.servedBy, f.key, Packet{})
			h.misroute(f, now, misroutePackets-1)
		}, ""},
		{"the misrouted packets belong to an earlier flow between the same addresses", func(h *harness, f *flow, now time.Time) {
			f.initial -= 1 << 20
			f.nextSeq = f.initial + 1
			h.misroute(f, now, misroutePackets)
		}, ""},
		{"packets are misrouted after the flow's target has crashed", func(h *harness, f *flow, now time.Time) {
			f.servedBy.state = targetUnresponsive
			h.misroute(f, now, misroutePackets)
		}, ""},
		{"packets are misrouted by a daemon with a recent fault", func(h *harness, f *flow, now time.Time) {
			h.entries[0].recordFault(now)
			h.misroute(f, now, misroutePackets)
		}, ""},
		{"copies of a SYN reach two targets while the links have a fault", func(h *harness, f *flow, now time.Time) {
			h.recordLinkFault(now)
			h.offer(f, h.targets[0], h.targets[1])
		}, "one target"},
		{"copies of a SYN reach one target", func(h *harness, f *flow, _ time.Time) {
			h.offer(f, h.targets[0], h.targets[0])
		}, ""},
		{"SYNs of two flows between the same addresses reach two targets", func(h *harness, f *flow, _ time.Time) {
			h.offer(f, h.targets[0])
			f.initial, f.offeredTo = f.initial+1<<20, nil
			h.offer(f, h.targets[1])
		}, ""},
		{"a new flow reaches a service that has no route from its address", func(h *harness, f *flow, now time.Time) {
			h.checkRoute(now, h.entries[0], h.targets[1], f.key)
		}, "plan"},
		{"a new flow reaches the service of its route", func(h *harness, f *flow, now time.Time) {
			h.checkRoute(now, h.entries[0], h.targets[0], f.key)
		}, ""},
		{"a new flow follows a route that was removed within routeSlack", func(h *harness, f *flow, now time.Time) {
			h.configHistory = []datedConfig{{Config: h.config, replacedAt: now.Add(-routeSlack)}, {}}
			h.checkRoute(now, h.entries[0], h.targets[0], f.key)
		}, ""},
		{"a new flow follows a route that was removed longer ago than routeSlack", func(h *harness, f *flow, now time.Time) {
			h.configHistory = []datedConfig{{Config: h.config, replacedAt: now.Add(-2 * routeSlack)}, {}}
			h.checkRoute(now, h.entries[0], h.targets[0], f.key)
		}, "plan"},
		{"a reported revision decreases", func(h *harness, _ *flow, _ time.Time) {
			h.entries[0].statusReceived(status{Complete: 9, Plan: 2})
			h.entries[0].statusReceived(status{Complete: 8, Plan: 2})
		}, "revisions"},
		{"reported revisions increase", func(h *harness, _ *flow, _ time.Time) {
			h.entries[0].statusReceived(status{Complete: 9, Plan: 2})
			h.entries[0].statusReceived(status{Complete: 9, Plan: 3})
		}, ""},
		{"a refused request is executed", func(h *harness, f *flow, now time.Time) {
			f.pending, f.sentAt = &request{id: 5}, now
			h.recordOutcome(now, f, history.AttemptNotRun, history.CauseReset, history.AttemptID{})
			h.history.Runs = append(h.history.Runs, history.Run{ID: initial, Target: "booking", Start: now})
			h.checkHistory()
		}, "requests"},
		{"a request that is not idempotent is executed twice", func(h *harness, f *flow, now time.Time) {
			f.pending, f.sentAt = &request{id: 5}, now
			h.recordOutcome(now, f, history.AttemptUnknown, history.CauseReset, history.AttemptID{})
			retry := history.AttemptID{Request: 5, Attempt: 1}
			h.history.Runs = append(h.history.Runs, history.Run{ID: initial, Target: "a", Start: now}, history.Run{ID: retry, Target: "b", Start: now})
			h.checkHistory()
		}, "requests"},
		{"a daemon does not exit after a stop request", func(h *harness, _ *flow, now time.Time) {
			h.entries[0].stopping = true
			h.checkStop(h.entries[0], now)
		}, "stops"},
	}
	for _, c := range cases {
		Convey("The checks report the expected violation, or none, when "+c.name, t, func() {
			h, f := newTestHarness()
			c.do(h, f, time.Now())
			if c.guarantee == "" {
				So(h.violations, ShouldBeEmpty)
				return
			}
			So(h.violations, ShouldNotBeEmpty)
			So(h.violations[0].Guarantee, ShouldEqual, c.guarantee)
		})
	}
}

// offer lets a daemon send a flow's SYN to targets.
func (h *harness) offer(f *flow, targets ...*target) {
	f.c.flows = map[uint16]*flow{f.key.Caller.Port(): f}
	h.callerByIP = map[netip.Addr]*caller{f.key.Caller.Addr(): f.c}
	for i, t := range targets {
		h.checkOffer(h.entries[0], t, f.key, Packet{Seq: f.initial, Ack: uint32(i), Flags: packet.SYN})
	}
}

// misroute delivers packets of a flow to another target, spread evenly over misrouteTime.
func (h *harness) misroute(f *flow, now time.Time, packets int) {
	f.c.flows = map[uint16]*flow{f.key.Caller.Port(): f}
	h.callerByIP = map[netip.Addr]*caller{f.key.Caller.Addr(): f.c}
	for i := range packets {
		at := now.Add(misrouteTime * time.Duration(i) / time.Duration(packets-1))
		h.checkMisrouted(at, h.entries[0], h.targets[1], f.key, Packet{})
	}
}

func TestRouters(t *testing.T) {
	Convey("Routers use the ready daemons of a zone, all of its daemons when fewer than half are ready, and other zones when none is", t, func() {
		h := &harness{}
		for _, name := range []string{"a0", "a1", "a2", "b0"} {
			h.entries = append(h.entries, &entry{h: h, name: name, zone: name[:1], ready: true})
		}
		used := func() map[string]bool {
			out := make(map[string]bool)
			for port := range uint16(200) {
				key := packet.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.60.0.1"), port)}
				out[h.route("a", key).name] = true
			}
			return out
		}
		So(used(), ShouldResemble, map[string]bool{"a0": true, "a1": true, "a2": true})
		h.entries[0].ready = false
		So(used(), ShouldResemble, map[string]bool{"a1": true, "a2": true})
		h.entries[1].ready = false
		So(used(), ShouldResemble, map[string]bool{"a0": true, "a1": true, "a2": true})
		h.entries[2].ready = false
		So(used(), ShouldResemble, map[string]bool{"b0": true})
	})
	Convey("With modulo hashing, more than half of the flows change daemons when the number of daemons changes", t, func() {
		h := &harness{hash: Modulo}
		for _, name := range []string{"a0", "a1", "a2", "a3"} {
			h.entries = append(h.entries, &entry{h: h, name: name, zone: "a", ready: true})
		}
		const flows = 1000
		kept := 0
		for port := range uint16(flows) {
			key := packet.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.60.0.1"), port)}
			h.entries[3].ready = true
			before := h.route("a", key)
			h.entries[3].ready = false
			if h.route("a", key) == before {
				kept++
			}
		}
		So(kept, ShouldBeLessThan, flows/2)
	})
}
