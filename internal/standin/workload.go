package standin

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// WorkloadKind is the kind of a workload.
type WorkloadKind string

// The kinds of workloads.
const (
	// WorkloadHold requests seats, waits, and confirms one: a short flow with two requests.
	WorkloadHold WorkloadKind = "hold"
	// WorkloadBulk requests one long response.
	WorkloadBulk WorkloadKind = "bulk"
	// WorkloadStream keeps a flow open and sends a measurement at each interval.
	WorkloadStream WorkloadKind = "stream"
	// WorkloadChannel keeps a flow open and sends bookings at random times, with the interval as the mean.
	WorkloadChannel WorkloadKind = "channel"
)

// Workload describes the load that the callers of one customer put on one service.
type Workload struct {
	Name    string
	Kind    WorkloadKind
	Service netip.AddrPort
	// Rate is the number of sessions started per second; used with hold and bulk.
	Rate float64
	// Sessions is the number of sessions kept open; used with stream and channel.
	Sessions int
	// Think is the mean time between the two requests of a hold; default 500 ms.
	Think time.Duration
	// Interval is the time between the requests of a stream, and the mean time for a channel; default 1 s.
	Interval time.Duration
	// AnswerBytes is the length of a response body; default 64, for bulk 200,000.
	AnswerBytes int
	// Deadline is the time after which a caller cancels a request; default 5 s, for bulk 30 s.
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

// isPersistent reports whether the sessions of the workload stay open until the caller stops.
func (w Workload) isPersistent() bool {
	return w.Kind == WorkloadStream || w.Kind == WorkloadChannel
}

// workloadState is the state of a running workload.
type workloadState struct {
	Workload
	// sessionsToOpen is the number of persistent sessions that are still to be opened.
	sessionsToOpen int
	// nextAt is when the next session is due. It does not depend on when ticks run, so that late ticks do not lower the
	// rate.
	nextAt time.Time
}

// rampUpTime is the time over which the opening of a workload's persistent sessions is spread.
const rampUpTime = 2 * time.Second

// openInterval returns the minimum time between the openings of two persistent sessions.
func (w *workloadState) openInterval() time.Duration {
	return rampUpTime / time.Duration(max(w.Sessions, 1))
}

func (c *Caller) startWorkload(now time.Time, w Workload) {
	state := &workloadState{Workload: w.withDefaults()}
	if state.isPersistent() {
		state.sessionsToOpen = state.Sessions
	}
	state.nextAt = now
	c.queueWorkload(state)
}

// queueWorkload queues the timer for the workload's next session.
func (c *Caller) queueWorkload(w *workloadState) {
	w.nextAt = w.nextAt.Add(c.untilNextSession(w))
	c.timers.add(w.nextAt, callerTimer{workload: w})
}

// untilNextSession returns the time until the next start of a session, which is random for hold and bulk.
func (c *Caller) untilNextSession(w *workloadState) time.Duration {
	if w.isPersistent() {
		return w.openInterval()
	}
	return c.exponential(time.Duration(float64(time.Second) / max(w.Rate, 0.001)))
}

// exponential returns an exponentially distributed time with the given mean.
func (c *Caller) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.cfg.Rand.ExpFloat64() * float64(mean))
}

// tickWorkload starts a session that is due and queues the next one.
func (c *Caller) tickWorkload(now time.Time, w *workloadState) {
	if c.stopped {
		return
	}
	if w.isPersistent() && w.sessionsToOpen == 0 {
		return
	}
	if w.isPersistent() {
		w.sessionsToOpen--
	}
	c.startSession(now, w)
	c.queueWorkload(w)
}

// request is the pending or next attempt of a session.
type request struct {
	header    Header
	sent      time.Time
	pending   bool
	cancelled bool
}

// session is one use of a service. It takes one flow, or several if the first ones are refused.
type session struct {
	workload *workloadState
	conn     *conn
	key      packet.FlowKey
	opened   time.Time
	request  *request
	// requestsDone counts the requests that have ended.
	requestsDone int
	// nextAt is when the next request is sent, wakeAt when the session's timer expires.
	nextAt, wakeAt time.Time
	refusals       uint32
	established    bool
	reconnecting   bool
	closeWhenIdle  bool
	// timedOut is true if the caller aborted the flow after a request timed out.
	timedOut bool
	// finished is true once the session has closed its flow after its last request.
	finished bool
}

func (c *Caller) startSession(now time.Time, w *workloadState) {
	s := &session{workload: w, nextAt: now.Add(c.initialDelay(w))}
	c.prepareRequest(s)
	c.connect(now, s)
}

// initialDelay returns a random delay for a session's first request, so that streams do not send in lockstep.
func (c *Caller) initialDelay(w *workloadState) time.Duration {
	if w.Kind != WorkloadStream {
		return 0
	}
	return time.Duration(c.cfg.Rand.Float64() * float64(w.Interval))
}

// prepareRequest creates the session's next request.
func (c *Caller) prepareRequest(s *session) {
	w := s.workload
	c.nextID++
	s.request = &request{header: Header{
		Type:        FrameRequest,
		ID:          c.nextID,
		Attempt:     1,
		Operation:   operationOf(w.Kind, s.requestsDone),
		DeadlineMS:  w.Deadline.Milliseconds(),
		Idempotent:  idempotentAt(w.Kind, s.requestsDone),
		AnswerBytes: w.AnswerBytes,
	}}
}

// operationOf returns the operation of a session's next request after the given number of ended requests.
func operationOf(kind WorkloadKind, requestsDone int) string {
	switch {
	case kind == WorkloadHold && requestsDone == 0:
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

// idempotentAt reports whether the request after the given number of ended requests may run more than once.
func idempotentAt(kind WorkloadKind, requestsDone int) bool {
	return kind == WorkloadBulk || (kind == WorkloadHold && requestsDone == 0)
}

// endRequest removes a request that has ended.
func (s *session) endRequest(now time.Time) {
	s.request = nil
	s.requestsDone++
	s.refusals = 0
	s.nextAt = now
}

// scheduleRetry schedules another attempt at a refused request, or abandons the request after maxAttempts refusals.
func (s *session) scheduleRetry(now time.Time, wait time.Duration, maxAttempts uint32) {
	s.refusals++
	if s.refusals >= maxAttempts {
		s.endRequest(now)
		return
	}
	s.request.header.Attempt++
	s.request.cancelled = false
	s.nextAt = now.Add(wait)
}

// done reports whether the session has completed all its requests.
func (s *session) done() bool {
	switch s.workload.Kind {
	case WorkloadHold:
		return s.requestsDone >= 2
	case WorkloadBulk:
		return s.requestsDone >= 1
	default:
		return false
	}
}

// cause returns the reason why an established flow ended early.
func (s *session) cause() history.Cause {
	switch {
	case s.timedOut:
		return history.CauseTimedOut
	case s.conn.end == endReset:
		return history.CauseReset
	default:
		return history.CauseUnresponsive
	}
}

// advanceSession does what is due in an established session: it sends a request, cancels it, aborts the flow or closes
// it.
func (c *Caller) advanceSession(now time.Time, s *session) {
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
		c.prepareRequest(s)
		s.nextAt = now.Add(c.nextRequestDelay(s))
	}
	if now.Before(s.nextAt) {
		s.wakeAt = s.nextAt
		return
	}
	c.sendRequest(now, s)
}

// nextRequestDelay returns the delay before the session's next request.
func (c *Caller) nextRequestDelay(s *session) time.Duration {
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

// watchDeadline cancels a request at its deadline, and aborts the flow if no answer arrives within answerGrace.
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

// endSession ends a session and, if it was persistent, queues a replacement.
func (c *Caller) endSession(now time.Time, s *session) {
	w := s.workload
	if !w.isPersistent() || c.stopped {
		return
	}
	w.sessionsToOpen++
	if w.sessionsToOpen == 1 {
		w.nextAt = now
		c.queueWorkload(w)
	}
}
