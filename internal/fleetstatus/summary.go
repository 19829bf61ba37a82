package fleetstatus

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/model"
)

// Summary is the state of a fleet according to its daemons.
type Summary struct {
	Daemons []Response `json:"daemons"`
	Targets []Target   `json:"targets"`
	// Differing holds the reported states of each machine that not every daemon reports as alive.
	Differing []MemberState `json:"differing,omitempty"`
	// Drains are the zones whose drain is in force at any daemon, sorted by name.
	Drains []ZoneDrain `json:"drains,omitempty"`
	// Newest holds, for each list, the highest revision that any daemon uses.
	Newest model.Revisions `json:"newest"`
}

// Target is the state of a target over all daemons.
type Target struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Draining bool   `json:"leaving"`
	// ZoneDraining is true if operators drain the target's zone according to any daemon.
	ZoneDraining bool `json:"zone_draining"`
	OpenFlows    int  `json:"open_flows"`
	// AvoidedBy is the number of daemons that send no new flows to the target.
	AvoidedBy int `json:"aside"`
	// Reasons are the distinct reasons that daemons give for the target's health, sorted.
	Reasons []string `json:"reasons,omitempty"`
	// Reported is the highest number of connections in the target's load reports that daemons received; -1 for
	// none.
	Reported int `json:"reported_connections"`
}

// MemberState is the number of daemons that report a machine to be in a state.
type MemberState struct {
	Machine string `json:"machine"`
	State   string `json:"state"`
	Daemons int    `json:"daemons"`
}

// ZoneDrain is the number of daemons at which the drain of a zone is in force, and that of the daemons that responded.
type ZoneDrain struct {
	Zone    string `json:"zone"`
	Daemons int    `json:"daemons"`
	Of      int    `json:"of"`
}

// Summarize returns the summary of the daemons' responses. Targets are sorted by service and name, machines by
// name and state.
func Summarize(responses []Response) Summary {
	s := Summary{Daemons: responses}
	targets := make(map[string]*Target)
	states := make(map[MemberState]int)
	for _, a := range responses {
		if a.Report == nil {
			continue
		}
		s.Newest = maxRevisions(s.Newest, a.Report.Revisions)
		addTargets(targets, a)
		addHealth(targets, a)
		for _, m := range a.Report.Members {
			states[MemberState{Machine: m.Name, State: m.State}]++
		}
	}
	for _, t := range targets {
		s.Targets = append(s.Targets, *t)
	}
	slices.SortFunc(s.Targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	s.Differing = differingStates(states)
	s.Drains = zoneDrains(responses)
	return s
}

func zoneDrains(responses []Response) []ZoneDrain {
	responded := lo.Filter(responses, func(r Response, _ int) bool { return r.Report != nil })
	counts := lo.CountValues(lo.FlatMap(responded, func(r Response, _ int) []string { return r.Report.DrainingZones }))
	drains := lo.MapToSlice(counts, func(zone string, n int) ZoneDrain {
		return ZoneDrain{Zone: zone, Daemons: n, Of: len(responded)}
	})
	slices.SortFunc(drains, func(a, b ZoneDrain) int { return cmp.Compare(a.Zone, b.Zone) })
	return drains
}

// maxRevisions returns the higher revision of each list.
func maxRevisions(a, b model.Revisions) model.Revisions {
	return model.Revisions{
		Customers: max(a.Customers, b.Customers),
		Plans:     max(a.Plans, b.Plans),
		Machines:  max(a.Machines, b.Machines),
	}
}

func addTargets(targets map[string]*Target, resp Response) {
	for _, t := range resp.Report.Targets {
		sum := targets[t.Name]
		if sum == nil {
			sum = &Target{Name: t.Name, Service: t.Service, Zone: t.Zone, Reported: -1}
			targets[t.Name] = sum
		}
		sum.Draining = sum.Draining || t.Draining
		sum.ZoneDraining = sum.ZoneDraining || t.ZoneDraining
		sum.OpenFlows += t.OpenFlows
	}
}

// addHealth adds the health of the targets as one daemon reports it.
func addHealth(targets map[string]*Target, resp Response) {
	for _, h := range resp.Report.TargetHealth {
		sum := targets[h.Name]
		if sum == nil {
			continue
		}
		if h.Down {
			sum.AvoidedBy++
		}
		if h.Reason != health.ReasonNone.String() && !slices.Contains(sum.Reasons, h.Reason) {
			sum.Reasons = append(sum.Reasons, h.Reason)
			slices.Sort(sum.Reasons)
		}
		sum.Reported = max(sum.Reported, h.Reported)
	}
}

// stateAlive is the state of a member that a daemon considers alive.
const stateAlive = "alive"

// differingStates returns the reported states of each machine that not every daemon reports as alive.
func differingStates(states map[MemberState]int) []MemberState {
	stateCount := make(map[string]int)
	notAlive := make(map[string]bool)
	for b := range states {
		stateCount[b.Machine]++
		notAlive[b.Machine] = notAlive[b.Machine] || b.State != stateAlive
	}
	var result []MemberState
	for b, n := range states {
		if stateCount[b.Machine] > 1 || notAlive[b.Machine] {
			result = append(result, MemberState{Machine: b.Machine, State: b.State, Daemons: n})
		}
	}
	slices.SortFunc(result, func(a, b MemberState) int {
		return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.State, b.State))
	})
	return result
}

// Remaining is what a planned stop is still waiting for.
type Remaining struct {
	// Flows is the number of open flows on the draining targets, or of flows that the draining daemon owns.
	Flows int
	// Outdated is the number of daemons that do not yet use the list that announces the stop.
	Outdated int
	// Unresponsive is the number of daemons that did not respond.
	Unresponsive int
}

// Done reports whether the stop has nothing left to wait for.
func (r Remaining) Done() bool {
	return r.Flows == 0 && r.Outdated == 0 && r.Unresponsive == 0
}

// TargetsRemaining returns what the stop of the named targets is still waiting for. revision is that of the
// list of machines that announces the stop.
func TargetsRemaining(responses []Response, targets []string, revision uint64) Remaining {
	var r Remaining
	for _, resp := range responses {
		if !r.addDaemon(resp, revision) {
			continue
		}
		for _, t := range resp.Report.Targets {
			if slices.Contains(targets, t.Name) {
				r.Flows += t.OpenFlows
			}
		}
	}
	return r
}

// DaemonRemaining returns what the stop of the daemon with ops address self is still waiting for. The daemon
// itself need not respond: it may have stopped already.
func DaemonRemaining(responses []Response, self netip.AddrPort, revision uint64) Remaining {
	var r Remaining
	for _, resp := range responses {
		if resp.Ops == self && resp.Report == nil {
			continue
		}
		if r.addDaemon(resp, revision) && resp.Ops == self {
			r.Flows += resp.Report.OwnedFlows
		}
	}
	return r
}

// addDaemon counts a daemon that did not respond or uses an older list. It returns whether there is a report.
func (r *Remaining) addDaemon(resp Response, revision uint64) bool {
	if resp.Report == nil {
		r.Unresponsive++
		return false
	}
	if resp.Report.Revisions.Machines < revision {
		r.Outdated++
	}
	return true
}
