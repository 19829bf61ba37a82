package placement

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Report is a target's load report as read by a health prober.
type Report struct {
	Connections int
	BusySlots   int
	Shedding    bool
	Warming     bool
	// At is the time at which the report was read.
	At time.Time
}

// Observation is the state of one target as this owner knows it at one point in time.
type Observation struct {
	// Open is the number of open flows that this owner placed on the target.
	Open int
	// Recent is the number of flows that this owner placed on the target recently. Each counts 1 when it is
	// placed and decays exponentially with the time constant recentTime.
	Recent float64
	// FleetOpen is the estimated number of open flows of all owners; valid while FleetKnown.
	FleetOpen  int
	FleetKnown bool
	// FleetMost is the highest likely number of open flows of all owners, which is compared with connection
	// limits; valid while FleetKnown.
	FleetMost int
	// Reported is the number of connections in the last report, uncorrected; valid while FleetKnown.
	Reported int
	// ReportAge is the time since the report was read; valid while FleetKnown.
	ReportAge time.Duration
	// BusySlots is the reported number of busy slots; valid while FleetKnown.
	BusySlots int
	Shedding  bool
	Warming   bool
	// Unanswered is the moving average of the share of connection attempts without an answer, 0 to 1.
	Unanswered float64
	// MissesInRow is the number of attempts without an answer since the last answer.
	MissesInRow int
	// LastMiss is the time of the last attempt without an answer; zero when there was none.
	LastMiss time.Time
	// Absent is true when a probe that began at AbsentAt, not before the first miss since the last answer, did
	// not reach the target.
	Absent   bool
	AbsentAt time.Time
	// ToldAt is when another daemon last reported that it did not find the target; zero when there is no such
	// report since the target's last answer.
	ToldAt time.Time
	// Handshake is the moving average of the time from SYN to SYN-ACK; 0 while unknown.
	Handshake time.Duration
	// Since is the time at which the target joined; zero when it was present from the start.
	Since time.Time
	// Down is true while health checks take the target out of service.
	Down bool
}

// Loads is the load state that a Policy may use.
type Loads interface {
	// Open returns the number of open flows that this owner placed on the target.
	Open(t model.TargetID) int
	// Observe returns the state of the target at now; the zero Observation when the target is unknown.
	Observe(now time.Time, t model.TargetID) Observation
	// Owners returns the number of daemons that place flows on the targets of the owner's zone; at least 1.
	Owners() int
}

const (
	// evidenceWeight is the weight of one connection attempt in the moving averages.
	evidenceWeight = 0.1
	// recentTime is the time constant of Observation.Recent, in which a flow's contribution falls to 1/e. It is
	// about as long as a caller waits for an answer.
	recentTime = 250 * time.Millisecond
	// evidenceHalfLife is the time without further attempts after which the share of unanswered attempts has
	// fallen to half.
	evidenceHalfLife = 10 * time.Second
)

// LoadTable implements Loads. It holds one record per target, each with its own lock.
type LoadTable struct {
	targets atomic.Pointer[map[model.TargetID]*targetLoad]
	owners  atomic.Int32
	update  sync.Mutex
}

type targetLoad struct {
	zone model.Zone
	mu   sync.Mutex
	// born and data identify the current instance of the target: a restart under the same name changes its
	// start time or its data address.
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

// NewLoadTable returns an empty table with a single owner.
func NewLoadTable() *LoadTable {
	l := &LoadTable{}
	l.targets.Store(&map[model.TargetID]*targetLoad{})
	l.owners.Store(1)
	return l
}

// SetTable replaces the set of targets by those of t and the previous targets in former, which open flows may
// still use. Targets that remain keep their counts. Targets that join a table that is not empty start their ramp
// at now. Targets that are in neither set are dropped once they have no open flow.
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

// live clears the target's evidence when the target has restarted under the same name, because the evidence
// belongs to the previous instance.
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

// SetReport stores a load report. A report older than the stored one is ignored.
func (l *LoadTable) SetReport(id model.TargetID, r Report) {
	l.with(id, func(t *targetLoad) {
		if r.At.Before(t.report.At) {
			return
		}
		t.report = r
		t.reportOpen = t.open
	})
}

// DropReport removes a target's load report.
func (l *LoadTable) DropReport(id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.report = Report{} })
}

// SetDown takes a target out of service or returns it to service.
func (l *LoadTable) SetDown(id model.TargetID, down bool) {
	l.with(id, func(t *targetLoad) { t.down = down })
}

// Answered records that the target answered a connection attempt after d.
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

// Alive records that the target sent a packet on an open flow.
func (l *LoadTable) Alive(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.evidence.answered(now) })
}

// Unanswered records that the target shed a connection attempt or did not answer it.
func (l *LoadTable) Unanswered(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) {
		t.noteAttempt(now, 1)
		t.evidence.MissesInRow++
		t.evidence.LastMiss = now
	})
}

// Missed records that a flow got no answer from the target in time and returns the updated evidence. A strong
// miss is one that even a busy target would have answered.
func (l *LoadTable) Missed(now time.Time, id model.TargetID, h model.FlowHash, strong bool) Evidence {
	var e Evidence
	l.with(id, func(t *targetLoad) {
		t.noteAttempt(now, 1)
		t.evidence.missed(now, h, strong)
		e = t.evidence
	})
	return e
}

// Probed records the result of a probe of the target that began at the given time.
func (l *LoadTable) Probed(began time.Time, id model.TargetID, found Finding) {
	l.with(id, func(t *targetLoad) { t.evidence.probed(began, found) })
}

// Told records that another daemon reported at now that it did not find the target.
func (l *LoadTable) Told(now time.Time, id model.TargetID) {
	l.with(id, func(t *targetLoad) { t.evidence.ToldAt = now })
}

// NotFound records that a probe that began at the given time did not find the target, together with a strong miss
// on a flow at that time. It records neither when the target has answered since or when the probe was of a
// previous instance of the target. It reports whether it recorded them. Both are recorded under one lock, so a
// concurrent answer comes either before or after both.
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

// Evidence returns the evidence about the target; zero when the target is unknown.
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

// Handshake returns the moving average of the target's time from SYN to SYN-ACK; 0 while unknown.
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

// unansweredAt returns the share of unanswered attempts at now. Without further attempts it decays
// hyperbolically: to half after evidenceHalfLife, to a third after twice that time.
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

// fleetOpen estimates the open flows of all owners: the reported connections plus the change of the owner's own
// count since the report, multiplied by factor, and never less than the own count. The changes of all owners have
// a common part, and one owner's change is a sample of it that grows noisier with the number of owners. An
// estimate therefore uses the square root of that number as the factor, an upper bound the number itself.
func (t *targetLoad) fleetOpen(factor float64) int {
	change := float64(t.open-t.reportOpen) * factor
	return max(t.report.Connections+int(math.Round(change)), t.open)
}
