package fleetstatus

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/fireflypin/fireflypin/internal/health"
	"github.com/fireflypin/fireflypin/model"
)

// Summary is a fleet as its daemons tell of it.
type Summary struct {
	Daemons []Answer `json:"daemons"`
	Targets []Target `json:"targets"`
	// Differing are machines on which the daemons do not agree, or which they agree are not alive.
	Differing []Belief `json:"differing,omitempty"`
	// Newest are the highest revisions in force at any daemon.
	Newest model.Revisions `json:"newest"`
}

// Target is a target with what all daemons together have open on it.
type Target struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Zone      string `json:"zone"`
	Leaving   bool   `json:"leaving"`
	OpenFlows int    `json:"open_flows"`
	// Aside is the number of daemons whose new flows avoid the target.
	Aside int `json:"aside"`
	// Reasons are the different things that daemons have against it, sorted.
	Reasons []string `json:"reasons,omitempty"`
	// Reported is the highest number of connections that a daemon read in its load report; -1 for none.
	Reported int `json:"reported_connections"`
}

// Belief is the number of daemons that hold a machine to be in a state.
type Belief struct {
	Machine string `json:"machine"`
	State   string `json:"state"`
	Daemons int    `json:"daemons"`
}

// Summarise sums up answers. Targets and beliefs are sorted by name.
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

// addHealth adds what one daemon knows of the targets' health.
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

// stateAlive is what a daemon says of a machine that it holds to be here.
const stateAlive = "alive"

// differing returns the beliefs about machines that not every daemon holds to be alive.
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

// Remaining is what a planned stop still waits for.
type Remaining struct {
	// Flows are the open flows that daemons own on the leaving targets, or that the leaving daemon owns.
	Flows int
	// Behind counts daemons that have not put the announcing list in force yet.
	Behind int
	// Silent counts daemons that did not answer.
	Silent int
}

// Done reports whether nothing remains.
func (r Remaining) Done() bool {
	return r.Flows == 0 && r.Behind == 0 && r.Silent == 0
}

// TargetsRemaining returns what the stop of some targets still waits for. revision is the one of the
// list of machines that announced it.
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

// DaemonRemaining returns what the stop of one daemon still waits for. The daemon itself need not
// answer any more.
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

// count notes a daemon that is silent or behind, and reports whether it has a report.
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
