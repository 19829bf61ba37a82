package yamldoc

import "github.com/goccy/go-yaml/ast"

// Entry is one entry of a list of mappings.
type Entry struct {
	r     *report
	place *place
	chunk chunk    // of a split list
	node  ast.Node // of a list that is not split
}

// Entries hands every entry of the list under a key that must be present to visit.
func (m *Map) Entries(key string, visit func(e *Entry)) {
	f := m.need(key)
	if f == nil {
		return
	}
	list := &place{parent: m.place, key: key}
	if chunks := m.chunks(key, f); chunks != nil {
		for i, c := range chunks {
			visit(&Entry{r: m.r, place: &place{parent: list, index: i}, chunk: c})
		}
		return
	}
	for i, n := range m.items(f) {
		visit(&Entry{r: m.r, place: &place{parent: list, index: i}, node: n})
	}
}

// chunks returns the split entries of the list under a top key, or nil.
func (m *Map) chunks(key string, f *field) []chunk {
	if _, empty := f.value.(*ast.NullNode); !empty || m.place.parent != nil {
		return nil
	}
	return m.r.lists[key]
}

// Text returns the entry's text, or "" when its list is not in block style. Two entries with the same
// text that is not empty read the same.
func (e *Entry) Text() string {
	return e.chunk.text
}

// Line returns the line of the document at which the entry starts.
func (e *Entry) Line() int {
	if e.node == nil {
		return e.chunk.line
	}
	return e.r.above + lineOf(e.node)
}

// Fault reports a fault at a line of the document; key is the path within the entry.
func (e *Entry) Fault(line int, key, format string, args ...any) {
	at := place{parent: e.place, key: key}
	e.r.addAt(line, at.path(), format, args...)
}

// Read parses the entry, hands its mapping to visit and checks for unknown keys after it. It returns
// false when it reported a fault.
func (e *Entry) Read(visit func(m *Map)) bool {
	before := len(e.r.findings) + e.r.dropped
	if e.node != nil {
		e.visit(e.node, visit)
	} else {
		e.readChunk(visit)
	}
	return len(e.r.findings)+e.r.dropped == before
}

// readChunk parses the entry's own text, in which line 1 is the entry's first.
func (e *Entry) readChunk(visit func(m *Map)) {
	outer := e.r.above
	e.r.above = e.chunk.line - 1
	defer func() { e.r.above = outer }()
	switch list := e.r.parse(e.chunk.text).(type) {
	case nil:
	case *ast.SequenceNode:
		if len(list.Values) == 1 {
			e.visit(list.Values[0], visit)
			return
		}
		e.r.add(1, e.place.path(), "must be one entry of a list")
	default:
		e.r.add(1, e.place.path(), "must be one entry of a list")
	}
}

func (e *Entry) visit(n ast.Node, visit func(m *Map)) {
	m := e.r.mapping(n, e.place)
	if m == nil {
		return
	}
	visit(m)
	m.Done()
}
