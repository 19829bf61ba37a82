package capacity

import (
	"math"
	"runtime"
	"time"
)

const (
	// timedRuns is the number of runs of which the best counts.
	timedRuns = 5
	// timedRun is the least length of one run.
	timedRun = 20 * time.Millisecond
)

// nanoseconds returns the time of one call of f, which gets the number of the call.
func nanoseconds(f func(i int)) float64 {
	calls := 1
	best := math.Inf(1)
	for run := 0; run < timedRuns; {
		start := time.Now()
		for i := range calls {
			f(i)
		}
		took := time.Since(start)
		if took < timedRun {
			calls *= 2
			continue
		}
		best = min(best, float64(took)/float64(calls))
		run++
	}
	return best
}

// heapBytes returns the heap that build leaves in use. build returns what must stay alive meanwhile.
func heapBytes(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return math.Max(float64(after)-float64(before), 0)
}

func heapInUse() uint64 {
	// Two collections: the first one may only queue finalizers.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
