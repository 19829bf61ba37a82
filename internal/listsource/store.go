package listsource

import (
	"fmt"
	"math"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Document is a validated list.
type Document struct {
	Kind    lists.Kind
	Version Version
	Body    []byte

	customers *lists.Customers
	plans     *lists.Plans
	machines  *lists.Machines
}

// unknownRevision is the expected revision of a document whose source does not state one.
const unknownRevision = math.MaxUint64

// parse validates doc as a list of the given kind and revision. Entries that are unchanged since the
// document before are reused instead of parsed again.
func parse(kind lists.Kind, revision uint64, doc lists.Document, before *Document) (*Document, error) {
	if before == nil {
		before = &Document{}
	}
	d := &Document{Kind: kind, Body: doc.Data}
	var findings lists.Findings
	var found uint64
	switch kind {
	case lists.KindCustomers:
		d.customers, findings = lists.NextCustomers(doc, before.customers)
		found = d.customers.Revision
	case lists.KindPlans:
		d.plans, findings = lists.ReadPlans(doc)
		found = d.plans.Revision
	case lists.KindMachines:
		d.machines, findings = lists.NextMachines(doc, before.machines)
		found = d.machines.Revision
	}
	d.Version = VersionOf(found, doc.Data)
	switch {
	case len(findings) > 0:
		return d, findings
	case revision != unknownRevision && found != revision:
		return d, fmt.Errorf("%s: delivered as revision %d but says revision %d", doc.Name, revision, found)
	}
	return d, nil
}

// store contains the known lists and the set of active lists.
type store struct {
	// newest is the newest valid document of each list.
	newest [3]*Document
	// active is the set of active lists that the snapshot was built from; all nil before the first.
	active [3]*Document
	// highest is the highest revision of each list that this daemon has held or a peer has reported.
	highest [3]uint64
	// rejected is the version of the newest document of each list that failed validation.
	rejected [3]Version
}

// outcome is the result of processing a document.
type outcome uint8

const (
	outcomeAccepted outcome = iota // accepted as the newest document
	outcomeKnown                   // already stored
	outcomeRejected                // rejected; the error kind gives the reason
)

// addDocument validates a document and stores it if it is newer than all previous ones. The error kind and the
// error give the reason of a rejection. The error is nil for a document that was rejected before.
func (s *store) addDocument(kind lists.Kind, revision uint64, doc lists.Document) (outcome, errkind.Kind, error) {
	if revision < s.highest[kind] {
		return outcomeRejected, errkind.DocumentStale, fmt.Errorf("%s: revision %d is older than revision %d, which was received or reported before", doc.Name, revision, s.highest[kind])
	}
	version := VersionOf(revision, doc.Data)
	if newest := s.newest[kind]; newest != nil && sameDocument(newest.Version, version) {
		return outcomeKnown, errkind.None, nil
	}
	if s.rejected[kind].Size > 0 && sameDocument(s.rejected[kind], version) {
		return outcomeRejected, errkind.DocumentInvalid, nil
	}
	d, err := parse(kind, revision, doc, s.newest[kind])
	if err != nil {
		s.rejected[kind] = version
		if revision == unknownRevision {
			s.rejected[kind] = d.Version
		}
		return outcomeRejected, errkind.DocumentInvalid, err
	}
	if newest := s.newest[kind]; newest != nil && d.Version.Compare(newest.Version) < 0 {
		return outcomeRejected, errkind.DocumentStale, fmt.Errorf("%s: revision %d is not newer than the stored revision %d", doc.Name, d.Version.Revision, newest.Version.Revision)
	}
	if d.Version.Revision < s.highest[kind] {
		return outcomeRejected, errkind.DocumentStale, fmt.Errorf("%s: revision %d is older than revision %d, which was received or reported before", doc.Name, d.Version.Revision, s.highest[kind])
	}
	s.newest[kind] = d
	s.recordRevision(kind, d.Version.Revision)
	return outcomeAccepted, errkind.None, nil
}

// sameDocument reports whether two versions are equal. If the revision of one is not known, only size and
// checksum are compared.
func sameDocument(a, b Version) bool {
	if a.Revision == unknownRevision || b.Revision == unknownRevision {
		return a.Size == b.Size && a.Sum == b.Sum
	}
	return a == b
}

// recordRevision records a revision that this daemon or a peer holds.
func (s *store) recordRevision(kind lists.Kind, revision uint64) {
	s.highest[kind] = max(s.highest[kind], revision)
}

// revision returns the newest valid revision of a list, or 0 for none.
func (s *store) revision(kind lists.Kind) uint64 {
	if s.newest[kind] == nil {
		return 0
	}
	return s.newest[kind].Version.Revision
}

// digest returns the versions of the newest valid documents.
func (s *store) digest() Digest {
	var d Digest
	for i, doc := range s.newest {
		if doc != nil {
			d[i] = doc.Version
		}
	}
	return d
}

// combinations are the sets of lists that can be replaced by their newest documents while the others stay
// unchanged, the largest sets first. Among sets of the same size, those with plans come first because plans
// define what customers must not use.
var combinations = [][]lists.Kind{
	{lists.KindCustomers, lists.KindPlans, lists.KindMachines},
	{lists.KindPlans, lists.KindMachines},
	{lists.KindCustomers, lists.KindPlans},
	{lists.KindCustomers, lists.KindMachines},
	{lists.KindPlans},
	{lists.KindMachines},
	{lists.KindCustomers},
}

// apply activates the largest consistent set of newer lists and returns its snapshot, or nil if nothing
// changes. The findings give the reason why newer lists cannot be activated yet.
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
		s.active = set
		return snapshot, waiting
	}
	return nil, waiting
}

// candidate returns the active set with the lists of the given kinds replaced by their newest documents. It
// returns false if one of these has no newer document that may be used, or if any list is missing.
func (s *store) candidate(kinds []lists.Kind) ([3]*Document, bool) {
	set := s.active
	for _, k := range kinds {
		newest := s.newest[k]
		if newest == nil || newest == s.active[k] || newest.Version.Revision < s.highest[k] {
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

// hasNewer reports whether any list has a newer document than the active one.
func (s *store) hasNewer() bool {
	return s.newest != s.active
}
