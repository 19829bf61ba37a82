package edge_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/edge"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/relay/relaybench"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/platform"
)

// benchTarget is the only target, so that all flows have the same tag.
const benchTarget = "i-01"

// benchPackets returns one packet per flow.
func benchPackets(flags byte, tag uint32, data int) [][]byte {
	c := &client{addr: netip.MustParseAddr("100.64.0.7")}
	packets := make([][]byte, relaybench.Flows)
	for i := range packets {
		packets[i] = c.packetOf(uint16(1024+i), 1, flags, 100, 1, tag, data)
	}
	return packets
}

// startTagged runs the daemon's forwarding path in this process and returns its data address.
func startTagged(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	data, peer := relaybench.FreeAddr(b), relaybench.FreeAddr(b)
	s := newStore()
	s.put("op/config", `{"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","kind":"safe","service":"booking"}],"services":[{"name":"booking","max_connections":100000}]}`)
	s.put("servers/"+benchTarget, fmt.Sprintf(`{"service":"booking","address":%q,"zone":"a","slots":3,"state":"ready","version":"v1","sequence":1,"warmup_remaining_ms":0,"born":1}`, sink))
	ring, err := wire.LoadKeyringOrDefault(nil)
	if err != nil {
		b.Fatal(err)
	}
	f := &fleet{store: s, nodes: make(map[netip.AddrPort]*node), failed: make(map[string]bool)}
	d := edge.New(edge.Deps{
		Settings: &settings.Settings{
			Name: "e1", Zone: model.Zone{Region: "r", Name: "a"}, Data: data, Peer: peer, Bulk: peer, DrainTimeout: time.Second,
		},
		Network:     udpio.System(udpio.Config{}),
		Transport:   platform.NewTransport(data),
		Store:       s,
		Interpreter: platform.ItemInterpreter{},
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

func benchmarkThrough(b *testing.B, start func(*testing.B, netip.AddrPort) netip.AddrPort) {
	x := relaybench.NewExchanger(b)
	via := start(b, x.Sink())
	opened := x.ExchangeAll(via, benchPackets(wireSYN, 0, 0))
	tag := uint32(0)
	if len(opened) > 8+tagOffset {
		tag = binary.BigEndian.Uint32(opened[8+tagOffset:])
	}
	x.Measure(via, benchPackets(wireACK, tag, relaybench.Payload))
}

// BenchmarkRelay sends packets through the bare relay; one operation is one packet.
func BenchmarkRelay(b *testing.B) { benchmarkThrough(b, relaybench.StartRelay) }

// BenchmarkForwardTagged sends packets of open flows through the daemon; one operation is one packet.
func BenchmarkForwardTagged(b *testing.B) { benchmarkThrough(b, startTagged) }
