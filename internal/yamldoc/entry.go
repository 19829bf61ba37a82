package yamldoc

import "github.com/goccy/go-yaml/ast"

// Entry is one entry of a list of mappings. It is parsed by Read.
type Entry struct {
	r     *report
	place *place
	chunk chunk    // text of the entry if its list was split, see split
	node  ast.Node // node of the entry if its list was not split, else nil
}

// Entries calls visit for each entry of the list under a required key.
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

// chunks returns the entries of the list under a top-level key, or nil if the list was not split.
func (m *Map) chunks(key string, f *field) []chunk {
	if _, empty := f.value.(*ast.NullNode); !empty || m.place.parent != nil {
		return nil
	}
	return m.r.lists[key]
}

// Text returns the entry's text in the document, or "" if its list is not in block style. Entries with the
// same non-empty text have the same content, so a caller can reuse the result of an earlier Read.
func (e *Entry) Text() string {
	return e.chunk.text
}

// Line returns the line of the document in which the entry starts, counted from 1.
func (e *Entry) Line() int {
	if e.node == nil {
		return e.chunk.line
	}
	return e.r.above + lineOf(e.node)
}

// Fault reports an error at a line of the document. key is the path within the entry.
func (e *Entry) Fault(line int, key, format string, args ...any) {
	at := place{parent: e.place, key: key}
	e.r.addAt(line, at.path(), format, args...)
}

// Read parses the entry, calls visit with its mapping and reports the keys that visit did not read. It
// returns false if any error was reported.
func (e *Entry) Read(visit func(m *Map)) bool {
	before := len(e.r.findings) + e.r.dropped
	if e.node != nil {
		e.visit(e.node, visit)
	} else {
		e.readChunk(visit)
	}
	return len(e.r.findings)+e.r.dropped == before
}

// readChunk parses the text of an entry of a split list. Lines in it are relative to the entry's first line.
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

// visit calls visit with the mapping of node n, if it is one.
func (e *Entry) visit(n ast.Node, visit func(m *Map)) {
	m := e.r.mapping(n, e.place)
	if m == nil {
		return
	}
	visit(m)
	m.Done()
}
