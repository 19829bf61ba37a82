package standin

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/packet"
)

// TargetFault is a fault of a target: a false load report, or no answers to packets.
type TargetFault uint8

// The faults.
const (
	FaultNone TargetFault = iota
	// FaultReportsIdle always reports an idle target.
	FaultReportsIdle
	// FaultReportsFull always reports a full target.
	FaultReportsFull
	// FaultUnresponsive reports the actual load, but the target answers no packets.
	FaultUnresponsive
)

// Shed is the way in which a full target sheds load.
type Shed uint8

// The ways to shed load.
const (
	// ShedAnswer accepts connections and answers requests beyond the queue limit with FrameNotRun.
	ShedAnswer Shed = iota
	// ShedReset resets new connections while all slots and the queue are full.
	ShedReset
)

// TargetConfig configures a Target.
type TargetConfig struct {
	Name string
	// Gateway is the fabric's address for packets from targets.
	Gateway netip.AddrPort
	// Slots is the number of requests that run concurrently; default 3.
	Slots int
	// QueueLimit is the number of requests that can wait for a slot; further ones are shed; default 32.
	QueueLimit int
	// MaxConnections bounds the number of open connections; a SYN beyond it is reset; default 2000.
	MaxConnections int
	// ServiceTime is the mean execution time of a request; default 2 ms.
	ServiceTime time.Duration
	// ColdFor is how long a target is cold, and therefore slower, after its start; default 0.
	ColdFor time.Duration
	// ColdFactor multiplies the service time of a cold target; default 4.
	ColdFactor float64
	// RetryAfter is the retry delay that a FrameNotRun gives the caller; default 500 ms.
	RetryAfter time.Duration
	// Shed is the way in which the target sheds load; default ShedAnswer.
	Shed Shed
	// MTU bounds inner packets in bytes; default 1500.
	MTU int
	// Rand is the random source; required.
	Rand *rand.Rand
}

func (c TargetConfig) withDefaults() TargetConfig {
	c.Slots = cmp.Or(c.Slots, 3)
	c.QueueLimit = cmp.Or(c.QueueLimit, 32)
	c.MaxConnections = cmp.Or(c.MaxConnections, 2000)
	c.ServiceTime = cmp.Or(c.ServiceTime, 2*time.Millisecond)
	c.ColdFactor = cmp.Or(c.ColdFactor, 4)
	c.RetryAfter = cmp.Or(c.RetryAfter, 500*time.Millisecond)
	c.MTU = cmp.Or(c.MTU, 1500)
	return c
}

// LoadReport is the load report that a target serves over HTTP.
type LoadReport struct {
	Connections int  `json:"connections"`
	BusySlots   int  `json:"busy_slots"`
	Shedding    bool `json:"shedding"`
	Warming     bool `json:"warming"`
}

// jobState is the state of a job.
type jobState uint8

const (
	jobQueued jobState = iota
	jobRunning
	jobEnded
)

// job is a request that a target has queued or is running.
type job struct {
	header   Header
	flow     packet.FlowKey
	deadline time.Time
	state    jobState
	doneAt   time.Time
}

// targetTimer is a connection's retransmission timer or the end of a job; the other field is nil.
type targetTimer struct {
	conn *conn
	job  *job
}

// Target is a StateMachine that simulates one target on an endpoint VM: a minimal TCP server with slots, a
// queue and load reports.
type Target struct {
	cfg     TargetConfig
	dec     *packet.Decoder
	out     outbox
	conns   map[packet.FlowKey]*conn
	queue   []*job
	running int
	jobs    map[history.AttemptID]*job
	timers  timerQueue[targetTimer]
	started time.Time

	fault        TargetFault
	draining     bool
	droppedFlows map[packet.FlowKey]bool

	records history.History
}

// NewTarget returns a target that starts at now.
func NewTarget(now time.Time, cfg TargetConfig) *Target {
	cfg = cfg.withDefaults()
	return &Target{
		cfg:          cfg,
		dec:          packet.NewDecoder(packet.DecoderConfig{MTU: cfg.MTU}),
		conns:        make(map[packet.FlowKey]*conn),
		jobs:         make(map[history.AttemptID]*job),
		started:      now,
		droppedFlows: make(map[packet.FlowKey]bool),
	}
}

// SetFault sets the target's fault.
func (t *Target) SetFault(l TargetFault) { t.fault = l }

// SetDraining makes the target refuse new connections, as a process does before it stops.
func (t *Target) SetDraining(on bool) { t.draining = on }

// DropFlow makes the target drop all packets of one flow from now on.
func (t *Target) DropFlow(k packet.FlowKey) { t.droppedFlows[k] = true }

// Flows returns the flows that are open at the target, sorted.
func (t *Target) Flows() []packet.FlowKey {
	flows := make([]packet.FlowKey, 0, len(t.conns))
	for k := range t.conns {
		flows = append(flows, k)
	}
	slices.SortFunc(flows, func(a, b packet.FlowKey) int {
		return cmp.Or(a.Caller.Compare(b.Caller), a.Service.Compare(b.Service))
	})
	return flows
}

// Busy returns the number of busy slots.
func (t *Target) Busy() int { return t.running }

// Connections returns the number of open connections.
func (t *Target) Connections() int { return len(t.conns) }

// Report returns the target's load report, which its fault may falsify.
func (t *Target) Report(now time.Time) LoadReport {
	r := LoadReport{
		Connections: len(t.conns),
		BusySlots:   t.running,
		Shedding:    t.full(),
		Warming:     t.cold(now),
	}
	switch t.fault {
	case FaultReportsIdle:
		return LoadReport{}
	case FaultReportsFull:
		return LoadReport{Connections: t.cfg.MaxConnections, BusySlots: t.cfg.Slots, Shedding: true}
	default:
		return r
	}
}

// History returns what the target has recorded so far: the requests it executed, the bytes it received and the packets
// of unknown flows.
func (t *Target) History() history.History {
	h := t.records
	h.Receipts = append([]history.Receipt(nil), h.Receipts...)
	for k, c := range t.conns {
		h.Receipts = append(h.Receipts, t.receipt(k, c))
	}
	return h
}

func (t *Target) receipt(k packet.FlowKey, c *conn) history.Receipt {
	return history.Receipt{Flow: k, Target: t.cfg.Name, Bytes: c.received}
}

func (t *Target) cold(now time.Time) bool {
	return now.Sub(t.started) < t.cfg.ColdFor
}

func (t *Target) full() bool {
	return t.running >= t.cfg.Slots && len(t.queue) >= t.cfg.QueueLimit
}

// Handle processes a packet from the fabric.
func (t *Target) Handle(now time.Time, d Datagram) []Datagram {
	p, ok := decode(t.dec, d.Data)
	if !ok || t.fault == FaultUnresponsive {
		return nil
	}
	key := packet.FlowKey{Caller: p.meta.Src, Service: p.meta.Dst}
	if t.droppedFlows[key] {
		return nil
	}
	c := t.conns[key]
	if c == nil {
		c = t.accept(now, key, p)
	} else {
		c.handle(now, p.segment())
	}
	if c != nil {
		t.serve(now, key, c)
	}
	return t.out.take()
}

// accept accepts a connection for a SYN, if the target takes new ones, and answers any other packet except a RST with
// a RST.
func (t *Target) accept(now time.Time, key packet.FlowKey, p decoded) *conn {
	if p.meta.Flags&packet.RST != 0 {
		return nil
	}
	if p.meta.Flags&(packet.SYN|packet.ACK) != packet.SYN {
		t.records.UnknownFlowPackets = append(t.records.UnknownFlowPackets, history.UnknownFlowPacket{Flow: key, Target: t.cfg.Name, At: now})
		t.reset(p)
		return nil
	}
	if t.refusesConnections() {
		t.reset(p)
		return nil
	}
	c := &conn{local: key.Service, remote: key.Caller}
	c.send = t.sender(c)
	t.conns[key] = c
	c.accept(now, t.cfg.Rand.Uint32(), p.segment())
	return c
}

// refusesConnections reports whether the target resets new connections.
func (t *Target) refusesConnections() bool {
	if t.draining || len(t.conns) >= t.cfg.MaxConnections {
		return true
	}
	return t.cfg.Shed == ShedReset && t.full()
}

// reset answers a packet with a RST, as a kernel without a matching socket does.
func (t *Target) reset(p decoded) {
	t.out.add(t.cfg.Gateway, packet.AppendReset(nil, &p.meta, ""))
}

func (t *Target) sender(c *conn) func(packet.Flags, uint32, uint32, []byte) {
	return func(flags packet.Flags, seq, ack uint32, payload []byte) {
		t.out.add(t.cfg.Gateway, packet.AppendTCP(nil, c.local, c.remote, flags, seq, ack, payload))
	}
}

// serve handles a connection's received frames, closes it if the caller has, and queues its timer.
func (t *Target) serve(now time.Time, key packet.FlowKey, c *conn) {
	t.handleFrames(now, key, c)
	if c.peerFin && !c.closing {
		c.close(now)
	}
	if c.state == connClosed {
		t.removeConn(key, c)
		return
	}
	if !c.timerAt.IsZero() {
		t.timers.add(c.timerAt, targetTimer{conn: c})
	}
}

// removeConn removes a closed connection.
func (t *Target) removeConn(key packet.FlowKey, c *conn) {
	if t.conns[key] != c {
		return
	}
	t.records.Receipts = append(t.records.Receipts, t.receipt(key, c))
	delete(t.conns, key)
}

func (t *Target) handleFrames(now time.Time, key packet.FlowKey, c *conn) {
	for len(c.in) > 0 {
		h, _, rest, ok, err := NextFrame(c.in)
		if err != nil {
			c.abort()
			return
		}
		if !ok {
			return
		}
		c.in = rest
		t.handleFrame(now, key, c, h)
	}
}

func (t *Target) handleFrame(now time.Time, key packet.FlowKey, c *conn, h Header) {
	switch h.Type {
	case FrameRequest:
		t.handleRequest(now, key, c, h)
	case FrameCancel:
		t.handleCancel(now, c, h)
	default:
		c.abort()
	}
}

func (t *Target) handleRequest(now time.Time, key packet.FlowKey, c *conn, h Header) {
	if t.full() {
		t.refuse(now, c, h, "shed")
		return
	}
	j := &job{header: h, flow: key, deadline: now.Add(time.Duration(h.DeadlineMS) * time.Millisecond)}
	t.jobs[h.attemptID()] = j
	t.queue = append(t.queue, j)
	t.startJobs(now)
}

// handleCancel removes a queued job or stops a running one, and reports to the caller which it was.
func (t *Target) handleCancel(now time.Time, c *conn, h Header) {
	j := t.jobs[h.attemptID()]
	if j == nil {
		return
	}
	switch j.state {
	case jobQueued:
		t.endJob(j)
		t.refuse(now, c, j.header, "cancelled")
	case jobRunning:
		t.endJob(j)
		t.running--
		t.markAborted(j)
		t.respond(now, c, Header{Type: FrameCancelled, ID: h.ID, Attempt: h.Attempt, Target: t.cfg.Name}, nil)
		t.startJobs(now)
	}
}

func (t *Target) markAborted(j *job) {
	for i := len(t.records.Runs) - 1; i >= 0; i-- {
		if t.records.Runs[i].ID == j.header.attemptID() {
			t.records.Runs[i].Aborted = true
			return
		}
	}
}

func (t *Target) endJob(j *job) {
	j.state = jobEnded
	delete(t.jobs, j.header.attemptID())
}

// refuse sends the answer that an attempt did not run.
func (t *Target) refuse(now time.Time, c *conn, h Header, reason string) {
	t.respond(now, c, Header{
		Type:         FrameNotRun,
		ID:           h.ID,
		Attempt:      h.Attempt,
		Target:       t.cfg.Name,
		Reason:       reason,
		RetryAfterMS: t.cfg.RetryAfter.Milliseconds(),
	}, nil)
}

func (t *Target) respond(now time.Time, c *conn, h Header, body []byte) {
	c.write(now, AppendFrame(nil, h, body))
	if !c.timerAt.IsZero() {
		t.timers.add(c.timerAt, targetTimer{conn: c})
	}
}

// startJobs moves queued jobs into free slots.
func (t *Target) startJobs(now time.Time) {
	for t.running < t.cfg.Slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if j.state == jobQueued {
			t.startJob(now, j)
		}
	}
}

// startJob runs a job, unless its connection is closed or its deadline has passed.
func (t *Target) startJob(now time.Time, j *job) {
	c := t.conns[j.flow]
	if c == nil {
		t.endJob(j)
		return
	}
	if !now.Before(j.deadline) {
		t.endJob(j)
		t.refuse(now, c, j.header, "deadline")
		return
	}
	j.state = jobRunning
	j.doneAt = now.Add(t.serviceTime(now))
	t.running++
	t.records.Runs = append(t.records.Runs, history.Run{
		ID: j.header.attemptID(), Target: t.cfg.Name, Flow: j.flow, Start: now,
	})
	t.timers.add(j.doneAt, targetTimer{job: j})
}

// serviceTime returns a random execution time: exponentially distributed, at most ten times the mean, and longer
// while the target is cold.
func (t *Target) serviceTime(now time.Time) time.Duration {
	factor := min(t.cfg.Rand.ExpFloat64(), 10)
	if t.cold(now) {
		factor *= t.cfg.ColdFactor
	}
	return time.Duration(factor * float64(t.cfg.ServiceTime))
}

// Tick finishes jobs and runs the retransmission timers that are due.
func (t *Target) Tick(now time.Time) []Datagram {
	for {
		due, ok := t.timers.pop(now)
		if !ok {
			return t.out.take()
		}
		if due.job != nil {
			t.finishJob(now, due.job)
		} else {
			t.tickConn(now, due.conn)
		}
	}
}

// Next returns the time at which Tick is due next.
func (t *Target) Next() time.Time { return t.timers.next() }

func (t *Target) finishJob(now time.Time, j *job) {
	if j.state != jobRunning {
		return
	}
	t.endJob(j)
	t.running--
	if c := t.conns[j.flow]; c != nil && t.fault != FaultUnresponsive {
		body := responseBody(j.header.attemptID(), j.header.AnswerBytes)
		t.respond(now, c, Header{
			Type: FrameAnswer, ID: j.header.ID, Attempt: j.header.Attempt,
			Target: t.cfg.Name, CRC32C: checksum(body),
		}, body)
	}
	t.startJobs(now)
}

func (t *Target) tickConn(now time.Time, c *conn) {
	key := packet.FlowKey{Caller: c.remote, Service: c.local}
	if t.conns[key] != c || c.timerAt.IsZero() || c.timerAt.After(now) {
		return
	}
	c.tick(now)
	t.serve(now, key, c)
}

// responseBody returns the response body of an attempt: n bytes that depend on the attempt's id.
func responseBody(id history.AttemptID, n int) []byte {
	pattern := []byte{
		byte(id.Request), byte(id.Request >> 8), byte(id.Request >> 16), byte(id.Request >> 24),
		byte(id.Request >> 32), byte(id.Request >> 40), byte(id.Attempt), '\n',
	}
	return bytes.Repeat(pattern, n/len(pattern)+1)[:n]
}
