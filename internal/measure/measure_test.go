package measure

import (
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/relay"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

// freeAddr returns a loopback address on which no process listens.
func freeAddr(n udpio.Network) netip.AddrPort {
	c, err := n.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	So(err, ShouldBeNil)
	defer c.Close()
	return c.LocalAddr()
}

func testConfig(n udpio.Network, sink, via netip.AddrPort) Config {
	return Config{
		Network:    n,
		Forwarders: []Forwarder{{Name: "relay", Via: via, PID: os.Getpid()}},
		Sink:       sink,
		Service:    netip.MustParseAddrPort("192.0.2.10:443"),
		Flows:      100,
		Payload:    64,
		Window:     batchSize,
		Rate:       1000,
		Round:      10 * time.Millisecond,
		Rounds:     2,
	}
}

func TestRun(t *testing.T) {
	Convey("With a sink", t, func() {
		network := udpio.System(udpio.Config{})
		sink := freeAddr(network)
		Convey("a relay that sends to it is measured", func() {
			r, err := relay.New(relay.Config{Network: network, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Destination: sink})
			So(err, ShouldBeNil)
			go r.Run()
			defer r.Close()
			results, err := Run(testConfig(network, sink, r.Addr()))
			So(err, ShouldBeNil)
			So(len(results), ShouldEqual, 1)
			So(results[0].Packets, ShouldBeGreaterThan, 0)
			So(results[0].Delay.TotalCount(), ShouldBeGreaterThan, 0)
			So(results[0].Delay.Max(), ShouldBeLessThanOrEqualTo, int64(maxDelay))
		})
		Convey("a forwarder that loses the first packets gives an error with the name of the forwarder", func() {
			_, err := Run(testConfig(network, sink, freeAddr(network)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "relay")
		})
		Convey("a payload that is too small for the send time gives an error", func() {
			cfg := testConfig(network, sink, sink)
			cfg.Payload = 1
			_, err := Run(cfg)
			So(err, ShouldNotBeNil)
		})
	})
}

func TestMeasureIdle(t *testing.T) {
	Convey("The memory of a process is read; an unknown process ID gives an error", t, func() {
		idle, err := MeasureIdle([]int{os.Getpid()}, time.Millisecond)
		So(err, ShouldBeNil)
		So(idle[0].ResidentBytes, ShouldBeGreaterThan, 0)
		_, err = MeasureIdle([]int{-1}, time.Millisecond)
		So(err, ShouldNotBeNil)
	})
}
