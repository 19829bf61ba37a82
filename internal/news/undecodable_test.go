package news

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"
)

// TestChangesDespiteLargeResponses guards against daemons that ask again and again for a response that is too large: after
// storms of large configurations that a restart of all daemons meets, and while another writer writes large values all the
// time. Every served daemon holds a change within the bound.
func TestChangesDespiteLargeResponses(t *testing.T) {
	proptest.CheckN(t, 25, func(r *rapid.T) {
		w := newReachWorld(rapid.Uint64Range(0, 1000).Draw(r, "seed"), rapid.SampledFrom([]int{1, 3, 8}).Draw(r, "daemons of a zone"), 1)
		w.watchLimit = rapid.IntRange(10_000, 200_000).Draw(r, "limit")
		w.advance(r, 3*time.Second)
		for range rapid.IntRange(1, 4).Draw(r, "storms") {
			w.freezeStaleState()
			if rapid.Bool().Draw(r, "another writer") {
				size, gap := rapid.IntRange(1000, 50_000).Draw(r, "bytes"), time.Duration(rapid.IntRange(20, 500).Draw(r, "every ms"))*time.Millisecond
				w.writeAll(gap, size, w.now.Add(15*time.Second))
			}
			size, gap := rapid.IntRange(300, 60_000).Draw(r, "size"), time.Duration(rapid.IntRange(50, 400).Draw(r, "gap ms"))*time.Millisecond
			for range rapid.IntRange(1, 30).Draw(r, "versions") {
				w.put("config", size)
				w.changedAt[w.platform.items["config"].Revision] = w.now
				w.advance(r, gap)
			}
			if rapid.Bool().Draw(r, "restart") {
				for _, n := range w.nodes {
					n.stop()
				}
				w.advance(r, 300*time.Millisecond)
				w.startAll()
			}
			w.advance(r, time.Duration(rapid.IntRange(0, 4000).Draw(r, "calm ms"))*time.Millisecond)
		}
		w.advance(r, w.bound+2*time.Second)
		if calls := w.platform.calls; calls > len(w.nodes)*int(w.now.Sub(time.Unix(5000, 0))/time.Second)*12 {
			r.Fatalf("%d calls of %d daemons in %v", calls, len(w.nodes), w.now.Sub(time.Unix(5000, 0)))
		}
	})
}

// writeAll writes a value of size bytes again and again until a time.
func (w *reachWorld) writeAll(gap time.Duration, size int, until time.Time) {
	if w.now.Before(until) {
		w.put("targets/odd", size)
		w.schedule(gap, func() { w.writeAll(gap, size, until) })
	}
}

// TestMembersWithLongZoneNames guards against responses with members that no daemon can read, as they exceed the buffer for a
// datagram.
func TestMembersWithLongZoneNames(t *testing.T) {
	proptest.CheckN(t, 50, func(r *rapid.T) {
		now, zones, length := time.Unix(5000, 0), rapid.IntRange(1, 8).Draw(r, "zones"), rapid.IntRange(1, 255).Draw(r, "length")
		zone := func(i int) string { return fmt.Sprint(i%zones) + strings.Repeat("z", length-1) }
		e := New(Config{Self: Member{Addr: netip.MustParseAddrPort("10.0.0.1:8166"), Zone: zone(0)}, Rand: rand.New(rand.NewPCG(1, 2))})
		for i := range 100 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8166)
			e.HandleDatagram(now, addr, Datagram{Heartbeat: &Heartbeat{Zone: zone(i), Link: 25000, Interval: time.Second}})
		}
		told := make(map[netip.AddrPort]bool)
		for _, a := range e.HandleDatagram(now, netip.MustParseAddrPort("10.1.0.0:8166"), Datagram{Asks: true}) {
			send, ok := a.(Send)
			if !ok {
				continue
			}
			data, err := send.Datagram.Encode()
			if err != nil || len(data) > ethernetPayload {
				r.Fatalf("a datagram of %d bytes, %v", len(data), err)
			}
			for _, m := range send.Datagram.Members {
				told[m.Addr] = true
			}
		}
		if want := min(e.cfg.MaxMembers, 100/zones); len(told) < want {
			r.Fatalf("%d members were told, at least %d are known in the zone", len(told), want)
		}
	})
}
