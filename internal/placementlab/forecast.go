package placementlab

import (
	"math"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// predictor estimates a target's connections from its load reports.
type predictor interface {
	// add takes the next report.
	add(connections float64)
	// at returns the estimate for a time that lies the given number of report periods after the last
	// report.
	at(periods float64) float64
}

// lastReport repeats the last report.
type lastReport struct{ value float64 }

func (p *lastReport) add(c float64)      { p.value = c }
func (p *lastReport) at(float64) float64 { return p.value }

// plainAverage is the mean of the last five reports.
type plainAverage struct{ values []float64 }

func (p *plainAverage) add(c float64) {
	const window = 5
	p.values = append(p.values, c)
	if len(p.values) > window {
		p.values = p.values[1:]
	}
}

func (p *plainAverage) at(float64) float64 {
	sum := 0.0
	for _, v := range p.values {
		sum += v
	}
	return sum / float64(max(len(p.values), 1))
}

// holt is Holt's double exponential smoothing whose constants are those that would have forecast the
// last report best: T. Neves, L. S. Ochi, C. Albuquerque, "A new hybrid heuristic for replica placement
// and request distribution in content distribution networks", Optimization Letters,
// DOI 10.1007/s11590-014-0770-6, section 3.2.
type holt struct {
	level, trend [constants][constants]float64
	best         [2]int
	reports      int
}

// constants is the number of values of each smoothing constant: 0.1, 0.2, ... 0.9.
const constants = 9

func (p *holt) add(c float64) {
	p.reports++
	if p.reports == 1 {
		for i := range constants {
			for j := range constants {
				p.level[i][j] = c
			}
		}
		return
	}
	least := math.Inf(1)
	for i := range constants {
		for j := range constants {
			if miss := math.Abs(p.level[i][j] + p.trend[i][j] - c); miss < least {
				least = miss
				p.best = [2]int{i, j}
			}
			p.smooth(i, j, c)
		}
	}
}

func (p *holt) smooth(i, j int, c float64) {
	alpha, lambda := float64(i+1)/10, float64(j+1)/10
	old := p.level[i][j]
	p.level[i][j] = alpha*c + (1-alpha)*(old+p.trend[i][j])
	p.trend[i][j] = lambda*(p.level[i][j]-old) + (1-lambda)*p.trend[i][j]
}

func (p *holt) at(periods float64) float64 {
	i, j := p.best[0], p.best[1]
	return max(p.level[i][j]+periods*p.trend[i][j], 0)
}

// forecaster shows a policy predicted connections in place of reported ones.
type forecaster struct {
	placement.Loads
	period time.Duration
	create func() predictor
	series map[model.TargetID]*series
}

type series struct {
	predictor predictor
	last      time.Time
}

// Observe implements placement.Loads.
func (f *forecaster) Observe(now time.Time, t model.TargetID) placement.Observation {
	o := f.Loads.Observe(now, t)
	if !o.FleetKnown {
		return o
	}
	s := f.series[t]
	if s == nil {
		s = &series{predictor: f.create()}
		f.series[t] = s
	}
	if read := now.Add(-o.ReportAge); read.After(s.last) {
		s.last = read
		s.predictor.add(float64(o.Reported))
	}
	o.FleetOpen = int(s.predictor.at(float64(o.ReportAge) / float64(f.period)))
	return o
}

// Forecasts are candidates that differ in how they estimate the fleet's flows from reports of the
// given period.
func Forecasts(period time.Duration, weight float64) []Candidate {
	wrap := func(create func() predictor) func(placement.Loads) placement.Loads {
		return func(l placement.Loads) placement.Loads {
			return &forecaster{Loads: l, period: period, create: create, series: make(map[model.TargetID]*series)}
		}
	}
	cfg := placement.ChosenConfig{ReportWeight: weight}
	all := []Candidate{configured("corrected", 0, cfg), configured("last", 0, cfg), configured("average", 0, cfg), configured("holt", 0, cfg)}
	all[1].Wrap = wrap(func() predictor { return new(lastReport) })
	all[2].Wrap = wrap(func() predictor { return new(plainAverage) })
	all[3].Wrap = wrap(func() predictor { return new(holt) })
	return all
}
