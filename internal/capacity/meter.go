package capacity

import (
	"math"
	"runtime"
	"time"
)

const (
	// timedRuns is the number of timed runs. The fastest is the result.
	timedRuns = 5
	// minRunDuration is the minimum duration of one run.
	minRunDuration = 20 * time.Millisecond
)

// nanoseconds returns the time of one call of f in nanoseconds. It passes the index of the call in its run
// to f.
func nanoseconds(f func(i int)) float64 {
	calls := 1
	best := math.Inf(1)
	for run := 0; run < timedRuns; {
		start := time.Now()
		for i := range calls {
			f(i)
		}
		took := time.Since(start)
		if took < minRunDuration {
			calls *= 2
			continue
		}
		best = min(best, float64(took)/float64(calls))
		run++
	}
	return best
}

// heapBytes returns the number of heap bytes that build leaves in use. The value that build returns is kept
// alive during the measurement.
func heapBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return math.Max(float64(after)-float64(before), 0)
}

func heapInUse() uint64 {
	// The first collection may only queue finalizers; the second frees the memory.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
