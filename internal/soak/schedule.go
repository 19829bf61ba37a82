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

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds of steps.
const (
	// Kill ends a daemon at once, KillAll all of them; they start again after the step's time.
	Kill    Kind = "kill"
	KillAll Kind = "kill_all"
	// Restart asks a daemon to stop, and starts it again once it has.
	Restart Kind = "restart"
	// Pause stops a daemon's process for the step's time.
	Pause Kind = "pause"
	// StoreSlow delays a daemon's calls to the store, StoreReset ends them, StoreSilent swallows them and StoreLost
	// their answers; StoreDown does the second to all daemons.
	StoreSlow   Kind = "store_slow"
	StoreReset  Kind = "store_reset"
	StoreSilent Kind = "store_silent"
	StoreLost   Kind = "store_lost"
	StoreDown   Kind = "store_down"
	// StoreForgets discards the store's history.
	StoreForgets Kind = "store_forgets"
	// ZoneCut cuts a zone's daemons, targets and callers off from the others and from the store; HalfCut only the way
	// from its daemons to the targets of other zones.
	ZoneCut Kind = "zone_cut"
	HalfCut Kind = "half_cut"
	// Loss drops packets at random, SYNLoss half of the SYNs and of the answers to them.
	Loss    Kind = "loss"
	SYNLoss Kind = "syn_loss"
	// Stall stops a daemon's process for less than a second: too short to be taken for a pause.
	Stall Kind = "stall"
	// Lapse ends the registrations of a zone's targets, which go on serving and register again within lapseMost.
	Lapse Kind = "lapse"
	// Crash ends a target whose machine refuses what comes, Dark one that is silent. Another one starts after the
	// step's time, at the same address and, for every second one, for the other service.
	Crash Kind = "crash"
	Dark  Kind = "dark"
	// Drain takes a target away as planned; its registration ends before it does.
	Drain Kind = "drain"
	// AddRoute and DropRoute change the configuration.
	AddRoute  Kind = "add_route"
	DropRoute Kind = "drop_route"
	// Hostile sends a daemon bytes that nobody sends, and spoils entries of the store.
	Hostile Kind = "hostile"
	// LateCopies lets callers' packets arrive a second time, up to some seconds late.
	LateCopies Kind = "late_copies"
	// Settings writes a daemon's settings file anew and tells it.
	Settings Kind = "settings"
)

// faults are the kinds that a schedule draws from; kinds that hit everything are listed once, others more often.
var faults = []Kind{
	Kill, Kill, KillAll, Restart, Restart, Pause, Pause, StoreSlow, StoreReset, StoreSilent, StoreLost, StoreDown,
	StoreForgets, ZoneCut, HalfCut, Loss, Crash, Crash, Dark, Dark, Drain, Drain, AddRoute, AddRoute, DropRoute, Settings,
	SYNLoss, Stall, Stall, Stall, Lapse, Lapse, ZoneCut,
}

// leavings are the kinds that every second seed draws from: what they leave behind outlasts the time for which they
// excuse a daemon, and few of them excuse all.
var leavings = []Kind{Stall, Stall, Stall, Stall, Restart, Restart, Lapse, Lapse, Crash, Dark, Drain, Drain, ZoneCut, SYNLoss}

// Hash is how routers choose the daemon of a flow.
type Hash string

// Mod moves nearly all flows when a daemon leaves or joins, Steady those of that daemon.
const (
	Mod    Hash = "mod"
	Steady Hash = "steady"
)

// Step is one fault: what happens, when, to what and for how long.
type Step struct {
	Kind Kind `json:"kind"`
	// At is the time from the start of traffic.
	At time.Duration `json:"at"`
	// For is how long it lasts; 0 for steps without a duration.
	For time.Duration `json:"for"`
	// Subject counts through the daemons, targets or zones, as the kind asks.
	Subject int `json:"subject"`
}

// Schedule is what a run does. Its JSON form replays the run.
type Schedule struct {
	Seed  uint64        `json:"seed"`
	Size  Size          `json:"size"`
	Hash  Hash          `json:"hash,omitempty"`
	For   time.Duration `json:"for"`
	Steps []Step        `json:"steps"`
}

const (
	// meanGap is the mean time between two steps of a series; series start seriesGap apart on average.
	meanGap   = 300 * time.Millisecond
	seriesGap = 3 * time.Second
	// maxSeries bounds the steps of one series, maxFor the length of one step.
	maxSeries = 4
	maxFor    = 5 * time.Second
	// calmFactor is how much further apart series of leavings start.
	calmFactor = 2
	// stallLeast and stallMost bound a stall.
	stallLeast = 200 * time.Millisecond
	stallMost  = 950 * time.Millisecond
	// lapseMost is how long a registration that ended is away (the users' protocol).
	lapseMost = 2 * time.Second
	// calmEnd is kept free of new steps, so that all have ended before the last look.
	calmEnd = maxFor + time.Second
)

// Draw returns the schedule of a seed: series of faults that overlap.
func Draw(seed uint64, size Size, length time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, uint64(len(size))))
	s := Schedule{Seed: seed, Size: size, For: length, Hash: Steady}
	gap, kinds := seriesGap, faults
	if seed%2 == 0 {
		gap, kinds = calmFactor*seriesGap, leavings
	}
	if seed%4 >= 2 {
		s.Hash = Mod
	}
	last := max(length-calmEnd, 0)
	for at := draw(r, gap); at < last; at += draw(r, gap) {
		begin := at
		for range 1 + r.IntN(maxSeries) {
			if begin >= last {
				break
			}
			step := Step{
				Kind:    kinds[r.IntN(len(kinds))],
				At:      begin,
				For:     200*time.Millisecond + time.Duration(r.Int64N(int64(maxFor))),
				Subject: r.IntN(1 << 16),
			}
			s.Steps = append(s.Steps, follow(r, step)...)
			begin += draw(r, meanGap)
		}
	}
	if seed%besides == 0 {
		s.Steps = append(s.Steps, drawBesides(seed, last)...)
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	s.Steps = slices.DeleteFunc(s.Steps, func(p Step) bool { return p.At >= last })
	return s
}

// besides is how many seeds there are to one that has strange traffic beside its faults.
const besides = 3

// drawBesides returns steps of strange traffic over a time. They are drawn apart, so that the faults of a seed stay.
func drawBesides(seed uint64, last time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, besides))
	var steps []Step
	for at := draw(r, seriesGap); at < last; at += draw(r, seriesGap) {
		kind := Hostile
		if r.IntN(2) == 0 {
			kind = LateCopies
		}
		steps = append(steps, Step{Kind: kind, At: at, For: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxFor))), Subject: r.IntN(1 << 16)})
	}
	return steps
}

// follow returns a step and, after a stall or the cut of a zone, planned work some time later: flows then change
// daemons, so that one meets what the fault has left at another.
func follow(r *rand.Rand, s Step) []Step {
	switch s.Kind {
	case Stall:
		s.For = stallLeast + time.Duration(r.Int64N(int64(stallMost-stallLeast)))
	case ZoneCut:
	default:
		return []Step{s}
	}
	next := Step{Kind: Restart, At: s.At + s.For + time.Duration(r.Int64N(int64(2*settle))), Subject: s.Subject}
	return []Step{s, next}
}

func draw(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// Save writes the schedule to a file that Load reads.
func (s Schedule) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the schedule: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the schedule: %w", err)
	}
	return nil
}

// Load reads a schedule.
func Load(path string) (Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, fmt.Errorf("read a schedule: %w", err)
	}
	var s Schedule
	if err := json.Unmarshal(text, &s); err != nil {
		return Schedule{}, fmt.Errorf("read the schedule %s: %w", path, err)
	}
	return s, s.Size.check()
}

// Shrink removes steps as long as the rest still fails, with at most tries runs, and returns what is left.
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
