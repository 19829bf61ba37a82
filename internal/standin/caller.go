package standin

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	firstPort = 1024
	portCount = 65536 - firstPort
	// answerGrace is how long a caller still waits for a response after it has cancelled a request at its deadline.
	answerGrace = time.Second
	// defaultRetryAfter is the retry delay after a reset that names none.
	defaultRetryAfter = time.Second
)

// CallerConfig configures a Caller.
type CallerConfig struct {
	// Name is the name of the caller's customer in reports.
	Name string
	// Gateway is the fabric's address for packets from callers.
	Gateway netip.AddrPort
	// Sources are the inner source addresses, which flows use in turn; at least one.
	Sources []netip.Addr
	// Workloads are the workloads that the caller runs.
	Workloads []Workload
	// MaxAttempts bounds the attempts at a request that is refused each time; default 10.
	MaxAttempts uint32
	// IDBase is the value before the first request id; the id ranges of the callers in one run must not overlap.
	IDBase uint64
	// MTU bounds inner packets in bytes; default 1500.
	MTU int
	// Rand is the random source; required.
	Rand *rand.Rand
}

// callerTimer is a timer of a session or of a workload; the other field is nil.
type callerTimer struct {
	session  *session
	workload *workloadState
}

// Caller is a StateMachine that simulates the callers of one customer.
type Caller struct {
	cfg         CallerConfig
	dec         *packet.Decoder
	out         outbox
	sessions    map[packet.FlowKey]*session
	timers      timerQueue[callerTimer]
	nextID      uint64
	sourceIndex uint64
	stopped     bool
	records     history.History
}

// NewCaller returns a caller whose workloads start at now.
func NewCaller(now time.Time, cfg CallerConfig) *Caller {
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, 10)
	cfg.MTU = cmp.Or(cfg.MTU, 1500)
	c := &Caller{
		cfg:         cfg,
		dec:         packet.NewDecoder(packet.DecoderConfig{MTU: cfg.MTU}),
		sessions:    make(map[packet.FlowKey]*session),
		nextID:      cfg.IDBase,
		sourceIndex: uint64(cfg.Rand.IntN(portCount)),
	}
	for _, w := range cfg.Workloads {
		c.startWorkload(now, w)
	}
	return c
}

// Stop closes sessions after their pending request, starts no new ones, and returns the datagrams to send.
func (c *Caller) Stop(now time.Time) []Datagram {
	c.stopped = true
	for _, s := range c.sessions {
		s.closeWhenIdle = true
		c.updateSession(now, s)
	}
	return c.takeDatagrams()
}

// OpenFlowCount returns the number of flows that are established or in their handshake.
func (c *Caller) OpenFlowCount() int { return len(c.sessions) }

// Flows returns the established flows of a workload.
func (c *Caller) Flows(workload string) []packet.FlowKey {
	var flows []packet.FlowKey
	for k, s := range c.sessions {
		if s.workload.Name == workload && s.conn.state == connEstablished {
			flows = append(flows, k)
		}
	}
	return flows
}

// History returns the outcomes and flow ends that the caller has observed so far.
func (c *Caller) History() history.History { return c.records }

// Handle processes a packet from the fabric. A packet of an unknown flow is answered with a RST.
func (c *Caller) Handle(now time.Time, d Datagram) []Datagram {
	p, ok := decode(c.dec, d.Data)
	if !ok {
		return nil
	}
	s := c.sessions[packet.FlowKey{Caller: p.meta.Dst, Service: p.meta.Src}]
	if s == nil {
		c.out.add(c.cfg.Gateway, packet.AppendReset(nil, &p.meta, ""))
		return c.takeDatagrams()
	}
	s.conn.handle(now, p.segment())
	c.updateSession(now, s)
	return c.takeDatagrams()
}

// takeDatagrams returns the collected datagrams and empties the outbox. Empty ones are skipped: AppendReset returns no
// bytes in reply to a RST.
func (c *Caller) takeDatagrams() []Datagram {
	all := c.out.take()
	kept := all[:0]
	for _, d := range all {
		if len(d.Data) > 0 {
			kept = append(kept, d)
		}
	}
	return kept
}

// Tick runs the timers that are due.
func (c *Caller) Tick(now time.Time) []Datagram {
	for {
		due, ok := c.timers.pop(now)
		if !ok {
			return c.takeDatagrams()
		}
		if due.workload != nil {
			c.tickWorkload(now, due.workload)
		} else {
			c.tickSession(now, due.session)
		}
	}
}

// Next returns the time at which Tick is due next.
func (c *Caller) Next() time.Time { return c.timers.next() }

// connect opens a flow for a session.
func (c *Caller) connect(now time.Time, s *session) {
	s.key = packet.FlowKey{Caller: c.nextSource(), Service: s.workload.Service}
	s.opened = now
	s.conn = &conn{local: s.key.Caller, remote: s.key.Service}
	cn := s.conn
	cn.send = func(flags packet.Flags, seq, ack uint32, payload []byte) {
		c.out.add(c.cfg.Gateway, packet.AppendTCP(nil, cn.local, cn.remote, flags, seq, ack, payload))
	}
	c.sessions[s.key] = s
	cn.dial(now, c.cfg.Rand.Uint32())
	c.updateSession(now, s)
}

// nextSource returns a source address and port that no open flow uses. It cycles through all addresses and ports, so
// that a pair is reused only after all others.
func (c *Caller) nextSource() netip.AddrPort {
	sources := uint64(len(c.cfg.Sources))
	c.sourceIndex++
	addr := c.cfg.Sources[c.sourceIndex%sources]
	port := firstPort + (c.sourceIndex/sources)%portCount
	return netip.AddrPortFrom(addr, uint16(port))
}

// updateSession updates a session after an event on its connection, and queues its next timer.
func (c *Caller) updateSession(now time.Time, s *session) {
	if s.conn.state == connEstablished {
		s.established = true
	}
	c.handleFrames(now, s)
	if s.conn.state != connClosed && s.established {
		c.advanceSession(now, s)
	}
	if s.conn.state == connClosed {
		c.end(now, s)
		return
	}
	c.queueTimer(s)
}

func (c *Caller) queueTimer(s *session) {
	next := earliest(s.conn.timerAt, s.wakeAt)
	if !next.IsZero() {
		c.timers.add(next, callerTimer{session: s})
	}
}

func (c *Caller) tickSession(now time.Time, s *session) {
	if s.reconnecting {
		c.reconnect(now, s)
		return
	}
	if c.sessions[s.key] != s {
		return
	}
	s.conn.tick(now)
	c.updateSession(now, s)
}

func (c *Caller) handleFrames(now time.Time, s *session) {
	for len(s.conn.in) > 0 {
		h, body, rest, ok, err := NextFrame(s.conn.in)
		if err != nil {
			s.conn.abort()
			return
		}
		if !ok {
			return
		}
		s.conn.in = rest
		c.handleFrame(now, s, h, body)
	}
}

// handleFrame records the outcome of the pending attempt.
func (c *Caller) handleFrame(now time.Time, s *session, h Header, body []byte) {
	r := s.request
	if r == nil {
		return
	}
	switch h.Type {
	case FrameAnswer:
		o := c.outcome(now, s, history.AttemptAnswered)
		o.AnswerTo = h.attemptID()
		o.Complete = len(body) == r.header.AnswerBytes && checksum(body) == h.CRC32C
		c.record(s, o)
		s.endRequest(now)
	case FrameNotRun:
		c.record(s, c.refusal(now, s, h.Reason))
		s.scheduleRetry(now, time.Duration(h.RetryAfterMS)*time.Millisecond, c.cfg.MaxAttempts)
	case FrameCancelled:
		c.record(s, c.outcome(now, s, history.AttemptUnknown))
		s.endRequest(now)
	}
}

func (c *Caller) outcome(now time.Time, s *session, result history.AttemptResult) history.Outcome {
	return history.Outcome{
		ID:            s.request.header.attemptID(),
		Workload:      s.workload.Name,
		Flow:          s.key,
		Idempotent:    s.request.header.Idempotent,
		Sent:          s.request.sent,
		Done:          now,
		AttemptResult: result,
	}
}

func (c *Caller) refusal(now time.Time, s *session, reason string) history.Outcome {
	o := c.outcome(now, s, history.AttemptNotRun)
	o.Reason = reason
	return o
}

func (c *Caller) record(s *session, o history.Outcome) {
	c.records.Outcomes = append(c.records.Outcomes, o)
	s.request.pending = false
}

// end records a closed flow and decides whether its session continues.
func (c *Caller) end(now time.Time, s *session) {
	delete(c.sessions, s.key)
	flow := history.FlowEnd{Flow: s.key, Workload: s.workload.Name, Opened: s.opened, Ended: now}
	refusal, parsed := errkind.ParseRefusal(s.conn.resetPayload)
	flow.Reason = refusal.Reason
	switch {
	case s.conn.end == endFinished || s.finished:
		flow.Result = history.FlowFinished
	case s.established:
		flow.Result = history.FlowBroken
		flow.Cause = s.cause()
	case s.conn.end == endReset:
		flow.Result = history.FlowRefused
	default:
		flow.Result = history.FlowUnanswered
	}
	c.records.Flows = append(c.records.Flows, flow)
	c.afterFlowEnd(now, s, flow, refusal, parsed)
}

// afterFlowEnd schedules a new connection after a refusal; otherwise it records an unknown outcome for a pending
// request and ends the session.
func (c *Caller) afterFlowEnd(now time.Time, s *session, flow history.FlowEnd, refusal errkind.Refusal, parsed bool) {
	if flow.Result == history.FlowRefused {
		c.scheduleReconnect(now, s, refusal, parsed)
		return
	}
	if s.request != nil && s.request.pending {
		o := c.outcome(now, s, history.AttemptUnknown)
		o.Cause = flow.Cause
		c.record(s, o)
	}
	c.endSession(now, s)
}

// scheduleReconnect schedules a new connection after the retry delay of the refusal. The session's request did not
// run, since requests are sent only on established flows.
func (c *Caller) scheduleReconnect(now time.Time, s *session, refusal errkind.Refusal, parsed bool) {
	wait := refusal.RetryAfter()
	if !parsed {
		wait = defaultRetryAfter
	}
	if s.request != nil {
		c.record(s, c.refusal(now, s, refusal.Reason))
		s.request.header.Attempt++
	}
	s.refusals++
	if c.stopped || wait == 0 || s.refusals >= c.cfg.MaxAttempts {
		c.endSession(now, s)
		return
	}
	s.reconnecting = true
	s.wakeAt = now.Add(wait)
	c.timers.add(s.wakeAt, callerTimer{session: s})
}

func (c *Caller) reconnect(now time.Time, s *session) {
	if now.Before(s.wakeAt) {
		return
	}
	s.reconnecting = false
	s.wakeAt = time.Time{}
	if c.stopped {
		return
	}
	s.established = false
	c.connect(now, s)
}
