package room

import (
	"fmt"
	"testing"
	"time"
)

// twoKinds returns the kinds of a service with long work: one that counts twice, and one of which there is more than
// the targets can serve. load is the demand relative to the slots.
func twoKinds(slots int, load float64) []siteKind {
	const share = 0.18 // of the more important kind, in slot time
	capacity := float64(slots) * load
	return []siteKind{
		{priority: 2, perSecond: capacity * (1 - share) / 0.055, work: 55 * time.Millisecond, goal: 500 * time.Millisecond, budget: 4 * time.Second, worth: 1, bytes: 2000},
		{priority: 1, perSecond: capacity * share / 0.072, work: 72 * time.Millisecond, goal: 600 * time.Millisecond, budget: 4 * time.Second, worth: 2, bytes: 750},
	}
}

// BenchmarkVariants compares ways to decide who is served, by the share of the owed credit that callers earn:
//
//	go test ./internal/room -run xxx -bench Variants -benchtime 1x
func BenchmarkVariants(b *testing.B) {
	variants := []struct {
		name string
		set  func(*siteConfig)
	}{
		{"no gate", func(c *siteConfig) { c.noGate = true }},
		{"all alike", func(c *siteConfig) { c.equal = true }},
		{"priorities", func(*siteConfig) {}},
		{"no waiting", func(c *siteConfig) { c.noWait = true }},
		{"refused by silence", func(c *siteConfig) { c.refuseBySilence = true }},
	}
	for _, daemons := range []int{8, 72, 88, 300} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("%d/%s", daemons, v.name), func(b *testing.B) {
				for i := range b.N {
					cfg := siteConfig{seed: uint64(i), zones: 4, perZone: daemons / 4, targetsPerZone: 16, slots: 2, queue: 8, kinds: twoKinds(128, 2), pooled: 0.9}
					v.set(&cfg)
					s := newSite(cfg).run(8 * time.Second)
					b.ReportMetric(s.credit(), "credit")
					b.ReportMetric(s.results[0].share(), "less")
					b.ReportMetric(s.results[1].share(), "more")
					b.ReportMetric(float64(s.connections), "connections")
					b.ReportMetric(float64(s.results[0].late), "late")
				}
			})
		}
	}
}
