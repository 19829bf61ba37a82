package standin

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// WorkloadKind names the shape of a workload.
type WorkloadKind string

// The kinds of workloads.
const (
	// WorkloadHold asks for seats, waits, and confirms one: a short flow with two requests.
	WorkloadHold WorkloadKind = "hold"
	// WorkloadBulk pulls one long answer.
	WorkloadBulk WorkloadKind = "bulk"
	// WorkloadStream keeps a flow open and sends a reading at each interval.
	WorkloadStream WorkloadKind = "stream"
	// WorkloadChannel keeps a flow open and books at random times, at the interval on average.
	WorkloadChannel WorkloadKind = "channel"
)

// Workload is what callers of one customer do with one service.
type Workload struct {
	Name    string
	Kind    WorkloadKind
	Service netip.AddrPort
	// Rate is how many sessions start a second; used with hold and bulk.
	Rate float64
	// Sessions is how many sessions are kept open; used with stream and channel.
	Sessions int
	// Think is the mean wait between the requests of a hold; default 500 ms.
	Think time.Duration
	// Interval is the time between the requests of a stream or channel; default 1 s.
	Interval time.Duration
	// AnswerBytes is the length of an answer's body; default 64, of bulk 200,000.
	AnswerBytes int
	// Deadline is the time until a caller cancels a request; default 5 s, of bulk 30 s.
	Deadline time.Duration
}

func (w Workload) withDefaults() Workload {
	w.Think = cmp.Or(w.Think, 500*time.Millisecond)
	w.Interval = cmp.Or(w.Interval, time.Second)
	if w.Kind == WorkloadBulk {
		w.AnswerBytes = cmp.Or(w.AnswerBytes, 200_000)
		w.Deadline = cmp.Or(w.Deadline, 30*time.Second)
	}
	w.AnswerBytes = cmp.Or(w.AnswerBytes, 64)
	w.Deadline = cmp.Or(w.Deadline, 5*time.Second)
	return w
}

// keepsOpen reports whether sessions of the workload last until the caller stops.
func (w Workload) keepsOpen() bool {
	return w.Kind == WorkloadStream || w.Kind == WorkloadChannel
}

// workloadState is a workload that runs.
type workloadState struct {
	Workload
	// missing is how many kept-open sessions are still to be opened.
	missing int
	// nextAt is when the next session is due; a late tick starts it late and keeps the rate.
	nextAt time.Time
}

// openingTime is the time over which a workload's kept-open sessions are opened first.
const openingTime = 2 * time.Second

// pacing bounds how fast kept-open sessions are opened.
func (w *workloadState) pacing() time.Duration {
	return openingTime / time.Duration(max(w.Sessions, 1))
}

func (c *Caller) startWorkload(now time.Time, w Workload) {
	state := &workloadState{Workload: w.withDefaults()}
	if state.keepsOpen() {
		state.missing = state.Sessions
	}
	state.nextAt = now
	c.queueWorkload(state)
}

// queueWorkload queues the workload's next session.
func (c *Caller) queueWorkload(w *workloadState) {
	w.nextAt = w.nextAt.Add(c.untilNextSession(w))
	c.timers.add(w.nextAt, callerTimer{workload: w})
}

// untilNextSession draws the time to the next start of a session.
func (c *Caller) untilNextSession(w *workloadState) time.Duration {
	if w.keepsOpen() {
		return w.pacing()
	}
	return c.exponential(time.Duration(float64(time.Second) / max(w.Rate, 0.001)))
}

// exponential draws a time with the given mean.
func (c *Caller) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.cfg.Rand.ExpFloat64() * float64(mean))
}

// tickWorkload starts a session that is due and queues the next.
func (c *Caller) tickWorkload(now time.Time, w *workloadState) {
	if c.stopped {
		return
	}
	if w.keepsOpen() && w.missing == 0 {
		return
	}
	if w.keepsOpen() {
		w.missing--
	}
	c.startSession(now, w)
	c.queueWorkload(w)
}

// request is the attempt that a session has under way, or makes next.
type request struct {
	header    Header
	sent      time.Time
	pending   bool
	cancelled bool
}

// session is one use of a service: one flow, or several where the first were refused.
type session struct {
	workload *workloadState
	conn     *conn
	key      packet.FlowKey
	opened   time.Time
	request  *request
	// step counts the answered requests.
	steps int
	// nextAt is when the next request is sent; wakeAt is when the session must be looked at.
	nextAt, wakeAt time.Time
	refusals       uint32
	established    bool
	waiting        bool
	closeWhenIdle  bool
	// timedOut is true where the caller itself gave the flow up.
	timedOut bool
	// finished is true once the session closed its flow after its last answer.
	finished bool
}

func (c *Caller) startSession(now time.Time, w *workloadState) {
	s := &session{workload: w, nextAt: now.Add(c.phase(w))}
	c.prepare(s)
	c.connect(now, s)
}

// phase draws the wait before a session's first request, so that streams are not in step.
func (c *Caller) phase(w *workloadState) time.Duration {
	if w.Kind != WorkloadStream {
		return 0
	}
	return time.Duration(c.cfg.Rand.Float64() * float64(w.Interval))
}

// prepare makes the session's next request.
func (c *Caller) prepare(s *session) {
	w := s.workload
	c.nextID++
	s.request = &request{header: Header{
		Type:        FrameRequest,
		ID:          c.nextID,
		Attempt:     1,
		Operation:   operationOf(w.Kind, s.steps),
		DeadlineMS:  w.Deadline.Milliseconds(),
		Idempotent:  idempotentAt(w.Kind, s.steps),
		AnswerBytes: w.AnswerBytes,
	}}
}

// operationOf names the request of a workload after a number of answered ones.
func operationOf(kind WorkloadKind, steps int) string {
	switch {
	case kind == WorkloadHold && steps == 0:
		return "ask"
	case kind == WorkloadHold:
		return "confirm"
	case kind == WorkloadBulk:
		return "pull"
	case kind == WorkloadStream:
		return "reading"
	default:
		return "book"
	}
}

// idempotentAt reports whether the request may run more than once.
func idempotentAt(kind WorkloadKind, steps int) bool {
	return kind == WorkloadBulk || (kind == WorkloadHold && steps == 0)
}

// advance leaves an ended request behind.
func (s *session) advance(now time.Time) {
	s.request = nil
	s.steps++
	s.refusals = 0
	s.nextAt = now
}

// repeat sends a refused request again later, or gives it up.
func (s *session) repeat(now time.Time, wait time.Duration, maxAttempts uint32) {
	s.refusals++
	if s.refusals >= maxAttempts {
		s.advance(now)
		return
	}
	s.request.header.Attempt++
	s.request.cancelled = false
	s.nextAt = now.Add(wait)
}

// done reports whether the session has made all its requests.
func (s *session) done() bool {
	switch s.workload.Kind {
	case WorkloadHold:
		return s.steps >= 2
	case WorkloadBulk:
		return s.steps >= 1
	default:
		return false
	}
}

// cause says why an established flow ended early.
func (s *session) cause() history.Cause {
	switch {
	case s.timedOut:
		return history.CauseTimedOut
	case s.conn.end == endReset:
		return history.CauseReset
	default:
		return history.CauseSilent
	}
}

// step moves an established session on: it sends, cancels, gives up or closes.
func (c *Caller) step(now time.Time, s *session) {
	if s.finished {
		return
	}
	if s.request != nil && s.request.pending {
		c.watchDeadline(now, s)
		return
	}
	if s.done() || s.closeWhenIdle {
		s.finished = true
		s.wakeAt = time.Time{}
		s.conn.close(now)
		return
	}
	if s.request == nil {
		c.prepare(s)
		s.nextAt = now.Add(c.pause(s))
	}
	if now.Before(s.nextAt) {
		s.wakeAt = s.nextAt
		return
	}
	c.sendRequest(now, s)
}

// pause draws the wait before the session's next request.
func (c *Caller) pause(s *session) time.Duration {
	switch s.workload.Kind {
	case WorkloadStream:
		return s.workload.Interval
	case WorkloadChannel:
		return c.exponential(s.workload.Interval)
	default:
		return c.exponential(s.workload.Think)
	}
}

func (c *Caller) sendRequest(now time.Time, s *session) {
	s.request.sent = now
	s.request.pending = true
	s.wakeAt = now.Add(s.workload.Deadline)
	s.conn.write(now, AppendFrame(nil, s.request.header, nil))
}

// watchDeadline cancels a request at its deadline and gives the flow up after the grace.
func (c *Caller) watchDeadline(now time.Time, s *session) {
	deadline := s.request.sent.Add(s.workload.Deadline)
	if now.Before(deadline) {
		return
	}
	if !s.request.cancelled {
		s.request.cancelled = true
		s.wakeAt = deadline.Add(answerGrace)
		h := s.request.header
		s.conn.write(now, AppendFrame(nil, Header{Type: FrameCancel, ID: h.ID, Attempt: h.Attempt}, nil))
		return
	}
	if now.Before(deadline.Add(answerGrace)) {
		return
	}
	s.timedOut = true
	s.conn.abort()
}

// endSession opens another session in place of one that its workload keeps open.
func (c *Caller) endSession(now time.Time, s *session) {
	w := s.workload
	if !w.keepsOpen() || c.stopped {
		return
	}
	w.missing++
	if w.missing == 1 {
		w.nextAt = now
		c.queueWorkload(w)
	}
}
