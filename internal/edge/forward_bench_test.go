package edge_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/relay"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/platform"
)

const (
	benchFlows   = 4096
	benchBatch   = 64
	benchPayload = 100
	// benchTarget is the only target, so that every flow has its tag.
	benchTarget = "i-01"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// exchanger sends batches through a forwarder and reads them from the sink.
type exchanger struct {
	b            *testing.B
	source, sink udpio.Conn
	out, in      []udpio.Message
	next         int
}

func newExchanger(b *testing.B) *exchanger {
	x := &exchanger{b: b, out: make([]udpio.Message, benchBatch), in: make([]udpio.Message, benchBatch)}
	for _, conn := range []*udpio.Conn{&x.source, &x.sink} {
		c, err := udpio.System(udpio.Config{}).Listen(loopback)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { c.Close() })
		*conn = c
	}
	for i := range x.in {
		x.in[i].Buf = make([]byte, 2048)
	}
	return x
}

// exchange sends the next batch of packets, waits until all have come through and returns the last one.
func (x *exchanger) exchange(via netip.AddrPort, packets [][]byte) []byte {
	for i := range x.out {
		p := packets[x.next%len(packets)]
		x.next++
		x.out[i] = udpio.Message{Buf: p, N: len(p), Addr: via}
	}
	if _, err := x.source.WriteBatch(x.out); err != nil {
		x.b.Fatal(err)
	}
	for rest := benchBatch; rest > 0; {
		n, err := x.sink.ReadBatch(x.in[:rest])
		if err != nil {
			x.b.Fatal(err)
		}
		rest -= n
	}
	return x.in[0].Buf[:x.in[0].N]
}

// benchPackets returns one packet of each flow.
func benchPackets(flags byte, tag uint32, data int) [][]byte {
	c := &client{addr: netip.MustParseAddr("100.64.0.7")}
	packets := make([][]byte, benchFlows)
	for i := range packets {
		packets[i] = c.packetOf(uint16(1024+i), 1, flags, 100, 1, tag, data)
	}
	return packets
}

// startTagged runs the daemon's forwarding path in this process and returns its data address.
func startTagged(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	free := func() netip.AddrPort {
		c, err := udpio.System(udpio.Config{}).Listen(loopback)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr()
	}
	data, peer := free(), free()
	s := newStore()
	s.put("op/config", `{"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","kind":"safe","service":"booking"}],"services":[{"name":"booking","max_connections":100000}]}`)
	s.put("servers/"+benchTarget, fmt.Sprintf(`{"service":"booking","address":%q,"zone":"a","slots":3,"state":"ready"}`, sink))
	ring, err := wire.KeyringOf(nil)
	if err != nil {
		b.Fatal(err)
	}
	f := &fleet{store: s, nodes: make(map[netip.AddrPort]*node), dead: make(map[string]bool)}
	d := edge.New(edge.Deps{
		Settings: &settings.Settings{
			Name: "e1", Zone: model.Zone{Region: "r", Name: "a"}, Data: data, Peer: peer, Bulk: peer, DrainTimeout: time.Second,
		},
		Network:     udpio.System(udpio.Config{}),
		Transport:   platform.NewTransport(data),
		Store:       s,
		Interpreter: platform.Items{},
		Prober:      f,
		Keys:        wire.NewKeyStore(ring),
		Fetcher:     f,
		System: edge.System{
			Listen:    func(netip.AddrPort, http.Handler) (io.Closer, error) { return io.NopCloser(nil), nil },
			SinceBoot: func() (time.Duration, bool) { return 0, false },
		},
		Metrics: metrics.NewSet(),
		Log:     log.New(io.Discard),
		Now:     time.Now(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	for d.Ready() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return data
}

// startRelay runs the bare relay and returns its address.
func startRelay(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	r, err := relay.New(relay.Config{Network: udpio.System(udpio.Config{}), Listen: loopback, To: sink})
	if err != nil {
		b.Fatal(err)
	}
	go r.Run()
	b.Cleanup(func() { r.Close() })
	return r.Addr()
}

func benchmarkThrough(b *testing.B, start func(*testing.B, netip.AddrPort) netip.AddrPort) {
	x := newExchanger(b)
	via := start(b, x.sink.LocalAddr())
	var opened []byte
	syns := benchPackets(wireSYN, 0, 0)
	for range benchFlows / benchBatch {
		opened = x.exchange(via, syns)
	}
	tag := uint32(0)
	if len(opened) > 8+tagAt {
		tag = binary.BigEndian.Uint32(opened[8+tagAt:])
	}
	packets := benchPackets(wireACK, tag, benchPayload)
	runtime.GC()
	b.ReportAllocs()
	b.ResetTimer()
	for range (b.N + benchBatch - 1) / benchBatch {
		x.exchange(via, packets)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkRelay passes packets through the bare relay; one operation is one packet.
func BenchmarkRelay(b *testing.B) { benchmarkThrough(b, startRelay) }

// BenchmarkForwardTagged passes packets of open flows through the daemon.
func BenchmarkForwardTagged(b *testing.B) { benchmarkThrough(b, startTagged) }
