// How fast a route's responses are while there is room.

package room

import "time"

const (
	// quickFactor is how many times the usual time a response may take to count as quick.
	quickFactor = 1.25
	// timeSamples is the number of responses that the mean follows.
	timeSamples = 50
)

// times is the moving mean of the time to a route's responses.
type times struct {
	mean float64
	n    int
}

func (t *times) isQuick(after time.Duration) bool {
	return t.n > 0 && float64(after) <= quickFactor*t.mean
}

func (t *times) add(after time.Duration) {
	t.n = min(t.n+1, timeSamples)
	t.mean += (float64(after) - t.mean) / float64(t.n)
}
