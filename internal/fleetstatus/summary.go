package fleetstatus

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/model"
)

// Summary is the state of a fleet according to its daemons.
type Summary struct {
	Daemons []Answer `json:"daemons"`
	Targets []Target `json:"targets"`
	// Differing holds the reported states of each machine that not every daemon reports as alive.
	Differing []Belief `json:"differing,omitempty"`
	// Newest holds, for each list, the highest revision that any daemon uses.
	Newest model.Revisions `json:"newest"`
}

// Target is the state of a target over all daemons.
type Target struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	OpenFlows int    `json:"open_flows"`
	// Aside is the number of daemons that send no new flows to the target.
	Aside int `json:"aside"`
	// Reasons are the distinct reasons that daemons give for the target's health, sorted.
	Reasons []string `json:"reasons,omitempty"`
	// Reported is the highest number of connections in the target's load reports that daemons received; -1 for
	// none.
	Reported int `json:"reported_connections"`
}

// Belief is the number of daemons that report a machine to be in a state.
type Belief struct {
	Machine string `json:"machine"`
	State   string `json:"state"`
	Daemons int    `json:"daemons"`
}

// Summarise returns the summary of the daemons' answers. Targets are sorted by service and name, machines by
// name and state.
func Summarise(answers []Answer) Summary {
	s := Summary{Daemons: answers}
	targets := make(map[string]*Target)
	beliefs := make(map[Belief]int)
	for _, a := range answers {
		if a.Report == nil {
			continue
		}
		s.Newest = later(s.Newest, a.Report.Revisions)
		addTargets(targets, a)
		addHealth(targets, a)
		for _, m := range a.Report.Members {
			beliefs[Belief{Machine: m.Name, State: m.State}]++
		}
	}
	for _, t := range targets {
		s.Targets = append(s.Targets, *t)
	}
	slices.SortFunc(s.Targets, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	s.Differing = differing(beliefs)
	return s
}

// later returns the higher revision of each list.
func later(a, b model.Revisions) model.Revisions {
	return model.Revisions{
		Customers: max(a.Customers, b.Customers),
		Plans:     max(a.Plans, b.Plans),
		Machines:  max(a.Machines, b.Machines),
	}
}

func addTargets(targets map[string]*Target, a Answer) {
	for _, t := range a.Report.Targets {
		sum := targets[t.Name]
		if sum == nil {
			sum = &Target{Name: t.Name, Service: t.Service, Zone: t.Zone, Reported: -1}
			targets[t.Name] = sum
		}
		sum.Leaving = sum.Leaving || t.Leaving
		sum.OpenFlows += t.OpenFlows
	}
}

// addHealth adds the health of the targets as one daemon reports it.
func addHealth(targets map[string]*Target, a Answer) {
	for _, h := range a.Report.TargetHealth {
		sum := targets[h.Name]
		if sum == nil {
			continue
		}
		if h.Down {
			sum.Aside++
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

// differing returns the reported states of each machine that not every daemon reports as alive.
func differing(beliefs map[Belief]int) []Belief {
	states := make(map[string]int)
	other := make(map[string]bool)
	for b := range beliefs {
		states[b.Machine]++
		other[b.Machine] = other[b.Machine] || b.State != stateAlive
	}
	var all []Belief
	for b, n := range beliefs {
		if states[b.Machine] > 1 || other[b.Machine] {
			all = append(all, Belief{Machine: b.Machine, State: b.State, Daemons: n})
		}
	}
	slices.SortFunc(all, func(a, b Belief) int {
		return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.State, b.State))
	})
	return all
}

// Remaining is what a planned stop is still waiting for.
type Remaining struct {
	// Flows is the number of open flows on the draining targets, or of flows that the draining daemon owns.
	Flows int
	// Behind is the number of daemons that do not use the list that announces the stop yet.
	Behind int
	// Silent is the number of daemons that did not respond.
	Silent int
}

// Done reports whether the stop has nothing left to wait for.
func (r Remaining) Done() bool {
	return r.Flows == 0 && r.Behind == 0 && r.Silent == 0
}

// TargetsRemaining returns what the stop of the named targets is still waiting for. revision is that of the
// list of machines that announces the stop.
func TargetsRemaining(answers []Answer, targets []string, revision uint64) Remaining {
	var r Remaining
	for _, a := range answers {
		if !r.count(a, revision) {
			continue
		}
		for _, t := range a.Report.Targets {
			if slices.Contains(targets, t.Name) {
				r.Flows += t.OpenFlows
			}
		}
	}
	return r
}

// DaemonRemaining returns what the stop of the daemon with ops address self is still waiting for. The daemon
// itself need not respond: it may have stopped already.
func DaemonRemaining(answers []Answer, self netip.AddrPort, revision uint64) Remaining {
	var r Remaining
	for _, a := range answers {
		if a.Ops == self && a.Report == nil {
			continue
		}
		if r.count(a, revision) && a.Ops == self {
			r.Flows += a.Report.OwnedFlows
		}
	}
	return r
}

// count counts a daemon that did not respond or uses an older list. It returns whether there is a report.
func (r *Remaining) count(a Answer, revision uint64) bool {
	if a.Report == nil {
		r.Silent++
		return false
	}
	if a.Report.Revisions.Machines < revision {
		r.Behind++
	}
	return true
}
