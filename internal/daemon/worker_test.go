package daemon

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/packet"
)

func TestForwardingLowersTheHopLimit(t *testing.T) {
	Convey("A packet to a target or a caller leaves with one hop less, so that a loop of data addresses ends", t, func() {
		egress := netip.MustParseAddrPort("192.0.2.1:5555")
		target := netip.MustParseAddrPort("192.0.2.2:5555")
		for _, v := range []core.Verdict{{Op: core.OpForward, To: target}, {Op: core.OpReturn}} {
			w := &worker{d: &Daemon{settings: &settings.Settings{Egress: egress}}}
			raw := packet.AppendTCP(nil, netip.MustParseAddrPort("10.0.0.1:40000"), netip.MustParseAddrPort("192.0.2.10:443"), packet.ACK, 1, 1, nil)
			w.apply(v, raw)
			So(len(w.toData), ShouldEqual, 1)
			var m packet.Meta
			d := packet.NewDecoder(packet.DecoderConfig{})
			So(d.Decode(w.toData[0].Buf, &m), ShouldEqual, errkind.None)
			So(m.HopLimit, ShouldEqual, 63)
		}
	})
}
