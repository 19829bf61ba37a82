package metrics

import (
	"math/bits"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha make percentiles speak of the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015

	// bucketCount covers values up to 2^32-1; larger ones are in the last bucket only.
	bucketCount = 33
)

// Histogram is a go-metrics histogram that also counts values in buckets which double in width, so that
// an operator can add up histograms of many processes. Negative values count as 0.
type Histogram struct {
	gometrics.Histogram
	// buckets[i] counts the values of i significant bits.
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

// Total returns the sum of all values since the start.
func (h *Histogram) Total() int64 {
	return h.sum.Load()
}

// bucketBound returns the largest value of a bucket.
func bucketBound(i int) uint64 {
	return 1<<i - 1
}
