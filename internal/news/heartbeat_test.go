package news

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// ethernetPayload is the largest datagram in an Ethernet frame, in bytes, less key id and authentication code.
const ethernetPayload = 1500 - 28 - 72

// engineWithReports returns an engine whose heartbeats carry reports of the given sizes.
func engineWithReports(sizes ...int) *Engine {
	return New(Config{
		Self: Member{Addr: netip.MustParseAddrPort("10.0.0.1:8166"), Zone: "zone-0"},
		Rand: rand.New(rand.NewPCG(1, 2)),
		Reports: func(time.Time) []Report {
			var out []Report
			for i, size := range sizes {
				out = append(out, Report{Kind: ReportKind(i + 1), Data: make([]byte, size)})
			}
			return out
		},
	})
}

func TestReportsInHeartbeat(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	Convey("Reports are sent up to the bound and left out from the first that exceeds it", t, func() {
		for _, c := range []struct{ sizes, sent []int }{
			{nil, nil},
			{[]int{480}, []int{480}},
			{[]int{481}, nil},
			{[]int{240, 240}, []int{240, 240}},
			{[]int{240, 241, 10}, []int{240}},
		} {
			var sent []int
			for _, r := range engineWithReports(c.sizes...).ownHeartbeat(now).Reports {
				sent = append(sent, len(r.Data))
			}
			So(sent, ShouldResemble, c.sent)
		}
	})
	Convey("A response to a daemon that asks for members fits into an Ethernet frame, also if heartbeats carry a full report", t, func() {
		e := engineWithReports(480)
		for i := range 600 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 8), byte(i % 8)}), 8166)
			e.HandleDatagram(now, addr, Datagram{Heartbeat: &Heartbeat{Zone: fmt.Sprintf("zone-%d", i%8), Link: 25000, Interval: time.Second}})
		}
		asks := netip.MustParseAddrPort("10.1.0.0:8166")
		responses := 0
		for _, a := range e.HandleDatagram(now, asks, Datagram{Asks: true}) {
			send, ok := a.(Send)
			if !ok || len(send.Datagram.Members) == 0 {
				continue
			}
			responses++
			data, err := send.Datagram.Encode()
			So(err, ShouldBeNil)
			So(send.Datagram.Members, ShouldHaveLength, e.cfg.MaxMembers)
			So(len(data), ShouldBeLessThanOrEqualTo, ethernetPayload)
		}
		So(responses, ShouldEqual, 1)
	})
}
