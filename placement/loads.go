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
	// Open is the number of this owner's open flows on the target.
	Open int
	// Recent is the number of flows that this owner placed on the target recently. Each counts 1 when it is
	// placed and decays exponentially with the time constant recentTimeConstant.
	Recent float64
	// FleetOpen is the estimated number of open flows of all owners; valid while FleetKnown.
	FleetOpen  int
	FleetKnown bool
	// FleetOpenMax is the highest likely number of open flows of all owners, which is compared with connection
	// limits; valid while FleetKnown.
	FleetOpenMax int
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
	// ConsecutiveMisses is the number of attempts without an answer since the last answer.
	ConsecutiveMisses int
	// LastMiss is the time of the last attempt without an answer; zero when there was none.
	LastMiss time.Time
	// ProbeFailed is true when the last probe, which began at FailedProbeAt and not before the first missed response
	// since the last answer, did not reach the target.
	ProbeFailed   bool
	FailedProbeAt time.Time
	// PeerReportAt is when another daemon last reported that it did not find the target; zero when there is no such
	// report since the target's last answer.
	PeerReportAt time.Time
	// Handshake is the moving average of the time from SYN to SYN-ACK; 0 while unknown.
	Handshake time.Duration
	// JoinedAt is the time at which the target joined; zero when it was present from the start.
	JoinedAt time.Time
	// Down is true while health checks take the target out of service.
	Down bool
}

// Loads is the load state that a Policy may use.
type Loads interface {
	// Open returns the number of this owner's open flows on the target.
	Open(t model.TargetID) int
	// Observe returns the state of the target at now; the zero Observation when the target is unknown.
	Observe(now time.Time, t model.TargetID) Observation
	// Owners returns the number of daemons that place flows on the targets of the owner's zone; at least 1.
	Owners() int
}

const (
	// attemptWeight is the weight of one connection attempt in the moving averages.
	attemptWeight = 0.1
	// recentTimeConstant is the time constant of Observation.Recent, in which a flow's contribution falls to 1/e.
	// It is about as long as a caller waits for an answer.
	recentTimeConstant = 250 * time.Millisecond
	// unansweredHalfLife is the time without further attempts after which the share of unanswered attempts has
	// fallen to half.
	unansweredHalfLife = 10 * time.Second
)

// LoadTable implements Loads. It holds one record per target, each with its own lock.
type LoadTable struct {
	targets  atomic.Pointer[map[model.TargetID]*targetLoad]
	owners   atomic.Int32
	updateMu sync.Mutex
}

// targetLoad is the record of one target.
type targetLoad struct {
	zone model.Zone
	mu   sync.Mutex
	// startedAt and dataAddress identify the current instance of the target: a restart under the same name changes
	// at least one of them.
	startedAt       time.Time
	dataAddress     netip.AddrPort
	open            int
	recentFlows     float64
	lastPlacedAt    time.Time
	evidence        Evidence
	report          Report
	openAtReport    int
	unansweredShare float64
	lastAttemptAt   time.Time
	handshake       time.Duration
	joinedAt        time.Time
	down            bool
}

// NewLoadTable returns an empty table with a single owner.
func NewLoadTable() *LoadTable {
	l := &LoadTable{}
	l.targets.Store(&map[model.TargetID]*targetLoad{})
	l.owners.Store(1)
	return l
}

// SetTable replaces the set of targets by those of t and the previous targets, which open flows may still use.
// Targets that remain keep their counts. Targets that join a table that is not empty start their ramp at now.
// Targets that are in neither set are dropped by a later SetTable once they have no open flow.
func (l *LoadTable) SetTable(now time.Time, t *Table, previous ...*model.Target) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	old := *l.targets.Load()
	next := make(map[model.TargetID]*targetLoad, len(old))
	for id, load := range old {
		if load.openFlows() > 0 {
			next[id] = load
		}
	}
	t.Services(func(st *ServiceTable) {
		for _, target := range st.targets {
			next[target.ID] = loadRecord(old, target, now)
		}
	})
	for _, target := range previous {
		if next[target.ID] == nil {
			next[target.ID] = loadRecord(old, target, now)
		}
	}
	l.targets.Store(&next)
}

// loadRecord returns the record of a target: the one in old, or a new one.
func loadRecord(old map[model.TargetID]*targetLoad, t *model.Target, now time.Time) *targetLoad {
	if load := old[t.ID]; load != nil {
		load.resetIfRestarted(now, t)
		return load
	}
	load := &targetLoad{zone: t.Zone, startedAt: t.StartedAt, dataAddress: t.Data}
	if len(old) > 0 {
		load.joinedAt = now
	}
	return load
}

// resetIfRestarted clears the target's evidence when the target has restarted under the same name, because that
// evidence belongs to the previous instance.
func (t *targetLoad) resetIfRestarted(now time.Time, target *model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.Equal(target.StartedAt) && t.dataAddress == target.Data {
		return
	}
	t.startedAt, t.dataAddress = target.StartedAt, target.Data
	t.evidence = Evidence{instanceSince: now}
	t.unansweredShare, t.handshake = 0, 0
}

// SetOwners sets the number of daemons that place flows on the targets of the owner's zone.
func (l *LoadTable) SetOwners(n int) {
	l.owners.Store(int32(max(n, 1)))
}

// Owners implements Loads.
func (l *LoadTable) Owners() int {
	return int(l.owners.Load())
}

// Opened counts an open flow of this owner on the target, but not as recently placed.
func (l *LoadTable) Opened(id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) { t.open++ })
}

// Placed counts a flow that this owner places on the target at now, as an open and a recently placed flow.
func (l *LoadTable) Placed(now time.Time, id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) {
		t.open++
		t.recentFlows = t.recentFlowsAt(now) + 1
		t.lastPlacedAt = now
	})
}

// recentFlowsAt returns the exponentially decayed number of recently placed flows at now.
func (t *targetLoad) recentFlowsAt(now time.Time) float64 {
	if t.recentFlows == 0 {
		return 0
	}
	return t.recentFlows * math.Exp(-float64(now.Sub(t.lastPlacedAt))/float64(recentTimeConstant))
}

// Closed counts the end of an open flow of this owner on the target.
func (l *LoadTable) Closed(id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) {
		t.open = max(t.open-1, 0)
	})
}

// SetReport stores a load report. A report older than the stored one is ignored.
func (l *LoadTable) SetReport(id model.TargetID, r Report) {
	l.withTarget(id, func(t *targetLoad) {
		if r.At.Before(t.report.At) {
			return
		}
		t.report = r
		t.openAtReport = t.open
	})
}

// DropReport removes a target's load report.
func (l *LoadTable) DropReport(id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) { t.report = Report{} })
}

// SetDown takes a target out of service or returns it to service.
func (l *LoadTable) SetDown(id model.TargetID, down bool) {
	l.withTarget(id, func(t *targetLoad) { t.down = down })
}

// Answered records that the target answered a connection attempt after d.
func (l *LoadTable) Answered(now time.Time, id model.TargetID, d time.Duration) {
	l.withTarget(id, func(t *targetLoad) {
		t.recordAttempt(now, 0)
		t.evidence.recordAnswer(now)
		if t.handshake == 0 {
			t.handshake = d
			return
		}
		t.handshake += time.Duration(attemptWeight * float64(d-t.handshake))
	})
}

// Alive records that the target sent a packet on an open flow.
func (l *LoadTable) Alive(now time.Time, id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) { t.evidence.recordAnswer(now) })
}

// Unanswered records that the target shed a connection attempt or did not answer it.
func (l *LoadTable) Unanswered(now time.Time, id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) {
		t.recordAttempt(now, 1)
		t.evidence.ConsecutiveMisses++
		t.evidence.LastMiss = now
	})
}

// Missed records that a flow got no answer from the target in time and returns the updated evidence. strong is true
// for an attempt that even a busy target would have answered.
func (l *LoadTable) Missed(now time.Time, id model.TargetID, h model.FlowHash, strong bool) Evidence {
	var e Evidence
	l.withTarget(id, func(t *targetLoad) {
		t.recordAttempt(now, 1)
		t.evidence.recordMiss(now, h, strong)
		e = t.evidence
	})
	return e
}

// Probed records the result of a probe of the target that began at the given time.
func (l *LoadTable) Probed(began time.Time, id model.TargetID, result ProbeResult) {
	l.withTarget(id, func(t *targetLoad) { t.evidence.recordProbe(began, result) })
}

// PeerReportedNotFound records that another daemon reported at now that it did not find the target.
func (l *LoadTable) PeerReportedNotFound(now time.Time, id model.TargetID) {
	l.withTarget(id, func(t *targetLoad) { t.evidence.PeerReportAt = now })
}

// NotFound records that a probe that began at the given time did not find the target, together with a strong missed
// response on a flow at that time. It records neither when the target has answered since or when the probe was of a
// previous instance of the target. It reports whether it recorded them. Both are recorded under one lock, so a
// concurrent answer comes either before or after both.
func (l *LoadTable) NotFound(began time.Time, id model.TargetID, h model.FlowHash, result ProbeResult) bool {
	recorded := false
	l.withTarget(id, func(t *targetLoad) {
		if t.evidence.LastAnswer.After(began) || began.Before(t.evidence.instanceSince) {
			return
		}
		t.recordAttempt(began, 1)
		t.evidence.recordMiss(began, h, true)
		t.evidence.recordProbe(began, result)
		recorded = true
	})
	return recorded
}

// Evidence returns the evidence about the target; zero when the target is unknown.
func (l *LoadTable) Evidence(id model.TargetID) Evidence {
	var e Evidence
	l.withTarget(id, func(t *targetLoad) { e = t.evidence })
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
	l.withTarget(id, func(t *targetLoad) { d = t.handshake })
	return d
}

// Observe implements Loads.
func (l *LoadTable) Observe(now time.Time, id model.TargetID) Observation {
	t := (*l.targets.Load())[id]
	if t == nil {
		return Observation{}
	}
	return t.observation(now, l.Owners())
}

// withTarget calls f with the record of a target under the record's lock. It does nothing for an unknown target.
func (l *LoadTable) withTarget(id model.TargetID, f func(t *targetLoad)) {
	t := (*l.targets.Load())[id]
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *targetLoad) openFlows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// recordAttempt updates the moving average of unanswered attempts with one attempt. missed is 1 when the attempt
// was not answered, else 0.
func (t *targetLoad) recordAttempt(now time.Time, missed float64) {
	t.unansweredShare = t.decayedUnanswered(now)
	t.unansweredShare += attemptWeight * (missed - t.unansweredShare)
	t.lastAttemptAt = now
}

// decayedUnanswered returns the share of unanswered attempts at now. Without further attempts it decays
// hyperbolically: to half after unansweredHalfLife, to a third after twice that time.
func (t *targetLoad) decayedUnanswered(now time.Time) float64 {
	age := now.Sub(t.lastAttemptAt)
	if t.unansweredShare == 0 || age <= 0 {
		return t.unansweredShare
	}
	return t.unansweredShare / (1 + float64(age)/float64(unansweredHalfLife))
}

func (t *targetLoad) observation(now time.Time, owners int) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := Observation{
		Open:              t.open,
		Recent:            t.recentFlowsAt(now),
		Unanswered:        t.decayedUnanswered(now),
		ConsecutiveMisses: t.evidence.ConsecutiveMisses,
		LastMiss:          t.evidence.LastMiss,
		ProbeFailed:       t.evidence.probeFailed(),
		FailedProbeAt:     t.evidence.ProbedAt,
		PeerReportAt:      t.evidence.PeerReportAt,
		Handshake:         t.handshake,
		JoinedAt:          t.joinedAt,
		Down:              t.down,
	}
	if t.report.At.IsZero() {
		return o
	}
	o.FleetKnown = true
	o.ReportAge = max(now.Sub(t.report.At), 0)
	o.FleetOpen = t.estimateFleetOpen(math.Sqrt(float64(owners)))
	o.FleetOpenMax = t.estimateFleetOpen(float64(owners))
	o.Reported = t.report.Connections
	o.BusySlots = t.report.BusySlots
	o.Shedding = t.report.Shedding
	o.Warming = t.report.Warming
	return o
}

// estimateFleetOpen estimates the open flows of all owners: the reported connections plus the change of the
// owner's own count since the report, multiplied by factor, and never less than the own count. The changes of all
// owners have a common part, and one owner's change is a sample of it that grows noisier with the number of
// owners. An estimate therefore uses the square root of that number as the factor, an upper bound the number
// itself.
func (t *targetLoad) estimateFleetOpen(factor float64) int {
	change := float64(t.open-t.openAtReport) * factor
	return max(t.report.Connections+int(math.Round(change)), t.open)
}
