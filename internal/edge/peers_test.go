package edge

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/news"
	"github.com/fireflypin/fireflypin/internal/proptest"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
)

// TestDaemonsWithEqualHashes guards against daemons that nobody hears, since their names have the same 32-bit hash as that
// of another daemon.
func TestDaemonsWithEqualHashes(t *testing.T) {
	names := make(map[model.MachineID]string)
	var pair [2]string
	for i := 0; pair[0] == ""; i++ {
		name := fmt.Sprintf("frontend-zone-%d", i)
		if other, taken := names[model.MachineIDOf(name)]; taken {
			pair = [2]string{other, name}
		}
		names[model.MachineIDOf(name)] = name
	}
	Convey(fmt.Sprintf("%s and %s hear each other, and a third daemon hears both", pair[0], pair[1]), t, func() {
		ring, err := wire.LoadKeyringOrDefault(nil)
		So(err, ShouldBeNil)
		link := func(name string, last byte, incarnation uint64) *peerLink {
			s := &settings.Settings{Name: name, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, last}), 8166)}
			return newPeerLink(s, wire.NewKeyStore(ring), incarnation, newDaemonMetrics(metrics.NewSet()), nil)
		}
		links := []*peerLink{link(pair[0], 1, 100), link(pair[1], 2, 200), link("third", 3, 300)}
		for range 3 {
			for i, from := range links {
				body, err := news.Datagram{Asks: true}.Encode()
				So(err, ShouldBeNil)
				sealed := from.sealer.AppendSealed(nil, wire.AnyReceiver, wire.KindItemGossip, body)
				for j, to := range links {
					if i != j {
						_, kind := to.open(sealed)
						So(kind, ShouldEqual, errkind.None)
					}
				}
			}
		}
	})
}

func TestSenderIDs(t *testing.T) {
	address := func(r *rapid.T) netip.Addr {
		return netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(r, "ip")))
	}
	proptest.Check(t, func(r *rapid.T) {
		a, b := address(r), address(r)
		p, q := rapid.Uint16().Draw(r, "port"), rapid.Uint16().Draw(r, "other port")
		if a != b && senderID(netip.AddrPortFrom(a, p)) == senderID(netip.AddrPortFrom(b, p)) {
			r.Fatalf("daemons at %v and %v with port %d have one id", a, b, p)
		}
		if p != q && senderID(netip.AddrPortFrom(a, p)) == senderID(netip.AddrPortFrom(a, q)) {
			r.Fatalf("daemons at %v with ports %d and %d have one id", a, p, q)
		}
	})
}
