package placementlab

import (
	"math"
	"slices"
)

// Result is what one run measured.
type Result struct {
	Workload string `json:"workload"`
	Fault    Fault  `json:"fault"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// FlowsMax and FlowsP99 are open flows per target: the time's mean of max/mean, and the 99th
	// percentile of target/mean over all samples of one second.
	FlowsMax float64 `json:"flows_max"`
	FlowsP99 float64 `json:"flows_p99"`
	// SlotsMax and SlotsP99 are the same for offered busy slots, means of ten seconds.
	SlotsMax float64 `json:"slots_max"`
	SlotsP99 float64 `json:"slots_p99"`
	// Exceptions is the share of open flows that are not on their default target, a mean over time;
	// NewExceptions the rate of new ones per second.
	Exceptions    float64 `json:"exceptions"`
	NewExceptions float64 `json:"new_exceptions_per_second"`
	// WaitP99 is the 99th percentile of the time a request waits for a slot, in milliseconds.
	WaitP99 float64 `json:"wait_p99_ms"`
	// Refused counts new flows that got no target, by kind.
	Refused map[string]int `json:"refused,omitempty"`
	// Unanswered counts first attempts that met a target that does not answer.
	Unanswered int `json:"unanswered"`
	// LostAfter is the time from the fault until the target of the fault gets less than a tenth of its
	// share of first attempts, in seconds; -1 where there is none.
	LostAfter float64 `json:"lost_after_s"`
	// Late counts new flows on the target of a drain after 3 s.
	Late int `json:"late"`
	// New counts the new flows of the measured time.
	New int `json:"new"`
}

// ratios collects samples of several targets.
type ratios struct {
	maxSum float64
	n      int
	all    []float64
}

// add takes one sample per target, each already divided by the target's weight.
func (r *ratios) add(values []float64) {
	sum, most := 0.0, 0.0
	for _, v := range values {
		sum += v
		most = max(most, v)
	}
	if sum == 0 {
		return
	}
	mean := sum / float64(len(values))
	r.maxSum += most / mean
	r.n++
	for _, v := range values {
		r.all = append(r.all, v/mean)
	}
}

func (r *ratios) maxMean() float64 {
	return r.maxSum / max(float64(r.n), 1)
}

func (r *ratios) p99() float64 {
	return quantile(r.all, 0.99)
}

// quantile sorts values and returns their quantile q; 0 when there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(i, 0)]
}
