// Counts of requests in progress that forget those whose end was never seen.

package room

import "time"

// levels is the number of degrees of importance that are told apart within a service; less important ones share the
// last.
const levels = 3

const (
	// bucketWidth is the resolution of the counts in time.
	bucketWidth = 50 * time.Millisecond
	// requestBuckets bounds how long a request counts as in progress without a sign of its end, 1.6 s: callers of a
	// target that has failed send nothing more on the flow.
	requestBuckets = 32
	// openingBuckets is the same for flows that wait for an answer to their SYN, 0.2 s: a target answers at once or
	// the caller sends the SYN again.
	openingBuckets = 4
)

// ring counts items by level and by the time at which they began. Items older than its span are forgotten.
type ring struct {
	counts [levels][requestBuckets]int32
	totals [levels]int32
	// span is the number of buckets in use.
	span int64
	// last is the number of the newest bucket.
	last int64
}

func bucketOf(at time.Time) int64 {
	return at.UnixNano() / int64(bucketWidth)
}

// advance forgets the buckets that have left the span.
func (r *ring) advance(now time.Time) {
	b := bucketOf(now)
	for n := max(r.last+1, b-r.span+1); n <= b; n++ {
		r.clear(n % r.span)
	}
	if b-r.last > r.span {
		for i := range r.span {
			r.clear(i)
		}
	}
	r.last = max(r.last, b)
}

func (r *ring) clear(i int64) {
	for l := range levels {
		r.totals[l] -= r.counts[l][i]
		r.counts[l][i] = 0
	}
}

// add counts an item that begins now.
func (r *ring) add(now time.Time, level int) {
	r.advance(now)
	r.counts[level][r.last%r.span]++
	r.totals[level]++
}

// remove counts the end of an item that began at a time, unless it was forgotten.
func (r *ring) remove(now, began time.Time, level int) {
	r.advance(now)
	b := bucketOf(began)
	for n := b + 1; n >= b-1; n-- { // the start is known to the millisecond only
		if n > r.last || n <= r.last-r.span || n < 0 {
			continue
		}
		if c := &r.counts[level][n%r.span]; *c > 0 {
			*c--
			r.totals[level]--
			return
		}
	}
}

// upTo returns the number of items that are as important as level or more.
func (r *ring) upTo(now time.Time, level int) int {
	r.advance(now)
	n := 0
	for l := 0; l <= level; l++ {
		n += int(r.totals[l])
	}
	return n
}
