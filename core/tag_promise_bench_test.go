package core

import (
	"testing"

	"pgregory.net/rapid"
)

// BenchmarkBrokenPromises counts the simulated sites in which each rule is violated, to compare two versions of the
// code:
//
//	go test ./core -run xxx -bench BrokenPromises -benchtime 100x
func BenchmarkBrokenPromises(b *testing.B) {
	variants := []struct {
		name string
		simVariant
	}{
		{"lenient", simVariant{losses: soundLoss}},
		{"strict", simVariant{strict: true, losses: soundLoss}},
		{"reuse", simVariant{reuse: true, losses: soundLoss}},
		{"loss alone", simVariant{calm: true, losses: heavyLoss}},
	}
	for _, v := range variants {
		b.Run(v.name, func(b *testing.B) {
			sites := rapid.Custom(func(t *rapid.T) simConfig { return simOf(t, v.simVariant) })
			broken := make([]int, simRules)
			for i := range b.N {
				w := newSim(sites.Example(i + 1)).run()
				for rule := range broken {
					if w.first(simRule(rule)) != nil {
						broken[rule]++
					}
				}
			}
			for rule, unit := range simRuleNames {
				b.ReportMetric(float64(broken[rule]), unit)
			}
		})
	}
}

var simRuleNames = [simRules]string{
	"astray", "copies-astray", "daemon-resets", "record-resets", "copies-refused", "stray-resets", "target-resets",
}
