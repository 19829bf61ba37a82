package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned maintenance.
type Kind string

// The kinds of steps.
const (
	// Kill sends SIGKILL to a daemon, KillAll to all daemons; they start again after the step's duration.
	Kill    Kind = "kill"
	KillAll Kind = "kill_all"
	// Restart stops a daemon with SIGTERM and starts it again after its exit.
	Restart Kind = "restart"
	// Pause suspends a daemon's process (SIGSTOP) for the step's duration.
	Pause Kind = "pause"
	// StoreSlow delays a daemon's calls to the store, StoreReset resets their connections, StoreUnresponsive drops
	// requests and responses, and StoreResponsesLost drops responses only. StoreDown does the same as StoreReset for all
	// daemons.
	StoreSlow          Kind = "store_slow"
	StoreReset         Kind = "store_reset"
	StoreUnresponsive  Kind = "store_silent"
	StoreResponsesLost Kind = "store_lost"
	StoreDown          Kind = "store_down"
	// StoreCompact discards the store's change history, as a compaction does.
	StoreCompact Kind = "store_forgets"
	// ZoneCut partitions a zone's daemons, targets and callers from the other zones and from the store. OneWayCut drops
	// only packets from its daemons to the targets of other zones.
	ZoneCut   Kind = "zone_cut"
	OneWayCut Kind = "half_cut"
	// Loss drops packets at random, SYNLoss half of the SYNs and SYN-ACKs.
	Loss    Kind = "loss"
	SYNLoss Kind = "syn_loss"
	// StoreReturn makes the store unavailable to daemons and writers for the step's duration, at most maxStoreAbsence. It
	// then returns from a copy that is up to maxCopyAge older. Targets and operators write again, late and in any order.
	StoreReturn Kind = "store_return"
	// Stall suspends a daemon's process for less than a second, which is too short to be recognized as a pause.
	Stall Kind = "stall"
	// Expire removes the registrations of a zone's targets, which go on serving and register again within maxExpiredTime.
	Expire Kind = "lapse"
	// Crash stops a target whose machine stays up and resets every packet; Unresponsive stops a target together with its
	// machine, so that nothing responds. A new target starts after the step's duration, but not before the registration
	// has expired, at the same address and in half of the cases for the other service.
	Crash        Kind = "crash"
	Unresponsive Kind = "dark"
	// Drain stops a target as planned; its registration ends before the target stops.
	Drain Kind = "drain"
	// ZoneDrain publishes the drain of a zone and takes it back after the step's duration.
	ZoneDrain Kind = "zone_drain"
	// AddRoute and DropRoute publish a configuration with one route more or less.
	AddRoute  Kind = "add_route"
	DropRoute Kind = "drop_route"
	// Hostile sends a daemon malformed traffic and publishes malformed store items.
	Hostile Kind = "hostile"
	// LateDuplicates delivers some of the callers' packets a second time, with a delay of up to some seconds.
	LateDuplicates Kind = "late_copies"
	// ReloadSettings rewrites a daemon's settings file and sends it SIGHUP.
	ReloadSettings Kind = "settings"
)

// faultKinds are the kinds from which schedules with odd seeds are drawn. A kind is drawn in proportion to how often
// it is listed; kinds that affect all components are listed once.
var faultKinds = []Kind{
	Kill, Kill, KillAll, Restart, Restart, Pause, Pause, StoreSlow, StoreReset, StoreUnresponsive, StoreResponsesLost, StoreDown,
	StoreCompact, ZoneCut, OneWayCut, Loss, Crash, Crash, Unresponsive, Unresponsive, Drain, Drain, AddRoute, AddRoute, DropRoute, ReloadSettings,
	SYNLoss, Stall, Stall, Stall, Expire, Expire, ZoneCut,
}

// lingeringFaultKinds are the kinds from which schedules with even seeds are drawn. The state that these faults leave
// behind, such as outdated flow records, outlasts the grace time during which failures are excused, and only a few of
// them excuse all daemons at once.
var lingeringFaultKinds = []Kind{Stall, Stall, Stall, Stall, Restart, Restart, Expire, Expire, Crash, Unresponsive, Drain, Drain, ZoneCut, SYNLoss}

// Hash is the algorithm by which routers choose the daemon for a flow.
type Hash string

// Modulo takes the hash modulo the number of daemons, which moves nearly all flows when a daemon is removed or added.
// Rendezvous is rendezvous hashing, which moves only the flows of that daemon.
const (
	Modulo     Hash = "mod"
	Rendezvous Hash = "steady"
)

// Step is one scheduled fault or maintenance action.
type Step struct {
	Kind Kind `json:"kind"`
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
	// For is the duration; 0 for steps without one.
	For time.Duration `json:"for"`
	// Subject selects the daemon, target or zone, depending on the kind: it is taken modulo their number.
	Subject int `json:"subject"`
}

// Schedule lists the steps of a run, ordered by time. A schedule written by Save can be replayed.
type Schedule struct {
	Seed  uint64        `json:"seed"`
	Size  Size          `json:"size"`
	Hash  Hash          `json:"hash,omitempty"`
	For   time.Duration `json:"for"`
	Steps []Step        `json:"steps"`
}

const (
	// meanStepGap is the mean time between two steps of a series, meanSeriesGap the mean time between the starts of two
	// series.
	meanStepGap   = 300 * time.Millisecond
	meanSeriesGap = 3 * time.Second
	// maxSeriesSteps bounds the number of steps in a series, maxStepDuration the duration of a step.
	maxSeriesSteps  = 4
	maxStepDuration = 5 * time.Second
	// lingeringGapFactor multiplies the mean time between series of the kinds in lingeringFaultKinds.
	lingeringGapFactor = 2
	// minStall and maxStall bound the duration of a stall.
	minStall = 200 * time.Millisecond
	maxStall = 950 * time.Millisecond
	// maxExpiredTime bounds the time for which an expired registration is missing from the store (the users' protocol).
	maxExpiredTime = 2 * time.Second
	// quietEnd is the time at the end of a schedule without new steps, so that all steps have ended before the final
	// check.
	quietEnd = maxStepDuration + time.Second
)

// Draw returns the schedule of a seed: series of overlapping faults over the given length. The same seed, size and
// length always give the same schedule.
func Draw(seed uint64, size Size, length time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, uint64(len(size))))
	s := Schedule{Seed: seed, Size: size, For: length, Hash: Rendezvous}
	gap, kinds := meanSeriesGap, faultKinds
	if seed%2 == 0 {
		gap, kinds = lingeringGapFactor*meanSeriesGap, lingeringFaultKinds
	}
	if seed%4 >= 2 {
		s.Hash = Modulo
	}
	last := max(length-quietEnd, 0)
	for at := exponential(r, gap); at < last; at += exponential(r, gap) {
		begin := at
		for range 1 + r.IntN(maxSeriesSteps) {
			if begin >= last {
				break
			}
			step := Step{
				Kind:    kinds[r.IntN(len(kinds))],
				At:      begin,
				For:     200*time.Millisecond + time.Duration(r.Int64N(int64(maxStepDuration))),
				Subject: r.IntN(1 << 16),
			}
			s.Steps = append(s.Steps, withFollowUp(r, step)...)
			begin += exponential(r, meanStepGap)
		}
	}
	if seed%extraTrafficInterval == 0 {
		s.Steps = append(s.Steps, drawExtraTraffic(seed, last)...)
	}
	if seed%extraTrafficInterval == zoneDrainRemainder {
		s.Steps = append(s.Steps, drawZoneDrains(seed, length)...)
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	s.Steps = slices.DeleteFunc(s.Steps, func(p Step) bool { return p.At >= last })
	return s
}

// extraTrafficInterval is the interval between seeds whose schedules also contain Hostile and LateDuplicates steps:
// one in three.
const extraTrafficInterval = 3

// zoneDrainRemainder is the remainder of the seeds by extraTrafficInterval whose schedules also contain drains of zones.
const zoneDrainRemainder = 1

// drawExtraTraffic returns Hostile and LateDuplicates steps up to the time last. It uses a separate random source, so
// that the other steps of a seed are the same with and without them.
func drawExtraTraffic(seed uint64, last time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, extraTrafficInterval))
	var steps []Step
	for at := exponential(r, meanSeriesGap); at < last; at += exponential(r, meanSeriesGap) {
		kind := Hostile
		if r.IntN(2) == 0 {
			kind = LateDuplicates
		}
		steps = append(steps, Step{Kind: kind, At: at, For: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxStepDuration))), Subject: r.IntN(1 << 16)})
	}
	return steps
}

// returnInterval is the mean time between the steps that WithReturns adds.
const returnInterval = 6 * time.Second

// WithReturns returns the schedule with StoreReturn steps, some of them within a second of each other. They are drawn from
// a separate random source, so that the other steps of a seed are the same with and without them.
func (s Schedule) WithReturns() Schedule {
	r := rand.New(rand.NewPCG(s.Seed, uint64(returnInterval)))
	steps := slices.Clone(s.Steps)
	last := max(s.For-quietEnd, 0)
	for at := exponential(r, returnInterval); at < last; at += exponential(r, returnInterval) {
		for range 1 + r.IntN(2) {
			steps = append(steps, Step{Kind: StoreReturn, At: at, For: time.Duration(r.Int64N(int64(maxStoreAbsence))), Subject: r.IntN(1 << 16)})
			at += time.Duration(r.Int64N(int64(time.Second)))
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	s.Steps = slices.DeleteFunc(steps, func(p Step) bool { return p.At >= last })
	return s
}

// withFollowUp returns a step and, for a stall or a zone cut, a restart of a daemon some time later. The restart moves
// flows to other daemons, which then have to handle the state that the fault has left behind. For a stall it also
// draws the duration, between minStall and maxStall.
func withFollowUp(r *rand.Rand, s Step) []Step {
	switch s.Kind {
	case Stall:
		s.For = minStall + time.Duration(r.Int64N(int64(maxStall-minStall)))
	case ZoneCut:
	default:
		return []Step{s}
	}
	next := Step{Kind: Restart, At: s.At + s.For + time.Duration(r.Int64N(int64(2*faultGrace))), Subject: s.Subject}
	return []Step{s, next}
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// Save writes the schedule to a file that Load reads.
func (s Schedule) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode schedule: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write schedule: %w", err)
	}
	return nil
}

// Load reads a schedule from a file that Save wrote. It returns an error for an unknown size.
func Load(path string) (Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, fmt.Errorf("read schedule: %w", err)
	}
	var s Schedule
	if err := json.Unmarshal(text, &s); err != nil {
		return Schedule{}, fmt.Errorf("decode schedule %s: %w", path, err)
	}
	return s, s.Size.validate()
}

// Shrink removes steps while the remaining schedule still fails, calling fails at most tries times, and returns the
// smallest failing schedule found. It tries large groups of steps first, then smaller ones.
func (s Schedule) Shrink(tries int, fails func(Schedule) bool) Schedule {
	for part := (len(s.Steps) + 1) / 2; part > 0 && tries > 0; {
		smaller := false
		for from := 0; from < len(s.Steps) && tries > 0; {
			next := s
			next.Steps = append(append([]Step(nil), s.Steps[:from]...), s.Steps[min(from+part, len(s.Steps)):]...)
			tries--
			if fails(next) {
				s, smaller = next, true
				continue
			}
			from += part
		}
		if part == 1 && !smaller {
			break
		}
		part = max(min(part/2, len(s.Steps)), min(part-1, 1))
	}
	return s
}
