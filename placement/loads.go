package placement

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Report is a target's load report as a prober read it.
type Report struct {
	Connections int
	BusySlots   int
	Shedding    bool
	Warming     bool
	// At is the time at which the report was read.
	At time.Time
}

// Observation is what an owner knows of one target at one moment.
type Observation struct {
	// Open is the number of open flows that this owner placed on the target.
	Open int
	// Recent is the number of flows that this owner placed on the target lately: each counts 1 at first and
	// less with time, as recentTime says.
	Recent float64
	// FleetOpen estimates the open flows of all owners; valid while FleetKnown.
	FleetOpen  int
	FleetKnown bool
	// FleetMost is the highest likely number of open flows of all owners: the one that connection limits
	// are held against; valid while FleetKnown.
	FleetMost int
	// Reported is the number of connections of the last report itself; valid while FleetKnown.
	Reported int
	// ReportAge is the time since the report was read; valid while FleetKnown.
	ReportAge time.Duration
	// BusySlots is the reported number of busy slots; valid while FleetKnown.
	BusySlots int
	Shedding  bool
	Warming   bool
	// Unanswered is the share of recent connection attempts that got no answer, 0 to 1.
	Unanswered float64
	// MissesInRow is the number of attempts without an answer since the last answer.
	MissesInRow int
	// LastMiss is the time of the last attempt without an answer; zero when there was none.
	LastMiss time.Time
	// Absent is true where a probe that began after the target's first miss, at AbsentAt, did not find it.
	Absent   bool
	AbsentAt time.Time
	// ToldAt is when another daemon last said that it did not find the target; zero when none did.
	ToldAt time.Time
	// Handshake is the mean time from SYN to SYN-ACK; 0 while unknown.
	Handshake time.Duration
	// Since is the time at which the target joined; zero when it was there from the start.
	Since time.Time
	// Down is true while health checks put the target aside.
	Down bool
}

// Loads is what a Policy may look at.
type Loads interface {
	// Open returns the number of open flows that this owner placed on the target.
	Open(t model.TargetID) int
	// Observe returns all that is known of the target at now.
	Observe(now time.Time, t model.TargetID) Observation
	// Owners returns the number of daemons that place flows on the targets of the owner's zone, 1 or more.
	Owners() int
}

const (
	// evidenceWeight is the weight of one connection attempt in the moving averages.
	evidenceWeight = 0.1
	// recentTime is the time in which a flow's part in Recent falls to 1/e: about as long as a caller waits
	// for an answer.
	recentTime = 250 * time.Millisecond
	// evidenceHalfLife is the time after which evidence that is not renewed counts half.
	evidenceHalfLife = 10 * time.Second
)

// LoadTable implements Loads. It holds one small record per target, each under its own lock.
type LoadTable struct {
	targets atomic.Pointer[map[model.TargetID]*targetLoad]
	owners  atomic.Int32
	update  sync.Mutex
}

type targetLoad struct {
	zone model.Zone
	mu   sync.Mutex
	// born and data tell the target's present life from an earlier one under its name.
	born       time.Time
	data       netip.AddrPort
	open       int
	recent     float64
	recentAt   time.Time
	evidence   Evidence
	report     Report
	reportOpen int
	unanswered float64
	evidenceAt time.Time
	handshake  time.Duration
	since      time.Time
	down       bool
}

// NewLoadTable returns an empty table of an owner that is alone.
func NewLoadTable() *LoadTable {
	l := &LoadTable{}
	l.targets.Store(&map[model.TargetID]*targetLoad{})
	l.owners.Store(1)
	return l
}

// SetTable makes the table hold the targets of t, and former ones that open flows may lead to. Targets that stay keep
// their counts; targets that join an already filled table start their ramp at now; targets that are gone are forgotten
// once they have no open flow.
func (l *LoadTable) SetTable(now time.Time, t *Table, former ...*model.Target) {
	l.update.Lock()
	defer l.update.Unlock()
	old := *l.targets.Load()
	next := make(map[model.TargetID]*targetLoad, len(old))
	for id, load := range old {
		if load.openFlows() > 0 {
			next[id] = load
		}
	}
	t.Services(func(st *ServiceTable) {
		for _, target := range st.targets {
			next[target.ID] = joined(old, target, now)
		}
	})
	for _, target := range former {
		if next[target.ID] == nil {
			next[target.ID] = joined(old, target, now)
		}
	}
	l.targets.Store(&next)
}

func joined(old map[model.TargetID]*targetLoad, t *model.Target, now time.Time) *targetLoad {
	if load := old[t.ID]; load != nil {
		load.live(now, t)
		return load
	}
	load := &targetLoad{zone: t.Zone, born: t.Born, data: t.Data}
	if len(old) > 0 {
		load.since = now
	}
	return load
}

// live forgets what attempts met where the target has started again under its name: it tells of an earlier life.
func (t *targetLoad) live(now time.Time, target *model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.born.Equal(target.Born) && t.data == target.Data {
		return
	}
	t.born, t.data = target.Born, target.Data
	t.evidence = Evidence{since: now}
	t.unanswered, t.handshake = 0, 0
}

// SetOwners sets the number of daemons that place flows on the targets of the owner's zone.
func (l *LoadTable) SetOwners(n int) {
	l.owners.Store(int32(max(n, 1)))
}

// Owners implements Loads.
func (l *LoadTable) Owners() int {
	return int(l.owners.Load())
}

// Opened counts a flow that this owner placed on the target.
func (l *LoadTable) Opened(id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.open++ })
}

// Placed counts a flow that this owner placed on the target now.
func (l *LoadTable) Placed(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) {
		t.open++
		t.recent = t.recentNow(now) + 1
		t.recentAt = now
	})
}

func (t *targetLoad) recentNow(now time.Time) float64 {
	if t.recent == 0 {
		return 0
	}
	return t.recent * math.Exp(-float64(now.Sub(t.recentAt))/float64(recentTime))
}

// Closed counts the end of a flow that this owner had placed on the target.
func (l *LoadTable) Closed(id model.TargetID) {
	l.with(id, func(t *targetLoad) {
		t.open = max(t.open-1, 0)
	})
}

// SetReport takes a load report. One that is older than the last is dropped.
func (l *LoadTable) SetReport(id model.TargetID, r Report) {
	l.with(id, func(t *targetLoad) {
		if r.At.Before(t.report.At) {
			return
		}
		t.report = r
		t.reportOpen = t.open
	})
}

// DropReport forgets a target's load report.
func (l *LoadTable) DropReport(id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.report = Report{} })
}

// SetDown puts a target aside or takes it back.
func (l *LoadTable) SetDown(id model.TargetID, down bool) {
	l.with(id, func(t *targetLoad) { t.down = down })
}

// Answered notes that the target answered a connection attempt after d.
func (l *LoadTable) Answered(now time.Time, id model.TargetID, d time.Duration) {
	l.with(id, func(t *targetLoad) {
		t.noteAttempt(now, 0)
		t.evidence.answered(now)
		if t.handshake == 0 {
			t.handshake = d
			return
		}
		t.handshake += time.Duration(evidenceWeight * float64(d-t.handshake))
	})
}

// Alive notes that the target sent something on an open flow.
func (l *LoadTable) Alive(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.evidence.answered(now) })
}

// Unanswered notes that the target shed a connection attempt or left it unanswered.
func (l *LoadTable) Unanswered(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) {
		t.noteAttempt(now, 1)
		t.evidence.MissesInRow++
		t.evidence.LastMiss = now
	})
}

// Missed notes that a flow got no answer from the target in time, and returns the evidence with it. A strong
// miss is one that a busy target would have answered.
func (l *LoadTable) Missed(now time.Time, id model.TargetID, h model.FlowHash, strong bool) Evidence {
	var e Evidence
	l.with(id, func(t *targetLoad) {
		t.noteAttempt(now, 1)
		t.evidence.missed(now, h, strong)
		e = t.evidence
	})
	return e
}

// Probed notes what a probe of the target met that began at a time.
func (l *LoadTable) Probed(began time.Time, id model.TargetID, found Finding) {
	l.with(id, func(t *targetLoad) { t.evidence.probed(began, found) })
}

// Told notes that another daemon did not find the target.
func (l *LoadTable) Told(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.evidence.ToldAt = now })
}

// NotFound notes that a probe that began at a time did not find the target, and a miss of then on a flow, unless the target has
// answered since or the probe was one of its earlier life. It reports whether it did; an answer that comes meanwhile is
// noted either before or after both.
func (l *LoadTable) NotFound(began time.Time, id model.TargetID, h model.FlowHash, found Finding) bool {
	noted := false
	l.with(id, func(t *targetLoad) {
		if t.evidence.LastAnswer.After(began) || began.Before(t.evidence.since) {
			return
		}
		t.noteAttempt(began, 1)
		t.evidence.missed(began, h, true)
		t.evidence.probed(began, found)
		noted = true
	})
	return noted
}

// Evidence returns what own connection attempts to the target met.
func (l *LoadTable) Evidence(id model.TargetID) Evidence {
	var e Evidence
	l.with(id, func(t *targetLoad) { e = t.evidence })
	return e
}

// Open implements Loads.
func (l *LoadTable) Open(id model.TargetID) int {
	t := (*l.targets.Load())[id]
	if t == nil {
		return 0
	}
	return t.openFlows()
}

// Handshake returns the mean time from SYN to SYN-ACK of the target lately; 0 while unknown.
func (l *LoadTable) Handshake(id model.TargetID) time.Duration {
	var d time.Duration
	l.with(id, func(t *targetLoad) { d = t.handshake })
	return d
}

// Observe implements Loads.
func (l *LoadTable) Observe(now time.Time, id model.TargetID) Observation {
	t := (*l.targets.Load())[id]
	if t == nil {
		return Observation{}
	}
	return t.observe(now, l.Owners())
}

func (l *LoadTable) with(id model.TargetID, change func(t *targetLoad)) {
	t := (*l.targets.Load())[id]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *targetLoad) openFlows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

func (t *targetLoad) noteAttempt(now time.Time, missed float64) {
	t.unanswered = t.unansweredAt(now)
	t.unanswered += evidenceWeight * (missed - t.unanswered)
	t.evidenceAt = now
}

// unansweredAt returns the share of unanswered attempts, halved for each half-life without evidence.
func (t *targetLoad) unansweredAt(now time.Time) float64 {
	age := now.Sub(t.evidenceAt)
	if t.unanswered == 0 || age <= 0 {
		return t.unanswered
	}
	return t.unanswered / (1 + float64(age)/float64(evidenceHalfLife))
}

func (t *targetLoad) observe(now time.Time, owners int) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := Observation{
		Open:        t.open,
		Recent:      t.recentNow(now),
		Unanswered:  t.unansweredAt(now),
		MissesInRow: t.evidence.MissesInRow,
		LastMiss:    t.evidence.LastMiss,
		Absent:      t.evidence.absent(),
		AbsentAt:    t.evidence.ProbedAt,
		ToldAt:      t.evidence.ToldAt,
		Handshake:   t.handshake,
		Since:       t.since,
		Down:        t.down,
	}
	if t.report.At.IsZero() {
		return o
	}
	o.FleetKnown = true
	o.ReportAge = max(now.Sub(t.report.At), 0)
	o.FleetOpen = t.fleetOpen(math.Sqrt(float64(owners)))
	o.FleetMost = t.fleetOpen(float64(owners))
	o.Reported = t.report.Connections
	o.BusySlots = t.report.BusySlots
	o.Shedding = t.report.Shedding
	o.Warming = t.report.Warming
	return o
}

// fleetOpen corrects the report for its age by the owner's own change since, times a factor, and is
// never less than the owner's own count. The owners' changes have a common part, of which one owner's
// change is a sample that grows noisier the more owners there are: so the square root of their number
// is the factor for an estimate, and the number itself for a bound.
func (t *targetLoad) fleetOpen(factor float64) int {
	change := float64(t.open-t.reportOpen) * factor
	return max(t.report.Connections+int(math.Round(change)), t.open)
}
