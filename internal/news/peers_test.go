package news

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// peersByAddr returns what a node knows of the other daemons.
func (n *node) peersByAddr() map[netip.AddrPort]Peer {
	out := make(map[netip.AddrPort]Peer)
	for _, p := range n.engine.Peers(n.sim.now) {
		out[p.Addr] = p
	}
	return out
}

// knownInZone returns the smallest number of other daemons of its own zone that any running node knows.
func (s *sim) knownInZone() int {
	least := len(s.nodes)
	for _, n := range s.nodes {
		known := 0
		for _, p := range n.engine.Peers(s.now) {
			if p.Zone == n.zone && p.Live {
				known++
			}
		}
		least = min(least, known)
	}
	return least
}

func TestPeers(t *testing.T) {
	Convey("Peers shows who is live, who leaves and who was never heard", t, func() {
		s := newSim(1, 6, "a")
		s.startAll()
		s.run(3 * time.Second)
		leaving, stopped := s.nodes[4], s.nodes[5]
		leaving.do(leaving.engine.Drain(s.now))
		stoppedAt := s.now
		stopped.stop()
		s.run(2 * time.Second)
		peers := s.nodes[2].peersByAddr()
		So(peers, ShouldHaveLength, 6) // five others and a seed that does not run
		So(peers[s.nodes[0].addr].Live, ShouldBeTrue)
		So(peers[leaving.addr].Live, ShouldBeFalse)
		So(peers[leaving.addr].Leaving, ShouldBeTrue)
		So(peers[stopped.addr].Live, ShouldBeFalse)
		So(peers[stopped.addr].Leaving, ShouldBeFalse)
		So(peers[stopped.addr].Heard, ShouldHappenOnOrBetween, stoppedAt.Add(-time.Second), stoppedAt.Add(time.Second))
		never := peers[netip.MustParseAddrPort("10.9.9.9:7000")]
		So(never.Live, ShouldBeFalse)
		So(never.Zone, ShouldBeEmpty)
	})
	Convey("Daemons of a fleet that restarts know all others of their zone within 10 s", t, func() {
		s := newSim(2, 60, "a", "b", "c")
		s.startAll()
		s.run(10 * time.Second)
		So(s.knownInZone(), ShouldEqual, 19)
	})
}

// TestPeersOfLargeFleet checks the fleet's target size: every daemon knows its whole zone soon after all restarted.
func TestPeersOfLargeFleet(t *testing.T) {
	Convey("Daemons of a fleet of 600 that restarts know all others of their zone within 15 s", t, func() {
		s := newSim(2, 600, "a", "b", "c")
		s.startAll()
		s.run(15 * time.Second)
		So(s.knownInZone(), ShouldEqual, 199)
	})
}
