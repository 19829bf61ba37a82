package placementlab

import (
	"sync"
)

// Comparison is a set of runs: every candidate under every fault of every workload with every seed.
type Comparison struct {
	Workloads  []Workload
	Faults     []Fault
	Candidates []Candidate
	// Scenario returns the scenario of a run; NewScenario by default.
	Scenario func(w Workload, f Fault, seed uint64) Scenario
	// Seeds is the number of seeds; they are 1, 2, and so on.
	Seeds int
	// Parallel is the number of runs at the same time; at least 1.
	Parallel int
}

// Run carries out the runs and returns the results in a fixed order: workload, fault, candidate, seed.
func (c Comparison) Run() []Result {
	scenario := c.Scenario
	if scenario == nil {
		scenario = NewScenario
	}
	var runs []func() Result
	for _, w := range c.Workloads {
		for _, f := range c.Faults {
			for _, candidate := range c.Candidates {
				for seed := range c.Seeds {
					runs = append(runs, func() Result { return Run(scenario(w, f, uint64(seed)+1), candidate) })
				}
			}
		}
	}
	return runAll(runs, max(c.Parallel, 1))
}

// runAll carries out runs, at most parallel of them at the same time, and keeps their order.
func runAll(runs []func() Result, parallel int) []Result {
	results := make([]Result, len(runs))
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for i, run := range runs {
		slots <- struct{}{}
		group.Go(func() {
			results[i] = run()
			<-slots
		})
	}
	group.Wait()
	return results
}

// Mean is the mean of the runs that differ in their seed alone.
type Mean struct {
	Result
	Seeds int `json:"seeds"`
	// FlowsMaxLeast and FlowsMaxMost are the ends of FlowsMax over the seeds.
	FlowsMaxLeast float64 `json:"flows_max_least"`
	FlowsMaxMost  float64 `json:"flows_max_most"`
}

// Means returns the means over seeds of results that Comparison.Run returned. Counts are added up.
func Means(results []Result) []Mean {
	var means []Mean
	for _, r := range results {
		last := len(means) - 1
		if last < 0 || !means[last].sameCase(r) {
			means = append(means, newMean(r))
			continue
		}
		means[last].add(r)
	}
	for i := range means {
		means[i].divide()
	}
	return means
}

func newMean(r Result) Mean {
	refused := make(map[string]int)
	for kind, n := range r.Refused {
		refused[kind] = n
	}
	r.Refused = refused
	return Mean{Result: r, Seeds: 1, FlowsMaxLeast: r.FlowsMax, FlowsMaxMost: r.FlowsMax}
}

func (m *Mean) sameCase(r Result) bool {
	return m.Workload == r.Workload && m.Fault == r.Fault && m.Policy == r.Policy
}

func (m *Mean) add(r Result) {
	m.Seeds++
	m.FlowsMaxLeast = min(m.FlowsMaxLeast, r.FlowsMax)
	m.FlowsMaxMost = max(m.FlowsMaxMost, r.FlowsMax)
	m.FlowsMax += r.FlowsMax
	m.FlowsP99 += r.FlowsP99
	m.SlotsMax += r.SlotsMax
	m.SlotsP99 += r.SlotsP99
	m.Exceptions += r.Exceptions
	m.NewExceptions += r.NewExceptions
	m.WaitP99 += r.WaitP99
	m.LostAfter += r.LostAfter
	m.Unanswered += r.Unanswered
	m.Late += r.Late
	m.New += r.New
	for kind, n := range r.Refused {
		m.Refused[kind] += n
	}
}

func (m *Mean) divide() {
	n := float64(m.Seeds)
	for _, field := range []*float64{
		&m.FlowsMax, &m.FlowsP99, &m.SlotsMax, &m.SlotsP99,
		&m.Exceptions, &m.NewExceptions, &m.WaitP99, &m.LostAfter,
	} {
		*field /= n
	}
}
