package warmup

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// aloneGate returns the settled gate of a daemon that is alone in its zone, and the time.
func aloneGate() (*Gate, time.Time) {
	g := NewGate(Config{Self: netip.MustParseAddrPort("10.0.0.1:1"), Zone: simZone, Overage: 1.5, Slack: 3})
	now := time.Unix(1000, 0)
	for range 60 {
		g.SetPeers(now, nil)
		now = now.Add(100 * time.Millisecond)
	}
	return g, now
}

func warmingTarget(now time.Time, rate float64) *model.Target {
	return &model.Target{ID: 7, Zone: simZone, WarmupRate: rate, WarmUntil: now.Add(time.Hour)}
}

// take offers n flows and returns how many were taken.
func take(g *Gate, now time.Time, t *model.Target, n int) int {
	taken := 0
	for range n {
		if g.Take(now, t) {
			taken++
		}
	}
	return taken
}

func TestGateLimits(t *testing.T) {
	Convey("A share is a third of rate x overage + slack, rounded down, within logWindow", t, func() {
		g, now := aloneGate()
		target := warmingTarget(now, 4) // bound 9
		So(take(g, now, target, 10), ShouldEqual, 3)
		So(g.MayOffer(now, target), ShouldBeFalse)
		g.SetPeers(now.Add(900*time.Millisecond), nil)
		So(take(g, now.Add(logWindow-time.Millisecond), target, 10), ShouldEqual, 0)
		So(take(g, now.Add(logWindow), target, 10), ShouldEqual, 3)
		So(g.Count(Allowed), ShouldEqual, 6)
		So(g.Count(Exhausted), ShouldBeGreaterThan, 0)
	})
	Convey("A target without a rate, or that is warm, is not limited and not counted", t, func() {
		g, now := aloneGate()
		So(take(g, now, warmingTarget(now, 0), 100), ShouldEqual, 100)
		warm := warmingTarget(now, 4)
		warm.WarmUntil = now
		So(take(g, now, warm, 100), ShouldEqual, 100)
		So(g.Count(Allowed), ShouldEqual, 0)
	})
	Convey("A bound below three leaves no share: nobody uses the target", t, func() {
		g, now := aloneGate()
		g.cfg.Slack = 0
		So(take(g, now, warmingTarget(now, 1.9), 10), ShouldEqual, 0)
		So(g.Uses(now, warmingTarget(now, 1.9)), ShouldBeFalse)
	})
	Convey("A target of another zone is not used", t, func() {
		g, now := aloneGate()
		target := warmingTarget(now, 4)
		target.Zone = model.Zone{Region: "r", Name: "other"}
		So(take(g, now, target, 10), ShouldEqual, 0)
		So(g.Count(NotUser), ShouldEqual, 10)
	})
	Convey("A gate that is stopped, suspended or no longer updated allows nothing", t, func() {
		g, now := aloneGate()
		target := warmingTarget(now, 4)
		So(take(g, now.Add(maxUpdateGap+time.Second), target, 1), ShouldEqual, 0)
		g.Suspend(now)
		So(take(g, now, target, 1), ShouldEqual, 0)
		g, now = aloneGate()
		g.Stop()
		So(take(g, now, target, 1), ShouldEqual, 0)
		So(g.Count(Unsettled), ShouldEqual, 1)
	})
	Convey("Targets that have been warm for a while are forgotten", t, func() {
		g, now := aloneGate()
		target := warmingTarget(now, 4)
		target.WarmUntil = now.Add(time.Second)
		take(g, now, target, 1)
		g.SetPeers(now.Add(time.Second+logWindow), nil)
		So(g.targets, ShouldBeEmpty)
	})
}

func TestGrowthKeepsUnsettled(t *testing.T) {
	Convey("A daemon that starts and still gets to know others does not settle", t, func() {
		g := NewGate(Config{Self: netip.MustParseAddrPort("10.0.0.1:1"), Zone: simZone, Overage: 1.5, Slack: 3})
		now := time.Unix(1000, 0)
		var peers []Peer
		for i := range 100 {
			if i%20 == 0 {
				peers = append(peers, Peer{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1), Zone: simZone.Name, Live: true})
			}
			for k := range peers {
				peers[k].Heard = now
			}
			g.SetPeers(now, peers)
			So(g.zone.usable(now), ShouldBeFalse)
			now = now.Add(100 * time.Millisecond)
		}
		for range 50 {
			g.SetPeers(now, peers)
			now = now.Add(100 * time.Millisecond)
		}
		So(g.zone.usable(now), ShouldBeTrue)
	})
}
