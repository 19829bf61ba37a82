package listsource

import (
	"fmt"
	"math"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Document is a list that passed its checks.
type Document struct {
	Kind    lists.Kind
	Version Version
	Body    []byte

	customers *lists.Customers
	plans     *lists.Plans
	machines  *lists.Machines
}

// anyRevision stands for the revision of a text that was delivered without one.
const anyRevision = math.MaxUint64

// parse checks a text as a list of one kind that must carry a revision. What stood in the document
// before is not parsed again.
func parse(kind lists.Kind, revision uint64, text lists.Document, before *Document) (*Document, error) {
	if before == nil {
		before = &Document{}
	}
	d := &Document{Kind: kind, Body: text.Data}
	var findings lists.Findings
	var found uint64
	switch kind {
	case lists.KindCustomers:
		d.customers, findings = lists.NextCustomers(text, before.customers)
		found = d.customers.Revision
	case lists.KindPlans:
		d.plans, findings = lists.ReadPlans(text)
		found = d.plans.Revision
	case lists.KindMachines:
		d.machines, findings = lists.NextMachines(text, before.machines)
		found = d.machines.Revision
	}
	d.Version = VersionOf(found, text.Data)
	switch {
	case len(findings) > 0:
		return d, findings
	case revision != anyRevision && found != revision:
		return d, fmt.Errorf("%s: delivered as revision %d but says revision %d", text.Name, revision, found)
	}
	return d, nil
}

// store holds the lists that are known and the set of them that is in force.
type store struct {
	// newest is the newest sound text of each list.
	newest [3]*Document
	// inForce is the set that the snapshot was built from; all nil before the first.
	inForce [3]*Document
	// shown is the highest revision of each list that this daemon held or a peer has shown.
	shown [3]uint64
	// refused is the newest text of each list that failed its checks.
	refused [3]Version
}

// outcome says what became of a text.
type outcome uint8

const (
	outcomeTaken   outcome = iota // it is the newest now
	outcomeKnown                  // it was held already
	outcomeRefused                // see the error kind
)

// take checks a text and keeps it when it is newer than all that were seen. The error says why a text
// was refused.
func (s *store) take(kind lists.Kind, revision uint64, text lists.Document) (outcome, errkind.Kind, error) {
	if revision < s.shown[kind] {
		return outcomeRefused, errkind.DocumentStale, fmt.Errorf("%s: revision %d is below revision %d, which was seen", text.Name, revision, s.shown[kind])
	}
	version := VersionOf(revision, text.Data)
	if newest := s.newest[kind]; newest != nil && sameText(newest.Version, version) {
		return outcomeKnown, errkind.None, nil
	}
	if s.refused[kind].Size > 0 && sameText(s.refused[kind], version) {
		return outcomeRefused, errkind.DocumentInvalid, nil
	}
	d, err := parse(kind, revision, text, s.newest[kind])
	if err != nil {
		s.refused[kind] = version
		if revision == anyRevision {
			s.refused[kind] = d.Version
		}
		return outcomeRefused, errkind.DocumentInvalid, err
	}
	if newest := s.newest[kind]; newest != nil && d.Version.Compare(newest.Version) < 0 {
		return outcomeRefused, errkind.DocumentStale, fmt.Errorf("%s: revision %d is not newer than revision %d, which is held", text.Name, d.Version.Revision, newest.Version.Revision)
	}
	if d.Version.Revision < s.shown[kind] {
		return outcomeRefused, errkind.DocumentStale, fmt.Errorf("%s: revision %d is below revision %d, which was seen", text.Name, d.Version.Revision, s.shown[kind])
	}
	s.newest[kind] = d
	s.show(kind, d.Version.Revision)
	return outcomeTaken, errkind.None, nil
}

// sameText compares two versions; one without a known revision is compared by its text alone.
func sameText(a, b Version) bool {
	if a.Revision == anyRevision || b.Revision == anyRevision {
		return a.Size == b.Size && a.Sum == b.Sum
	}
	return a == b
}

// show notes a revision that a peer holds.
func (s *store) show(kind lists.Kind, revision uint64) {
	s.shown[kind] = max(s.shown[kind], revision)
}

// revision returns the newest sound revision of a list, 0 for none.
func (s *store) revision(kind lists.Kind) uint64 {
	if s.newest[kind] == nil {
		return 0
	}
	return s.newest[kind].Version.Revision
}

// digest returns the versions of the newest sound texts.
func (s *store) digest() Digest {
	var d Digest
	for i, doc := range s.newest {
		if doc != nil {
			d[i] = doc.Version
		}
	}
	return d
}

// combinations are the sets of lists that may be taken from the newest ones while the others stay, the
// fullest first. Among those of one size, plans go first, since they say what is forbidden.
var combinations = [][]lists.Kind{
	{lists.KindCustomers, lists.KindPlans, lists.KindMachines},
	{lists.KindPlans, lists.KindMachines},
	{lists.KindCustomers, lists.KindPlans},
	{lists.KindCustomers, lists.KindMachines},
	{lists.KindPlans},
	{lists.KindMachines},
	{lists.KindCustomers},
}

// apply puts the fullest set of newer lists in force whose members fit each other, and returns its
// snapshot, or nil when nothing changes. The findings say why newer lists have to wait.
func (s *store) apply() (*model.Snapshot, lists.Findings) {
	var waiting lists.Findings
	for _, kinds := range combinations {
		set, ok := s.candidate(kinds)
		if !ok {
			continue
		}
		snapshot, findings := lists.Build(set[lists.KindCustomers].customers, set[lists.KindPlans].plans, set[lists.KindMachines].machines)
		if len(findings) > 0 {
			if waiting == nil {
				waiting = findings
			}
			continue
		}
		s.inForce = set
		return snapshot, waiting
	}
	return nil, waiting
}

// candidate returns the set in force with some lists replaced by newer ones. It returns false when one
// of them has nothing newer that may be used, or when a list is missing.
func (s *store) candidate(kinds []lists.Kind) ([3]*Document, bool) {
	set := s.inForce
	for _, k := range kinds {
		newest := s.newest[k]
		if newest == nil || newest == s.inForce[k] || newest.Version.Revision < s.shown[k] {
			return set, false
		}
		set[k] = newest
	}
	for _, d := range set {
		if d == nil {
			return set, false
		}
	}
	return set, true
}

// pending reports whether a list has a newer text than the one in force.
func (s *store) pending() bool {
	return s.newest != s.inForce
}
