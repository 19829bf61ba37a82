package placementlab

import (
	"sync"
)

// Comparison is a set of runs: one for each combination of workload, fault, candidate and seed.
type Comparison struct {
	Workloads  []Workload
	Faults     []Fault
	Candidates []Candidate
	// Scenario returns the scenario of a run; default NewScenario.
	Scenario func(w Workload, f Fault, seed uint64) Scenario
	// Seeds is the number of seeds. The seeds are 1 to Seeds.
	Seeds int
	// Parallel is the maximum number of concurrent runs; values below 1 mean 1.
	Parallel int
}

// Run executes all runs and returns the results ordered by workload, fault, candidate and seed.
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

// runAll executes runs, at most parallel of them concurrently, and returns their results in the order of
// runs.
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

// Mean is the mean result of the runs that differ only in their seed.
type Mean struct {
	Result
	Seeds int `json:"seeds"`
	// FlowsMaxLowest and FlowsMaxHighest are the minimum and maximum of FlowsMax over the seeds.
	FlowsMaxLowest  float64 `json:"flows_max_least"`
	FlowsMaxHighest float64 `json:"flows_max_most"`
}

// Means returns the means of results over the seeds. The results must be in the order of Comparison.Run.
// Ratios, rates and times are averaged; counts are summed.
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
	return Mean{Result: r, Seeds: 1, FlowsMaxLowest: r.FlowsMax, FlowsMaxHighest: r.FlowsMax}
}

func (m *Mean) sameCase(r Result) bool {
	return m.Workload == r.Workload && m.Fault == r.Fault && m.Policy == r.Policy
}

func (m *Mean) add(r Result) {
	m.Seeds++
	m.FlowsMaxLowest = min(m.FlowsMaxLowest, r.FlowsMax)
	m.FlowsMaxHighest = max(m.FlowsMaxHighest, r.FlowsMax)
	m.FlowsMax += r.FlowsMax
	m.FlowsP99 += r.FlowsP99
	m.SlotsMax += r.SlotsMax
	m.SlotsP99 += r.SlotsP99
	m.Exceptions += r.Exceptions
	m.NewExceptions += r.NewExceptions
	m.WaitP99 += r.WaitP99
	m.AvoidedAfter += r.AvoidedAfter
	m.Unanswered += r.Unanswered
	m.LateFlows += r.LateFlows
	m.NewFlows += r.NewFlows
	for kind, n := range r.Refused {
		m.Refused[kind] += n
	}
}

func (m *Mean) divide() {
	n := float64(m.Seeds)
	for _, field := range []*float64{
		&m.FlowsMax, &m.FlowsP99, &m.SlotsMax, &m.SlotsP99,
		&m.Exceptions, &m.NewExceptions, &m.WaitP99, &m.AvoidedAfter,
	} {
		*field /= n
	}
}
