package relay

import (
	"net/netip"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A relay forwards every datagram unchanged, and Run returns after Close", t, func() {
			network := udpio.NewMemoryNetwork(udpio.MemoryConfig{})
			sink, err := network.Listen(netip.MustParseAddrPort("10.0.0.3:1"))
			So(err, ShouldBeNil)
			r, err := New(Config{Network: network, Listen: netip.MustParseAddrPort("10.0.0.2:1"), Destination: sink.LocalAddr()})
			So(err, ShouldBeNil)
			done := make(chan error, 1)
			go func() { done <- r.Run() }()

			source, err := network.Listen(netip.MustParseAddrPort("10.0.0.1:1"))
			So(err, ShouldBeNil)
			_, err = source.WriteBatch([]udpio.Message{
				{Buf: []byte("one"), N: 3, Addr: r.Addr()},
				{Buf: []byte("three"), N: 5, Addr: r.Addr()},
			})
			So(err, ShouldBeNil)
			synctest.Wait()

			ms := []udpio.Message{{Buf: make([]byte, 8)}, {Buf: make([]byte, 8)}}
			n, err := sink.ReadBatch(ms)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 2)
			So(string(ms[0].Buf[:ms[0].N]), ShouldEqual, "one")
			So(string(ms[1].Buf[:ms[1].N]), ShouldEqual, "three")
			So(ms[0].Addr, ShouldResemble, r.Addr())
			So(r.Close(), ShouldBeNil)
			So(<-done, ShouldBeNil)
		})
	})
}
