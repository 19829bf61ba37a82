package rejection

const (
	// maxRejectBytes is the most bytes of a rejection: a status line and a few headers.
	maxRejectBytes = 400
	// rejectSizeShare is the largest share of the route's mean response that a rejection may have.
	rejectSizeShare = 0.4
	// sizeSamples is the number of responses that the mean follows.
	sizeSamples = 50
)

// Sizes is the moving mean of the bytes of a route's responses, as first acknowledged.
//
// Load pattern: a target whose queue is full answers within the flow, which daemons cannot read. The answer is a few
// headers without a body, while the route's responses are larger. A route with small responses is never taken to be
// rejected.
type Sizes struct {
	mean float64
	n    int
}

// IsRejection reports whether a response of which so many bytes were acknowledged first is a rejection.
func (s *Sizes) IsRejection(bytes uint32) bool {
	return bytes <= maxRejectBytes && float64(bytes) <= rejectSizeShare*s.mean
}

// Add adds a response that is no rejection.
func (s *Sizes) Add(bytes uint32) {
	s.n = min(s.n+1, sizeSamples)
	s.mean += (float64(bytes) - s.mean) / float64(s.n)
}
