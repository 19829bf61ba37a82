package fleet

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/standin"
	"github.com/fireflypin/fireflypin/model"
)

// Variant is the software that runs on the entry VMs.
type Variant string

// The variants.
const (
	// VariantDaemon is the fireflypin daemon.
	VariantDaemon Variant = "daemon"
	// VariantTable is a baseline that selects targets by rendezvous hashing and keeps a flow table in each
	// member.
	VariantTable Variant = "table"
	// VariantHash is a baseline that selects the target of each packet by rendezvous hashing and keeps no
	// state.
	VariantHash Variant = "hash"
)

// Variants returns all variants.
func Variants() []Variant {
	return []Variant{VariantDaemon, VariantTable, VariantHash}
}

// State is the lifecycle state of a member.
type State string

// The states of a member.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
	StateStopped  State = "stopped"
	StateKilled   State = "killed"
)

// Status holds the state and counters of a member.
type Status struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// State is set by the fleet.
	State State `json:"state"`
	// Flows is the number of flows that the member owns (daemon) or has in its flow table (baseline).
	// Exceptions is the number of those whose target is not their default target.
	Flows      int `json:"flows"`
	Exceptions int `json:"exceptions"`
	// Packets counts the packets from the fabric that the member handled, Forwards those that it forwarded to the
	// daemon that owns the flow.
	Packets  uint64 `json:"packets"`
	Forwards uint64 `json:"hops"`
	// ControlBytes counts the bytes sent to other daemons, without forwarded packets.
	ControlBytes uint64          `json:"control_bytes"`
	Revisions    model.Revisions `json:"revisions"`
}

// member is one running daemon or baseline.
type member interface {
	// Ready reports whether it is ready to serve.
	Ready() bool
	// Stop stops it gracefully.
	Stop(ctx context.Context) error
	// Kill terminates it without a graceful stop.
	Kill()
	// Status returns its counters and list revisions.
	Status() Status
}

// slot is one entry VM of a fleet.
type slot struct {
	plan scenario.EntryPlan

	mu     sync.Mutex
	member member
	state  State
	// previousCounters holds the summed counters of the members that ran on this VM earlier.
	previousCounters Status
}

func (s *slot) setState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *slot) get() (member, State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member, s.state
}

// replace sets the member of the slot and adds the counters of the old member to previousCounters.
func (s *slot) replace(m member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousCounters = s.previousCounters.withCountersOf(s.member.Status())
	s.member = m
	s.state = StateStarting
}

// status returns the current status, with counters summed over all members that ran on this VM.
func (s *slot) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.member.Status().withCountersOf(s.previousCounters)
	st.Name = s.plan.Name
	st.Zone = s.plan.Zone
	st.State = s.state
	return st
}

// withCountersOf returns s with the counters of o added. Gauges and other fields are those of s.
func (s Status) withCountersOf(o Status) Status {
	s.Packets += o.Packets
	s.Forwards += o.Forwards
	s.ControlBytes += o.ControlBytes
	return s
}

// Fleet holds the members of one site.
type Fleet struct {
	site    *scenario.Site
	variant Variant
	logTo   io.Writer
	slots   []*slot
}

// Start starts a member on every entry VM of a site. Daemons log to logTo; nil discards their logs.
func Start(site *scenario.Site, v Variant, logTo io.Writer) (*Fleet, error) {
	if logTo == nil {
		logTo = io.Discard
	}
	f := &Fleet{site: site, variant: v, logTo: logTo}
	for _, plan := range site.Entries {
		m, err := startMember(site, plan, v, logTo)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("start %s as %s: %w", plan.Name, v, err)
		}
		f.slots = append(f.slots, &slot{plan: plan, member: m, state: StateStarting})
	}
	return f, nil
}

func startMember(site *scenario.Site, plan scenario.EntryPlan, v Variant, logTo io.Writer) (member, error) {
	network := site.Links.Network(plan.Name, standin.Place(plan.Zone))
	if v == VariantDaemon {
		return startDaemon(site, plan, network, logTo)
	}
	return startBaseline(site, plan, network, v == VariantTable)
}

const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every member is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, s := range f.slots {
		if err := s.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *slot) waitReady(ctx context.Context) error {
	m, _ := s.get()
	for !m.Ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until %s is ready: %w", s.plan.Name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	s.setState(StateReady)
	return nil
}

// Restart starts a new member in place of a stopped one and returns when it is ready.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	s := f.find(name)
	if s == nil {
		return fmt.Errorf("restart %q: unknown entry VM", name)
	}
	m, err := startMember(f.site, s.plan, f.variant, f.logTo)
	if err != nil {
		return fmt.Errorf("restart %s: %w", name, err)
	}
	s.replace(m)
	return s.waitReady(ctx)
}

// Stop stops a member gracefully.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	s := f.find(name)
	if s == nil {
		return fmt.Errorf("stop %q: unknown entry VM", name)
	}
	s.setState(StateStopping)
	m, _ := s.get()
	err := m.Stop(ctx)
	s.setState(StateStopped)
	return err
}

// Kill terminates a member without a graceful stop. It ignores unknown names.
func (f *Fleet) Kill(name string) {
	if s := f.find(name); s != nil {
		s.setState(StateKilled)
		m, _ := s.get()
		m.Kill()
	}
}

func (f *Fleet) find(name string) *slot {
	i := slices.IndexFunc(f.slots, func(s *slot) bool { return s.plan.Name == name })
	if i < 0 {
		return nil
	}
	return f.slots[i]
}

// Status returns the status of all members, in the order of the site's entry VMs.
func (f *Fleet) Status() []Status {
	out := make([]Status, 0, len(f.slots))
	for _, s := range f.slots {
		out = append(out, s.status())
	}
	return out
}

// Close terminates all members that are still running.
func (f *Fleet) Close() {
	for _, s := range f.slots {
		if m, state := s.get(); state != StateStopped && state != StateKilled {
			m.Kill()
		}
	}
}
