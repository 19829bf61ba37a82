package relay_test

import (
	"context"
	"encoding/binary"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/daemon"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/listsource"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/internal/relay/relaybench"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/internal/wire"
	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/packet"
)

var benchService = netip.MustParseAddrPort("192.0.2.10:443")

// fixedLists is a list source that applies a single snapshot.
type fixedLists struct{ snapshot *model.Snapshot }

func (l fixedLists) Digest() listsource.Digest                      { return listsource.Digest{} }
func (l fixedLists) Document(lists.Kind) *listsource.Document       { return nil }
func (l fixedLists) HandleDigest(netip.AddrPort, listsource.Digest) {}
func (l fixedLists) Reload(context.Context) error                   { return nil }
func (l fixedLists) Status() listsource.Status                      { return listsource.Status{} }

func (l fixedLists) Run(ctx context.Context, apply func(*model.Snapshot)) error {
	apply(l.snapshot)
	<-ctx.Done()
	return nil
}

// benchLists returns a snapshot with one entry VM, and one target that receives packets at sink.
func benchLists(b *testing.B, data, peer, sink netip.AddrPort) *model.Snapshot {
	doc := func(name, text string) lists.Document { return lists.Document{Name: name, Data: []byte(text)} }
	s, err := lists.Parse(lists.Documents{
		Customers: doc("customers.yaml", `
kind: customers
revision: 1
customers: [{name: estate, plan: desk, prefixes: [10.0.0.0/8]}]
`),
		Plans: doc("plans.yaml", `
kind: plans
revision: 1
services: [{name: booking, addresses: ["192.0.2.10:443"], return: direct, margin: 0.05, ramp: 30s}]
plans: [{name: desk, services: [booking], new_flows_per_second: 100000, open_flows: 100000, on_revoke: finish}]
`),
		Machines: doc("machines.yaml", `
kind: machines
revision: 1
entries: [{name: e1, region: south, zone: a, data: "`+data.String()+`", peer: "`+peer.String()+`", bulk: "127.0.0.1:9", ops: "127.0.0.1:8", state: live}]
endpoints: [{name: p1, region: south, zone: a, state: live, targets: [{name: t1, service: booking, data: "`+sink.String()+`", weight: 1, max_connections: 100000, slots: 3}]}]
`),
	})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// startDaemon runs the daemon's forwarding path in the current process and returns its data address.
func startDaemon(b *testing.B, sink netip.AddrPort) netip.AddrPort {
	data, peer := relaybench.FreeAddr(b), relaybench.FreeAddr(b)
	ring, err := wire.NewKeyring(1, wire.Key{ID: 1, Secret: make([]byte, wire.MinSecretBytes)})
	if err != nil {
		b.Fatal(err)
	}
	d := daemon.New(daemon.Deps{
		Settings: &settings.Settings{
			Name: "e1", Zone: model.Zone{Region: "south", Name: "a"},
			Data: data, Peer: peer, Egress: sink, Workers: 1, MTU: settings.DefaultMTU,
			HeartbeatInterval: settings.DefaultHeartbeatInterval, LogBatchInterval: settings.DefaultLogBatchInterval,
			FlowIdleTimeout: settings.DefaultFlowIdleTimeout, DrainTimeout: time.Second,
		},
		Network: udpio.System(udpio.Config{}),
		Lists:   fixedLists{benchLists(b, data, peer, sink)},
		Keys:    wire.NewKeyStore(ring),
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
	for !d.Engine().Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return data
}

// flowPackets returns one packet for each flow.
func flowPackets(flags packet.Flags) [][]byte {
	packets := make([][]byte, relaybench.Flows)
	payload := make([]byte, relaybench.Payload)
	for i := range packets {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 10<<24|uint32(i))
		src := netip.AddrPortFrom(netip.AddrFrom4(ip), 40000)
		packets[i] = packet.AppendTCP(nil, src, benchService, flags, 1, 1, payload)
	}
	return packets
}

func benchmarkThrough(b *testing.B, start func(*testing.B, netip.AddrPort) netip.AddrPort) {
	x := relaybench.NewExchanger(b)
	via := start(b, x.Sink())
	x.ExchangeAll(via, flowPackets(packet.SYN))
	x.Measure(via, flowPackets(packet.ACK))
}

// BenchmarkRelay sends packets through the minimal relay. One operation is one packet.
func BenchmarkRelay(b *testing.B) { benchmarkThrough(b, relaybench.StartRelay) }

// BenchmarkForward sends packets of open flows through the daemon that owns them. One operation is one packet.
func BenchmarkForward(b *testing.B) { benchmarkThrough(b, startDaemon) }
