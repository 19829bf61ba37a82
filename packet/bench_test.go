package packet

import (
	"testing"

	"github.com/fireflypin/fireflypin/errkind"
)

func benchmarkDecode(b *testing.B, p []byte) {
	d := NewDecoder(DecoderConfig{})
	var m Meta
	b.ReportAllocs()
	for b.Loop() {
		if d.Decode(p, &m) != errkind.None {
			b.Fatal("packet rejected")
		}
	}
}

func BenchmarkDecodeIPv4(b *testing.B) { benchmarkDecode(b, ipv4Packet()) }
func BenchmarkDecodeIPv6(b *testing.B) { benchmarkDecode(b, ipv6Packet()) }

func BenchmarkHash(b *testing.B) {
	key := FlowKey{caller4, service4}
	b.ReportAllocs()
	for b.Loop() {
		key.Hash()
	}
}

func BenchmarkAppendReset(b *testing.B) {
	buf := make([]byte, 0, DefaultMTU)
	m := &Meta{Src: caller4, Dst: service4, Flags: SYN, Seq: 1}
	b.ReportAllocs()
	for b.Loop() {
		AppendReset(buf, m, "service_full: not run; retry after 1000 ms")
	}
}
