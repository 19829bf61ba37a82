package yamldoc

import (
	"strconv"

	"github.com/goccy/go-yaml/ast"
)

// location is a value's position in its document, as a linked list from the value to the top level. The path is
// formatted only when an error is reported.
type location struct {
	parent *location
	key    string
	index  int // used if key is empty
}

// path returns the path in the form "plans[2].services[0]", or "" for the document itself.
func (l *location) path() string {
	if l == nil || (l.parent == nil && l.key == "") {
		return ""
	}
	parentPath := l.parent.path()
	if l.key == "" {
		return parentPath + "[" + strconv.Itoa(l.index) + "]"
	}
	if parentPath == "" {
		return l.key
	}
	return parentPath + "." + l.key
}

// field is one key of a mapping.
type field struct {
	key     string
	line    int // in the parsed text, which may be one entry of a split list
	value   ast.Node
	wasRead bool // true once the key was read
}

// Map is a mapping in a document. Its methods read one key each. If the value is missing or invalid, they
// report an error and return the default or the zero value.
type Map struct {
	r        *reader
	location *location
	line     int
	fields   []field
}

// newMap returns the mapping of a node. If the node is not a mapping, it reports an error and returns nil.
func (r *reader) newMap(n ast.Node, at *location) *Map {
	m := &Map{r: r, location: at, line: lineOf(n)}
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

// addField adds one key to the mapping, or reports it if it is a duplicate.
func (m *Map) addField(v *ast.MappingValueNode) {
	t := v.Key.GetToken()
	if m.Has(t.Value) {
		at := location{parent: m.location, key: t.Value}
		m.r.add(t.Position.Line, at.path(), "duplicate key; first in line %d", m.LineOf(t.Value))
		return
	}
	if len(m.fields) == 0 && t.Position.Line < m.line {
		m.line = t.Position.Line
	}
	m.fields = append(m.fields, field{key: t.Value, line: t.Position.Line, value: v.Value})
}

// LineOf returns the line of a key in the document, or that of the mapping if the key is absent.
func (m *Map) LineOf(key string) int {
	return m.r.lineOffset + m.lineOf(key)
}

// lineOf is LineOf with the line in the parsed text.
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

// AddFinding reports an error in a key's value.
func (m *Map) AddFinding(key, format string, args ...any) {
	at := location{parent: m.location, key: key}
	m.r.add(m.lineOf(key), at.path(), format, args...)
}

// ReportUnknownKeys reports each key that was not read as unknown.
func (m *Map) ReportUnknownKeys() {
	for i := range m.fields {
		if !m.fields[i].wasRead {
			at := location{parent: m.location, key: m.fields[i].key}
			m.r.add(m.fields[i].line, at.path(), "unknown key")
		}
	}
}

// lookup returns a key's field and marks it as read. It returns nil if the key is absent.
func (m *Map) lookup(key string) *field {
	for i := range m.fields {
		if m.fields[i].key == key {
			m.fields[i].wasRead = true
			return &m.fields[i]
		}
	}
	return nil
}

// require is lookup for a required key: it reports an error if the key is absent.
func (m *Map) require(key string) *field {
	f := m.lookup(key)
	if f == nil {
		at := location{parent: m.location, key: key}
		m.r.add(m.line, at.path(), "missing")
	}
	return f
}

// Map calls visit with the mapping under an optional key and reports the keys in it that visit did not read.
func (m *Map) Map(key string, visit func(m *Map)) {
	f := m.lookup(key)
	if f == nil {
		return
	}
	inner := m.r.newMap(f.value, &location{parent: m.location, key: key})
	if inner != nil {
		visit(inner)
		inner.ReportUnknownKeys()
	}
}

// Each calls visit with each mapping of the list under a required key and reports the keys in it that visit
// did not read.
func (m *Map) Each(key string, visit func(m *Map)) {
	m.Entries(key, func(e *Entry) { e.Read(visit) })
}

// items returns the nodes of a field's list. If the value is not a list, it reports an error and returns nil.
func (m *Map) items(f *field) []ast.Node {
	if list, ok := f.value.(*ast.SequenceNode); ok {
		return list.Values
	}
	at := location{parent: m.location, key: f.key}
	m.r.add(f.line, at.path(), "must be a list; write [] for an empty one")
	return nil
}

// IgnoreUnknownKeys marks all keys as read, so that ReportUnknownKeys reports none of them.
func (m *Map) IgnoreUnknownKeys() {
	for i := range m.fields {
		m.fields[i].wasRead = true
	}
}
