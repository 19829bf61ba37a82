package soak

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// bareWorld is a world with one daemon, two targets and one caller without sockets.
func bareWorld() (*world, *flow) {
	w := &world{
		began: time.Now(), store: newStore(), zones: []string{"z0"}, byData: make(map[netip.AddrPort]*entry),
		refusedFrom: make(map[packet.FlowKey]*entry), links: links{cut: map[string]int{}, half: map[string]int{}},
	}
	w.config = Config{Version: 1, Services: []string{"booking", "brochure"}}
	w.config.Routes = []Route{{Address: netip.MustParseAddrPort("198.18.0.1:8000"), Service: "booking", Repeatable: true}}
	w.configs = []datedConfig{{Config: w.config}}
	e := &entry{w: w, name: "z0-0", zone: "z0", ip: netip.MustParseAddr("127.10.0.1")}
	w.entries, w.byData[e.at(dataPort)] = []*entry{e}, e
	for i, service := range []string{"booking", "brochure"} {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 20, 0, byte(1 + i)}), 1)
		w.targets = append(w.targets, &target{w: w, entry: TargetEntry{Name: service, Service: service, Zone: "z0", Address: addr}})
	}
	f := &flow{
		c: &caller{w: w, zone: "z0"}, route: w.config.Routes[0], holder: w.targets[0], open: true,
		key: packet.FlowKey{Caller: netip.MustParseAddrPort("127.60.0.1:1025"), Service: w.config.Routes[0].Address},
	}
	return w, f
}

func TestPromises(t *testing.T) {
	first := history.AttemptID{Request: 5}
	cases := []struct {
		name    string
		do      func(w *world, f *flow, now time.Time)
		promise string
	}{
		{"a daemon resets an open flow", func(w *world, f *flow, now time.Time) {
			w.checkReset(now, f, w.entries[0].at(dataPort))
		}, "open flows"},
		{"a daemon in trouble resets it", func(w *world, f *flow, now time.Time) {
			w.entries[0].troubled(now)
			w.checkReset(now, f, w.entries[0].at(dataPort))
		}, ""},
		{"a daemon resets it while links are cut", func(w *world, f *flow, now time.Time) {
			w.trouble(now)
			w.checkReset(now, f, w.entries[0].at(dataPort))
		}, ""},
		{"a daemon resets it after its target's death", func(w *world, f *flow, now time.Time) {
			f.holder.state = targetDark
			w.checkReset(now, f, w.entries[0].at(dataPort))
		}, ""},
		{"a daemon ends a flow with a FIN", func(w *world, _ *flow, _ time.Time) {
			w.checkOwnPacket(w.entries[0].at(dataPort), Packet{Flags: packet.FIN})
		}, "answers"},
		{"a daemon refuses a flow with a bare reset", func(w *world, _ *flow, _ time.Time) {
			w.checkOwnPacket(w.entries[0].at(dataPort), Packet{Flags: packet.RST})
		}, ""},
		{"a target ends a flow with a FIN", func(w *world, f *flow, _ time.Time) {
			w.checkOwnPacket(f.holder.entry.Address, Packet{Flags: packet.FIN | packet.ACK})
		}, ""},
		{"its own target resets it", func(w *world, f *flow, now time.Time) {
			w.checkReset(now, f, f.holder.entry.Address)
		}, ""},
		{"another target refuses its packet", func(w *world, f *flow, now time.Time) {
			w.refusedFrom[f.key] = w.entries[0]
			w.checkReset(now, f, w.targets[1].entry.Address)
		}, "open flows"},
		{"an open flow's packets all go to another target for two seconds", func(w *world, f *flow, now time.Time) {
			w.stray(f, now, misroutePackets)
		}, "open flows"},
		{"one of them reached its own", func(w *world, f *flow, now time.Time) {
			w.stray(f, now, misroutePackets-1)
			w.checkWay(now, w.entries[0], f.holder, f.key, Packet{})
			w.stray(f, now, misroutePackets-1)
		}, ""},
		{"they are of an earlier flow between the same ends", func(w *world, f *flow, now time.Time) {
			f.first -= 1 << 20
			f.next = f.first + 1
			w.stray(f, now, misroutePackets)
		}, ""},
		{"their target is dead", func(w *world, f *flow, now time.Time) {
			f.holder.state = targetDark
			w.stray(f, now, misroutePackets)
		}, ""},
		{"the daemon that sent them elsewhere is in trouble", func(w *world, f *flow, now time.Time) {
			w.entries[0].troubled(now)
			w.stray(f, now, misroutePackets)
		}, ""},
		{"a flow reaches a service that its address does not have", func(w *world, f *flow, now time.Time) {
			w.checkRoute(now, w.entries[0], w.targets[1], f.key)
		}, "plan"},
		{"a flow reaches its service", func(w *world, f *flow, now time.Time) {
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, ""},
		{"a flow follows a route just after it was dropped", func(w *world, f *flow, now time.Time) {
			w.configs = []datedConfig{{Config: w.config, until: now.Add(-routeSlack)}, {}}
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, ""},
		{"a flow follows a route long after it was dropped", func(w *world, f *flow, now time.Time) {
			w.configs = []datedConfig{{Config: w.config, until: now.Add(-2 * routeSlack)}, {}}
			w.checkRoute(now, w.entries[0], w.targets[0], f.key)
		}, "plan"},
		{"a revision goes back", func(w *world, _ *flow, _ time.Time) {
			w.entries[0].told(status{Complete: 9, Plan: 2})
			w.entries[0].told(status{Complete: 8, Plan: 2})
		}, "revisions"},
		{"revisions go on", func(w *world, _ *flow, _ time.Time) {
			w.entries[0].told(status{Complete: 9, Plan: 2})
			w.entries[0].told(status{Complete: 9, Plan: 3})
		}, ""},
		{"a request that was refused runs", func(w *world, f *flow, now time.Time) {
			f.wanted, f.sent = &request{id: 5}, now
			w.outcome(now, f, history.FateNotRun, history.CauseReset, history.AttemptID{})
			w.history.Runs = append(w.history.Runs, history.Run{ID: first, Target: "booking", Start: now})
			w.checkHistory()
		}, "requests"},
		{"a request that may run once runs twice", func(w *world, f *flow, now time.Time) {
			f.wanted, f.sent = &request{id: 5}, now
			w.outcome(now, f, history.FateUnknown, history.CauseReset, history.AttemptID{})
			again := history.AttemptID{Request: 5, Attempt: 1}
			w.history.Runs = append(w.history.Runs, history.Run{ID: first, Target: "a", Start: now}, history.Run{ID: again, Target: "b", Start: now})
			w.checkHistory()
		}, "requests"},
		{"a daemon does not stop", func(w *world, _ *flow, now time.Time) {
			w.entries[0].leaving = true
			w.checkStop(w.entries[0], now)
		}, "stops"},
	}
	for _, c := range cases {
		Convey("The verdict is right when "+c.name, t, func() {
			w, f := bareWorld()
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

// stray brings packets of a flow to another target, the last of them misrouteTime after the first.
func (w *world) stray(f *flow, now time.Time, packets int) {
	f.c.flows = map[uint16]*flow{f.key.Caller.Port(): f}
	w.byIP = map[netip.Addr]*caller{f.key.Caller.Addr(): f.c}
	for i := range packets {
		at := now.Add(misrouteTime * time.Duration(i) / time.Duration(packets-1))
		w.checkWay(at, w.entries[0], w.targets[1], f.key, Packet{})
	}
}

func TestRouters(t *testing.T) {
	Convey("Routers use the daemons of a zone in rotation, all of them when few are, and other zones when none is", t, func() {
		w := &world{}
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
	Convey("Where routers take the remainder, nearly all flows change daemons with the number of daemons", t, func() {
		w := &world{hash: Mod}
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
