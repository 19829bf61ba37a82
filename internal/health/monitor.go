package health

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/model"
	"github.com/fireflypin/fireflypin/placement"
)

// Result is the outcome of one probe.
type Result struct {
	Target model.TargetID
	OK     bool
	// Report is the target's load report; valid only if OK is true.
	Report placement.Report
}

// Change is a target that was ejected or readmitted.
type Change struct {
	Target *model.Target
	Down   bool
	Reason Reason
}

// Status is a target's health as shown to operators.
type Status struct {
	Target *model.Target
	Down   bool
	Reason Reason
	// Observed is the target's observation in the load table.
	Observed placement.Observation
	// Since is the time of the last change of Down; zero if there was none.
	Since time.Time
}

// Monitor evaluates the health of all targets. It does no I/O and reads no clock. Its methods are safe
// for concurrent use; none of them is called per packet.
type Monitor struct {
	mu       sync.Mutex
	cfg      Config
	self     model.MachineID
	loads    *placement.LoadTable
	owners   int
	services []*model.Service
	targets  map[model.TargetID]*state
	// rotation counts the probed targets that AppendTo has written; the next call continues from it.
	rotation int
	probed   []model.TargetID
}

// state holds the health data of one target.
type state struct {
	target *model.Target
	// probing is true while this daemon probes the target. probeDown is the result of its probes,
	// successes and failures count results in a row, probedAt is the time of the latest result
	// and nextProbe the start of the next probe.
	probing             bool
	probeDown           bool
	successes, failures int
	probedAt            time.Time
	nextProbe           time.Time
	report              placement.Report
	peerSummaries       map[model.MachineID]receivedSummary
	// ejectedAt and ejectedUntil bound the latest ejection because of missed responses; ejectionTime is its
	// length.
	ejectedAt, ejectedUntil time.Time
	ejectionTime            time.Duration
	// missesReported is true if the last summary of the target reported missed responses.
	missesReported bool
	// down, reason and since are the target's current Status.
	down   bool
	reason Reason
	since  time.Time
}

// receivedSummary is the latest summary of a target from another daemon.
type receivedSummary struct {
	summary Summary
	at      time.Time
}

// New returns a monitor for the daemon self; it updates loads.
func New(cfg Config, self model.MachineID, loads *placement.LoadTable) *Monitor {
	return &Monitor{
		cfg:     cfg.WithDefaults(),
		self:    self,
		loads:   loads,
		owners:  1,
		targets: make(map[model.TargetID]*state),
	}
}

// SetTargets sets the services of the current lists. Targets that are still listed keep their state.
func (m *Monitor) SetTargets(services []*model.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[model.TargetID]*state)
	for _, svc := range services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			if s == nil {
				s = &state{peerSummaries: make(map[model.MachineID]receivedSummary)}
			}
			s.target = t
			next[t.ID] = s
		}
	}
	m.services = services
	m.targets = next
	m.updateProbed()
}

// SetLive sets the live daemons of each zone, and so which targets this daemon probes. For a zone
// without live daemons, live must return those of another zone. owners is the number of live and ready
// daemons that place flows.
func (m *Monitor) SetLive(live func(z model.Zone) []model.MachineID, owners int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners = max(owners, 1)
	for _, s := range m.targets {
		s.probing = s.target.Report.IsValid() && IsProber(m.self, s.target.ID, live(s.target.Zone), m.cfg.Probers)
	}
	m.updateProbed()
}

func (m *Monitor) updateProbed() {
	m.probed = m.probed[:0]
	for id, s := range m.targets {
		if s.probing {
			m.probed = append(m.probed, id)
		}
	}
	slices.Sort(m.probed)
}

// Due appends to buf the targets whose next probe starts now, and schedules the probes after these. The
// first probes are spread over one interval by target id.
func (m *Monitor) Due(now time.Time, buf []*model.Target) []*model.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.probed {
		s := m.targets[id]
		if s.nextProbe.IsZero() {
			s.nextProbe = now.Add(time.Duration(id) % m.cfg.Interval)
		}
		if s.nextProbe.After(now) {
			continue
		}
		s.nextProbe = now.Add(m.cfg.Interval)
		buf = append(buf, s.target)
	}
	return buf
}

// HandleProbe records the result of a probe by this daemon.
func (m *Monitor) HandleProbe(now time.Time, r Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.targets[r.Target]
	if s == nil {
		return
	}
	if !m.probedRecently(now, s) {
		s.probeDown, s.successes, s.failures = false, 0, 0
	}
	s.probedAt = now
	s.countResult(r.OK, m.cfg)
	if r.OK {
		r.Report.At = now
		m.applyReport(s, r.Report)
	}
}

// ownProbesCurrent reports whether the results of this daemon's probes count: it probes the target and has done
// so recently.
func (m *Monitor) ownProbesCurrent(now time.Time, s *state) bool {
	return s.probing && m.probedRecently(now, s)
}

func (m *Monitor) probedRecently(now time.Time, s *state) bool {
	return now.Sub(s.probedAt) < m.cfg.ProbeLifetime
}

// countResult applies the thresholds DownAfter and UpAfter to one probe result.
func (s *state) countResult(ok bool, cfg Config) {
	if !ok {
		s.successes = 0
		s.failures++
		s.probeDown = s.probeDown || s.failures >= cfg.DownAfter
		return
	}
	s.failures = 0
	s.successes++
	if s.successes >= cfg.UpAfter {
		s.probeDown = false
	}
}

// HandleSummaries records the summaries from a heartbeat of another daemon.
func (m *Monitor) HandleSummaries(now time.Time, from model.MachineID, summaries []Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sum := range summaries {
		s := m.targets[sum.Target]
		if s == nil || from == m.self {
			continue
		}
		s.peerSummaries[from] = receivedSummary{summary: sum, at: now}
		if sum.Reported {
			m.applyReport(s, reportOf(now, sum))
		}
	}
}

func reportOf(now time.Time, sum Summary) placement.Report {
	return placement.Report{
		Connections: int(sum.Connections),
		BusySlots:   int(sum.BusySlots),
		Shedding:    sum.Shedding,
		Warming:     sum.Warming,
		At:          now.Add(-sum.Age),
	}
}

// applyReport passes a load report to the load table unless the fleet's own counts contradict it.
func (m *Monitor) applyReport(s *state, r placement.Report) {
	if r.At.Before(s.report.At) {
		return
	}
	s.report = r
	if m.reportFault(s) == ReasonNone {
		m.loads.SetReport(s.target.ID, r)
		return
	}
	m.loads.DropReport(s.target.ID)
}

// chanceStdDevs is the number of standard deviations by which one of this daemon's counts may differ from
// its expectation by chance.
const chanceStdDevs = 3

// reportTooLow reports whether a target must have more connections than it reports. That is so if it reports
// clearly fewer than this daemon's own open flows there, or less than half of the fleet's flows as
// estimated from them; both bounds leave a margin for chance.
func reportTooLow(reported, open, owners int) bool {
	own := float64(open)
	margin := chanceStdDevs * math.Sqrt(own)
	if float64(reported)+margin < own {
		return true
	}
	return 2*float64(reported) < (own-margin)*float64(owners)
}

// reportFault returns why the last load report must be wrong, or ReasonNone.
func (m *Monitor) reportFault(s *state) Reason {
	if s.report.At.IsZero() {
		return ReasonNone
	}
	open := m.loads.Open(s.target.ID)
	if reportTooLow(s.report.Connections, open, m.owners) {
		return ReasonReportTooLow
	}
	limit := float64(s.target.MaxConnections)
	full := limit > 0 && float64(s.report.Connections) >= limit
	if full && float64(open*m.owners) < limit*m.cfg.MinShareWhenFull {
		return ReasonReportTooHigh
	}
	return ReasonNone
}

// Tick evaluates every target, updates the load table and returns what changed.
func (m *Monitor) Tick(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []Change
	for _, svc := range m.services {
		changes = append(changes, m.evaluateService(now, svc)...)
	}
	return changes
}

// AppendTo appends summaries for a heartbeat to dst, at most limit bytes: first the targets with recent
// missed responses and those whose missed responses have ended since their last summary, then the probed
// targets in rotation. The next call continues the rotation.
func (m *Monitor) AppendTo(now time.Time, dst []byte, limit int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := len(dst) + limit
	for _, svc := range m.services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			missed := m.recentMisses(now, s) > 0
			if (missed || s.missesReported) && len(dst)+maxSummaryBytes <= end {
				dst = m.summary(now, s).AppendTo(dst)
				s.missesReported = missed
			}
		}
	}
	for n := 0; n < len(m.probed) && len(dst)+maxSummaryBytes <= end; n++ {
		id := m.probed[m.rotation%len(m.probed)]
		m.rotation++
		dst = m.summary(now, m.targets[id]).AppendTo(dst)
	}
	return dst
}

// recentMisses returns the number of this daemon's missed responses in a row, or 0 if the last one is not recent.
func (m *Monitor) recentMisses(now time.Time, s *state) int {
	own := m.loads.Evidence(s.target.ID)
	if !m.recent(now, own.LastMiss) {
		return 0
	}
	return own.ConsecutiveMisses
}

func (m *Monitor) summary(now time.Time, s *state) Summary {
	sum := Summary{
		Target:    s.target.ID,
		Probed:    m.ownProbesCurrent(now, s),
		ProbeDown: s.probeDown,
		Misses:    uint8(min(m.recentMisses(now, s), 255)),
	}
	age := now.Sub(s.report.At)
	if !s.probing || age > maxSummaryAge {
		return sum
	}
	sum.Reported = true
	sum.Shedding = s.report.Shedding
	sum.Warming = s.report.Warming
	sum.Connections = uint32(max(s.report.Connections, 0))
	sum.BusySlots = uint8(min(max(s.report.BusySlots, 0), 255))
	sum.Age = age
	return sum
}

// Statuses returns the health of every target in the order of the services.
func (m *Monitor) Statuses(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Status
	for _, svc := range m.services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			all = append(all, Status{
				Target:   t,
				Down:     s.down,
				Reason:   s.reason,
				Observed: m.loads.Observe(now, t.ID),
				Since:    s.since,
			})
		}
	}
	return all
}
