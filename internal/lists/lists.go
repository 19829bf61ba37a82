package lists

import (
	"bytes"
	"fmt"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

// Document is the text of a published list, with the name under which errors are reported.
type Document = yamldoc.Document

// Finding is one error in a document.
type Finding = yamldoc.Finding

// Findings holds all errors found in one or more documents. It implements error.
type Findings = yamldoc.Findings

// MaxBytes is the maximum size of one document.
const MaxBytes = yamldoc.MaxBytes

// maxRevision is the largest revision that fits a signed 64-bit field of a message.
const maxRevision = 1<<63 - 1

// Kind names one of the published lists.
type Kind uint8

// The published lists.
const (
	KindCustomers Kind = iota
	KindPlans
	KindMachines
	kindCount
)

var kindNames = [kindCount]string{"customers", "plans", "machines"}

// String returns the kind's name as used in documents and by the platform.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Kinds returns every kind in a fixed order.
func Kinds() []Kind {
	return []Kind{KindCustomers, KindPlans, KindMachines}
}

// KindOf returns the kind with the given name.
func KindOf(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if kindNames[k] == name {
			return k, true
		}
	}
	return 0, false
}

// Documents holds one document of each published list.
type Documents struct {
	Customers Document
	Plans     Document
	Machines  Document
}

// Parse reads three documents and builds a Snapshot. The error is of type Findings and holds every
// error found. References between documents are checked only if each document is valid by itself.
func Parse(d Documents) (*model.Snapshot, error) {
	customers, findings := ReadCustomers(d.Customers)
	plans, more := ReadPlans(d.Plans)
	findings = append(findings, more...)
	machines, more := ReadMachines(d.Machines)
	findings = append(findings, more...)
	if len(findings) > 0 {
		return nil, findings
	}
	snapshot, findings := Build(customers, plans, machines)
	return snapshot, findings.Err()
}

// Header holds the keys that every document has.
type Header struct {
	Kind     Kind
	Revision uint64
}

// ReadHeader returns a document's kind and revision without checking the rest of it.
func ReadHeader(d Document) (Header, Findings) {
	var h Header
	findings := yamldoc.Read(d, func(m *yamldoc.Map) {
		h = readHeader(m)
		m.IgnoreUnknownKeys()
	})
	return h, findings
}

func readHeader(m *yamldoc.Map) Header {
	h := Header{Revision: m.RequiredUint("revision", 1, maxRevision)}
	name := m.RequiredText("kind")
	if name == "" {
		return h
	}
	kind, ok := KindOf(name)
	if !ok {
		m.AddFinding("kind", "%q is not one of customers, plans, machines", name)
	}
	h.Kind = kind
	return h
}

// read reads a document that must be of kind want, and returns its revision. A document must end with a
// newline, so that most truncated documents are detected.
func read(d Document, want Kind, visit func(m *yamldoc.Map)) (uint64, Findings) {
	var h Header
	findings := yamldoc.Read(d, func(m *yamldoc.Map) {
		h = readHeader(m)
		name := m.Text("kind", "")
		if _, known := KindOf(name); known && h.Kind != want {
			m.AddFinding("kind", "is %q; a document of kind %q is expected here", name, want)
			m.IgnoreUnknownKeys()
			return
		}
		visit(m)
	})
	if !bytes.HasSuffix(d.Data, []byte("\n")) {
		findings = append(findings, Finding{
			File: d.Name, Line: 1 + bytes.Count(d.Data, []byte("\n")),
			Message: "the document does not end with a newline; it may be truncated",
		})
	}
	return h.Revision, findings
}

// HasKind reports whether a document is intended as a published list: it has a key named kind, or it
// cannot be parsed at all.
func HasKind(d Document) bool {
	has, visited := false, false
	yamldoc.Read(d, func(m *yamldoc.Map) {
		has, visited = m.Has("kind"), true
		m.IgnoreUnknownKeys()
	})
	return has || !visited
}
