package placementlab

import (
	"math"
	"slices"
)

// Result holds the measurements of one run.
type Result struct {
	Workload string `json:"workload"`
	Fault    Fault  `json:"fault"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// FlowsMax and FlowsP99 describe the open flows per target, sampled once a second: the mean over time of
	// the max/mean ratio, and the 99th percentile over all samples of a target's flows divided by the mean.
	FlowsMax float64 `json:"flows_max"`
	FlowsP99 float64 `json:"flows_p99"`
	// SlotsMax and SlotsP99 are the same for the offered slot time, summed over ten seconds per sample.
	SlotsMax float64 `json:"slots_max"`
	SlotsP99 float64 `json:"slots_p99"`
	// Exceptions is the mean fraction of open flows that are exceptions, that is, whose target is not their
	// default target. NewExceptions is the number of new exceptions per second.
	Exceptions    float64 `json:"exceptions"`
	NewExceptions float64 `json:"new_exceptions_per_second"`
	// WaitP99 is the 99th percentile of the time that a request waits for a slot, in milliseconds.
	WaitP99 float64 `json:"wait_p99_ms"`
	// Refused counts the new flows that got no target, by error kind.
	Refused map[string]int `json:"refused,omitempty"`
	// Unanswered counts first connection attempts to a target that does not answer.
	Unanswered int `json:"unanswered"`
	// AvoidedAfter is the time in seconds from the start of the fault until the target under fault gets less
	// than a tenth of its share of connection attempts; -1 if this does not happen or does not apply to the
	// fault.
	AvoidedAfter float64 `json:"lost_after_s"`
	// LateFlows counts new flows on the draining target from 3 s after the announcement on.
	LateFlows int `json:"late"`
	// NewFlows counts the new flows during the measured time.
	NewFlows int `json:"new"`
}

// loadRatios accumulates samples of a value per target.
type loadRatios struct {
	maxSum  float64
	samples int
	all     []float64
}

// add adds one sample, which has one value per target. Values must already be divided by the target's
// weight. A sample whose values are all 0 is ignored.
func (r *loadRatios) add(values []float64) {
	sum, highest := 0.0, 0.0
	for _, v := range values {
		sum += v
		highest = max(highest, v)
	}
	if sum == 0 {
		return
	}
	mean := sum / float64(len(values))
	r.maxSum += highest / mean
	r.samples++
	for _, v := range values {
		r.all = append(r.all, v/mean)
	}
}

func (r *loadRatios) meanMaxOverMean() float64 {
	return r.maxSum / max(float64(r.samples), 1)
}

func (r *loadRatios) p99OverMean() float64 {
	return quantile(r.all, 0.99)
}

// quantile sorts values in place and returns their q-quantile (q from 0 to 1); 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(i, 0)]
}
