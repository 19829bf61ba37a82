package metrics

import (
	"math/bits"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the size and the decay factor of the sample for percentiles, which
	// cover about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015

	// bucketCount is the number of buckets with a finite bound, up to 2^32-1. Larger values are only in
	// the last bucket, which has no bound.
	bucketCount = 33
)

// Histogram is a go-metrics histogram that also counts values in buckets with bounds that double, so that
// histograms of several processes can be summed. Negative values count as 0.
type Histogram struct {
	gometrics.Histogram
	// buckets[i] counts the values with i significant bits.
	buckets [bucketCount + 1]atomic.Int64
	sum     atomic.Int64
}

func newHistogram() *Histogram {
	return &Histogram{Histogram: gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))}
}

// Update records a value.
func (h *Histogram) Update(v int64) {
	v = max(v, 0)
	h.Histogram.Update(v)
	h.buckets[min(bits.Len64(uint64(v)), bucketCount)].Add(1)
	h.sum.Add(v)
}

// Total returns the sum of all recorded values. Unlike Sum of the embedded histogram, it is not limited to
// the sample.
func (h *Histogram) Total() int64 {
	return h.sum.Load()
}

// bucketBound returns the largest value of the bucket i.
func bucketBound(i int) uint64 {
	return 1<<i - 1
}
