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
	// Report is what the target told; valid while OK.
	Report placement.Report
}

// Change is a target that was put aside or taken back.
type Change struct {
	Target *model.Target
	Down   bool
	Reason Reason
}

// Status is a target's state as operators see it.
type Status struct {
	Target *model.Target
	Down   bool
	Reason Reason
	// Seen is what the load table knows of the target.
	Seen placement.Observation
	// Since is the time of the last change of Down; zero when there was none.
	Since time.Time
}

// Monitor holds the health of all targets. It does no I/O and reads no clock. Its methods may be called
// by several goroutines; none of them is called per packet.
type Monitor struct {
	mu       sync.Mutex
	cfg      Config
	self     model.MachineID
	loads    *placement.LoadTable
	owners   int
	services []*model.Service
	targets  map[model.TargetID]*state
	// rotation is where the next AppendTo starts.
	rotation int
	probed   []model.TargetID
}

// state is what the monitor knows of one target.
type state struct {
	target *model.Target
	// probing is true while this daemon probes the target; probeDown, good and bad are its verdict and
	// the results in a row, probedAt the time of the latest; nextProbe is when the next one starts.
	probing   bool
	probeDown bool
	good, bad int
	probedAt  time.Time
	nextProbe time.Time
	report    placement.Report
	peers     map[model.MachineID]heard
	// holdFrom, holdUntil and hold are the time aside because of unanswered attempts and its length.
	holdFrom, holdUntil time.Time
	hold                time.Duration
	// told is true while the last summary told of misses.
	told   bool
	down   bool
	reason Reason
	since  time.Time
}

// heard is what another daemon told of a target.
type heard struct {
	summary Summary
	at      time.Time
}

// New returns a monitor of the daemon self that keeps loads up to date.
func New(cfg Config, self model.MachineID, loads *placement.LoadTable) *Monitor {
	return &Monitor{
		cfg:     cfg.WithDefaults(),
		self:    self,
		loads:   loads,
		owners:  1,
		targets: make(map[model.TargetID]*state),
	}
}

// SetTargets takes the services of the lists in force. Targets that stay keep their state.
func (m *Monitor) SetTargets(services []*model.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[model.TargetID]*state)
	for _, svc := range services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			if s == nil {
				s = &state{peers: make(map[model.MachineID]heard)}
			}
			s.target = t
			next[t.ID] = s
		}
	}
	m.services = services
	m.targets = next
	m.listProbed()
}

// SetLive takes the live daemons of each zone and says which targets this daemon probes from now on.
// live must name daemons of another zone for a zone that has none. owners is the number of live and
// ready daemons that place flows.
func (m *Monitor) SetLive(live func(z model.Zone) []model.MachineID, owners int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners = max(owners, 1)
	for _, s := range m.targets {
		s.probing = s.target.Report.IsValid() && IsProber(m.self, s.target.ID, live(s.target.Zone), m.cfg.Probers)
	}
	m.listProbed()
}

func (m *Monitor) listProbed() {
	m.probed = m.probed[:0]
	for id, s := range m.targets {
		if s.probing {
			m.probed = append(m.probed, id)
		}
	}
	slices.Sort(m.probed)
}

// Due appends to buf the targets whose probe is to start now and plans the next ones. First probes are
// spread over one interval by target id.
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

// HandleProbe takes the result of an own probe.
func (m *Monitor) HandleProbe(now time.Time, r Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.targets[r.Target]
	if s == nil {
		return
	}
	if !m.probedLately(now, s) {
		s.probeDown, s.good, s.bad = false, 0, 0
	}
	s.probedAt = now
	s.count(r.OK, m.cfg)
	if r.OK {
		r.Report.At = now
		m.takeReport(s, r.Report)
	}
}

// current reports whether own probes of a target tell something: this daemon probes it, and has done so lately.
func (m *Monitor) current(now time.Time, s *state) bool {
	return s.probing && m.probedLately(now, s)
}

func (m *Monitor) probedLately(now time.Time, s *state) bool {
	return now.Sub(s.probedAt) < m.cfg.ProbeLifetime
}

// count applies the hysteresis to one probe result.
func (s *state) count(ok bool, cfg Config) {
	if !ok {
		s.good = 0
		s.bad++
		s.probeDown = s.probeDown || s.bad >= cfg.DownAfter
		return
	}
	s.bad = 0
	s.good++
	if s.good >= cfg.UpAfter {
		s.probeDown = false
	}
}

// HandleSummaries takes a heartbeat section of another daemon.
func (m *Monitor) HandleSummaries(now time.Time, from model.MachineID, summaries []Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, sum := range summaries {
		s := m.targets[sum.Target]
		if s == nil || from == m.self {
			continue
		}
		s.peers[from] = heard{summary: sum, at: now}
		if sum.Reported {
			m.takeReport(s, reportOf(now, sum))
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

// takeReport passes a report on unless what the fleet knows contradicts it.
func (m *Monitor) takeReport(s *state, r placement.Report) {
	if r.At.Before(s.report.At) {
		return
	}
	s.report = r
	if m.doubt(s) == ReasonNone {
		m.loads.SetReport(s.target.ID, r)
		return
	}
	m.loads.DropReport(s.target.ID)
}

// chance is the number of standard deviations of an own count that chance may explain.
const chance = 3

// tooLow reports whether a target cannot have as few connections as it says: less than half of what this
// daemon's own flows there let expect of the fleet, leaving room for chance, or clearly fewer than this
// daemon's own.
func tooLow(reported, open, owners int) bool {
	own := float64(open)
	room := chance * math.Sqrt(own)
	if float64(reported)+room < own {
		return true
	}
	return 2*float64(reported) < (own-room)*float64(owners)
}

// doubt returns why the last report cannot be right, or ReasonNone.
func (m *Monitor) doubt(s *state) Reason {
	if s.report.At.IsZero() {
		return ReasonNone
	}
	open := m.loads.Open(s.target.ID)
	if tooLow(s.report.Connections, open, m.owners) {
		return ReasonReportTooLow
	}
	limit := float64(s.target.MaxConnections)
	full := limit > 0 && float64(s.report.Connections) >= limit
	if full && float64(open*m.owners) < limit*m.cfg.FullDoubt {
		return ReasonReportTooHigh
	}
	return ReasonNone
}

// Tick judges every target anew, keeps the load table up to date and returns what changed.
func (m *Monitor) Tick(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []Change
	for _, svc := range m.services {
		changes = append(changes, m.judge(now, svc)...)
	}
	return changes
}

// AppendTo appends summaries for a heartbeat to dst, at most limit bytes of them: targets that did not
// answer lately, then the probed ones in turn. The next call goes on where this one ended.
func (m *Monitor) AppendTo(now time.Time, dst []byte, limit int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := len(dst) + limit
	for _, svc := range m.services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			missed := m.misses(now, s) > 0
			if (missed || s.told) && len(dst)+maxSummaryBytes <= end {
				dst = m.summary(now, s).AppendTo(dst)
				s.told = missed
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

// misses returns the own unanswered attempts in a row while they are recent.
func (m *Monitor) misses(now time.Time, s *state) int {
	own := m.loads.Evidence(s.target.ID)
	if !m.recent(now, own.LastMiss) {
		return 0
	}
	return own.MissesInRow
}

func (m *Monitor) summary(now time.Time, s *state) Summary {
	sum := Summary{
		Target:    s.target.ID,
		Probed:    m.current(now, s),
		ProbeDown: s.probeDown,
		Misses:    uint8(min(m.misses(now, s), 255)),
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

// Statuses returns the state of every target in the order of the services.
func (m *Monitor) Statuses(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Status
	for _, svc := range m.services {
		for _, t := range svc.Targets {
			s := m.targets[t.ID]
			all = append(all, Status{
				Target: t,
				Down:   s.down,
				Reason: s.reason,
				Seen:   m.loads.Observe(now, t.ID),
				Since:  s.since,
			})
		}
	}
	return all
}
