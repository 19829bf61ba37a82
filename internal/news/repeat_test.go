package news

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRepeats(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	send := func(items ...Item) Send {
		return Send{To: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000")}, Datagram: Datagram{Items: items}}
	}
	newEngine := func() *Engine {
		return New(Config{Self: Member{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Zone: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
	}
	Convey("A datagram with a few changes is sent twice more, and then no longer", t, func() {
		e := newEngine()
		e.scheduleRepeats(now, send(Item{Key: "k", Revision: 1}))
		So(e.stepRepeats(now.Add(repeatDelay-1)), ShouldBeEmpty)
		So(e.stepRepeats(now.Add(repeatDelay)), ShouldHaveLength, 1)
		So(e.stepRepeats(now.Add(repeatDelay)), ShouldBeEmpty)
		So(e.stepRepeats(now.Add(2*repeatDelay)), ShouldHaveLength, 1)
		So(e.stepRepeats(now.Add(time.Hour)), ShouldBeEmpty)
	})
	Convey("Many changes, and announcements of withheld values, are not", t, func() {
		e := newEngine()
		e.scheduleRepeats(now, send(make([]Item, maxRepeatedItems+1)...))
		e.scheduleRepeats(now, send(Item{Key: "k", Withheld: true, Size: 9000}))
		So(e.stepRepeats(now.Add(time.Hour)), ShouldBeEmpty)
	})
}
