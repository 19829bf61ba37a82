package yamldoc

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// place is a value's position in its document; the path is only built for a fault.
type place struct {
	parent *place
	key    string
	index  int // used where key is empty
}

func (p *place) path() string {
	if p == nil || (p.parent == nil && p.key == "") {
		return ""
	}
	above := p.parent.path()
	if p.key == "" {
		return above + "[" + strconv.Itoa(p.index) + "]"
	}
	if above == "" {
		return p.key
	}
	return above + "." + p.key
}

type field struct {
	key   string
	line  int // in the text that was parsed at once
	value ast.Node
	asked bool
}

// Map is a mapping of a document. Its methods read one key each and report a fault where the value
// is missing or has the wrong shape; they then return the zero value.
type Map struct {
	r      *report
	place  *place
	line   int
	fields []field
}

// mapping reads the keys of a node; one that is no mapping is reported and gives nil.
func (r *report) mapping(n ast.Node, at *place) *Map {
	m := &Map{r: r, place: at, line: lineOf(n)}
	switch n := n.(type) {
	case *ast.MappingNode:
		m.fields = make([]field, 0, len(n.Values))
		for _, v := range n.Values {
			m.addField(v)
		}
	case *ast.MappingValueNode:
		m.addField(n)
	default:
		r.add(m.line, at.path(), "must be a mapping of keys to values")
		return nil
	}
	return m
}

// addField keeps one key and reports one that stands twice.
func (m *Map) addField(v *ast.MappingValueNode) {
	t := v.Key.GetToken()
	if m.Has(t.Value) {
		at := place{parent: m.place, key: t.Value}
		m.r.add(t.Position.Line, at.path(), "stands twice in the same mapping; first in line %d", m.LineOf(t.Value))
		return
	}
	if len(m.fields) == 0 && t.Position.Line < m.line {
		m.line = t.Position.Line
	}
	m.fields = append(m.fields, field{key: t.Value, line: t.Position.Line, value: v.Value})
}

// LineOf returns the line of a key in the document, or that of the mapping where the key is absent.
func (m *Map) LineOf(key string) int {
	return m.r.above + m.lineOf(key)
}

func (m *Map) lineOf(key string) int {
	for i := range m.fields {
		if m.fields[i].key == key {
			return m.fields[i].line
		}
	}
	return m.line
}

// Has reports whether a key is present.
func (m *Map) Has(key string) bool {
	for i := range m.fields {
		if m.fields[i].key == key {
			return true
		}
	}
	return false
}

// Fault reports a fault of a key's value.
func (m *Map) Fault(key, format string, args ...any) {
	at := place{parent: m.place, key: key}
	m.r.add(m.lineOf(key), at.path(), format, args...)
}

// Done reports the keys that nobody asked for.
func (m *Map) Done() {
	for i := range m.fields {
		if !m.fields[i].asked {
			at := place{parent: m.place, key: m.fields[i].key}
			m.r.add(m.fields[i].line, at.path(), "unknown key")
		}
	}
}

// find returns a key's field and marks it as known.
func (m *Map) find(key string) *field {
	for i := range m.fields {
		if m.fields[i].key == key {
			m.fields[i].asked = true
			return &m.fields[i]
		}
	}
	return nil
}

// need is find for a key that must be present.
func (m *Map) need(key string) *field {
	f := m.find(key)
	if f == nil {
		at := place{parent: m.place, key: key}
		m.r.add(m.line, at.path(), "missing")
	}
	return f
}

// Map hands the mapping under an optional key to visit and checks for unknown keys after it.
func (m *Map) Map(key string, visit func(m *Map)) {
	f := m.find(key)
	if f == nil {
		return
	}
	inner := m.r.mapping(f.value, &place{parent: m.place, key: key})
	if inner != nil {
		visit(inner)
		inner.Done()
	}
}

// Each hands every mapping of the list under a key that must be present to visit.
func (m *Map) Each(key string, visit func(m *Map)) {
	m.Entries(key, func(e *Entry) { e.Read(visit) })
}

// items returns the nodes of a list and reports a value that is none.
func (m *Map) items(f *field) []ast.Node {
	if list, ok := f.value.(*ast.SequenceNode); ok {
		return list.Values
	}
	at := place{parent: m.place, key: f.key}
	m.r.add(f.line, at.path(), "must be a list; write [] for an empty one")
	return nil
}

// Ignore takes every key of the mapping as known.
func (m *Map) Ignore() {
	for i := range m.fields {
		m.fields[i].asked = true
	}
}
