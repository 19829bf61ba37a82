package placementlab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflypin/fireflypin/placement"
)

func TestTrial(t *testing.T) {
	var wg sync.WaitGroup
	sem := make(chan int, 6)
	cs := Candidates()
	if os.Getenv("SCAN") != "" {
		cs = cs[:1]
		for _, rw := range []float64{0.5, 0.75} {
			for _, z := range []float64{0.0001, 0.01, 0.02, 0.05} {
				for _, m := range []float64{0.04, 0.05, 0.06} {
					cs = append(cs, configured(fmt.Sprintf("rw%.2f-z%.2f-m%.2f", rw, z, m), m, placement.ChosenConfig{ReportWeight: rw, ZoneMargin: z}))
				}
			}
		}
	}
	const seeds = 3
	for _, w := range Workloads[:] {
		if os.Getenv("W") != "" && !strings.Contains(w.Name, os.Getenv("W")) {
			continue
		}
		for _, f := range Faults {
			if os.Getenv("SCAN") != "" && f != Healthy {
				continue
			}
			for _, c := range cs {
				wg.Go(func() {
					var m Result
					m.Refused = map[string]int{}
					for seed := range uint64(seeds) {
						sem <- 1
						r := Run(NewScenario(w, f, seed+1), c)
						<-sem
						m.FlowsMax += r.FlowsMax / seeds
						m.FlowsP99 += r.FlowsP99 / seeds
						m.SlotsMax += r.SlotsMax / seeds
						m.SlotsP99 += r.SlotsP99 / seeds
						m.Exceptions += r.Exceptions / seeds
						m.WaitP99 += r.WaitP99 / seeds
						m.Unanswered += r.Unanswered
						m.LostAfter += r.LostAfter / seeds
						m.Late += r.Late
						for k, v := range r.Refused {
							m.Refused[k] += v
						}
					}
					fmt.Printf("%-16s %-9s %-13s fmax %.3f p99 %.3f smax %.3f sp99 %.3f exc %.3f wait %.0f ref %v unans %d lost %.1f late %d\n", w.Name, f, c.Name, m.FlowsMax, m.FlowsP99, m.SlotsMax, m.SlotsP99, m.Exceptions, m.WaitP99, m.Refused, m.Unanswered, m.LostAfter, m.Late)
				})
			}
		}
	}
	wg.Wait()
}

func TestForecastTrial(t *testing.T) {
	var wg sync.WaitGroup
	sem := make(chan int, 6)
	const seeds = 5
	for _, period := range []time.Duration{time.Second, 5 * time.Second} {
		for _, weight := range []float64{0.75, 1} {
			for _, w := range Workloads {
				for _, f := range []Fault{Healthy, Cold, Drain} {
					for _, c := range Forecasts(period, weight) {
						wg.Go(func() {
							var fm, sm, e, p99 float64
							var all []string
							for seed := range uint64(seeds) {
								sc := NewScenario(w, f, seed+1)
								sc.ReportEvery = period
								sc.ReportLag = time.Second
								sem <- 1
								r := Run(sc, c)
								<-sem
								fm += r.FlowsMax / seeds
								p99 += r.FlowsP99 / seeds
								sm += r.SlotsMax / seeds
								e += r.Exceptions / seeds
								all = append(all, fmt.Sprintf("%.4f", r.FlowsMax))
							}
							fmt.Printf("FC %v w%.2f %-16s %-8s %-9s fmax %.4f p99 %.4f smax %.3f exc %.3f  %v\n", period, weight, w.Name, f, c.Name, fm, p99, sm, e, all)
						})
					}
				}
			}
		}
	}
	wg.Wait()
}
