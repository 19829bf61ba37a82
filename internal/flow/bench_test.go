package flow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

func benchmarkTouch(b *testing.B, flows int) {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := epoch.Add(time.Minute)
	table := NewTable(Config{}, epoch)
	src := rand.New(rand.NewPCG(1, 1))
	hashes := make([]model.FlowHash, flows)
	for i := range hashes {
		hashes[i] = model.FlowHash(src.Uint64())
		table.Insert(now, hashes[i], Entry{Target: 1, State: StateOpen, Service: PackedAddrPort{Port: 443}})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, ok := table.Touch(now, hashes[i], StateOpen); !ok {
			b.Fatal("flow missing")
		}
		if i++; i == len(hashes) {
			i = 0
		}
	}
}

func BenchmarkTouch4096(b *testing.B)   { benchmarkTouch(b, 4096) }
func BenchmarkTouch300000(b *testing.B) { benchmarkTouch(b, 300_000) }
