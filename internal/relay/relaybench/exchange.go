// Package relaybench benchmarks forwarders of datagrams: it sends packets through a forwarder in batches and reads
// them at a sink.
//
// Invariant: an Exchanger sends the next batch only after all packets of the previous one have arrived.
package relaybench

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/fireflypin/fireflypin/internal/relay"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	// Flows is the number of open flows in a benchmark.
	Flows = 4096
	// Batch is the number of packets in flight.
	Batch = 64
	// Payload is the payload size of a packet in bytes.
	Payload = 100

	bufferBytes = 2048
)

// Loopback is the address to listen on for a free loopback port.
var Loopback = netip.MustParseAddrPort("127.0.0.1:0")

// FreeAddr returns a loopback address on which no process listens.
func FreeAddr(b *testing.B) netip.AddrPort {
	c, err := udpio.System(udpio.Config{}).Listen(Loopback)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr()
}

// StartRelay runs a minimal relay that sends to sink, and returns its address.
func StartRelay(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	r, err := relay.New(relay.Config{Network: udpio.System(udpio.Config{}), Listen: Loopback, Destination: sink})
	if err != nil {
		b.Fatal(err)
	}
	go r.Run()
	b.Cleanup(func() { r.Close() })
	return r.Addr()
}

// Exchanger sends batches of packets through a forwarder and reads them at the sink.
type Exchanger struct {
	b            *testing.B
	source, sink udpio.Conn
	out, in      []udpio.Message
	nextPacket   int
}

// NewExchanger returns an Exchanger with open sockets for the source and the sink.
func NewExchanger(b *testing.B) *Exchanger {
	network := udpio.System(udpio.Config{})
	x := &Exchanger{b: b, out: make([]udpio.Message, Batch), in: make([]udpio.Message, Batch)}
	for _, conn := range []*udpio.Conn{&x.source, &x.sink} {
		c, err := network.Listen(Loopback)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { c.Close() })
		*conn = c
	}
	for i := range x.in {
		x.in[i].Buf = make([]byte, bufferBytes)
	}
	return x
}

// Sink returns the address to which the forwarder must send the packets.
func (x *Exchanger) Sink() netip.AddrPort {
	return x.sink.LocalAddr()
}

// Exchange sends the next batch of packets to via, waits until all have arrived and returns one of them as
// received.
func (x *Exchanger) Exchange(via netip.AddrPort, packets [][]byte) []byte {
	for i := range x.out {
		p := packets[x.nextPacket%len(packets)]
		x.nextPacket++
		x.out[i] = udpio.Message{Buf: p, N: len(p), Addr: via}
	}
	if _, err := x.source.WriteBatch(x.out); err != nil {
		x.b.Fatal(err)
	}
	for remaining := Batch; remaining > 0; {
		n, err := x.sink.ReadBatch(x.in[:remaining])
		if err != nil {
			x.b.Fatal(err)
		}
		remaining -= n
	}
	return x.in[0].Buf[:x.in[0].N]
}

// ExchangeAll sends a packet of each flow and returns one of the last batch as received.
func (x *Exchanger) ExchangeAll(via netip.AddrPort, packets [][]byte) []byte {
	var last []byte
	for range Flows / Batch {
		last = x.Exchange(via, packets)
	}
	return last
}

// Measure sends b.N packets, rounded up to whole batches, and reports the packet rate.
func (x *Exchanger) Measure(via netip.AddrPort, packets [][]byte) {
	runtime.GC()
	x.b.ReportAllocs()
	x.b.ResetTimer()
	for range (x.b.N + Batch - 1) / Batch {
		x.Exchange(via, packets)
	}
	x.b.StopTimer()
	x.b.ReportMetric(float64(x.b.N)/x.b.Elapsed().Seconds(), "packets/s")
}
