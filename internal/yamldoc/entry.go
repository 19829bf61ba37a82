package yamldoc

import "github.com/goccy/go-yaml/ast"

// Entry is one entry of a list of mappings. It is parsed by Read.
type Entry struct {
	r        *reader
	location *location
	rawEntry rawEntry // text of the entry if its list was split, see split
	node     ast.Node // node of the entry if its list was not split, else nil
}

// Entries calls visit for each entry of the list under a required key.
func (m *Map) Entries(key string, visit func(e *Entry)) {
	f := m.require(key)
	if f == nil {
		return
	}
	list := &location{parent: m.location, key: key}
	if rawEntries := m.rawEntries(key, f); rawEntries != nil {
		for i, raw := range rawEntries {
			visit(&Entry{r: m.r, location: &location{parent: list, index: i}, rawEntry: raw})
		}
		return
	}
	for i, n := range m.items(f) {
		visit(&Entry{r: m.r, location: &location{parent: list, index: i}, node: n})
	}
}

// rawEntries returns the entries of the list under a top-level key, or nil if the list was not split.
func (m *Map) rawEntries(key string, f *field) []rawEntry {
	if _, empty := f.value.(*ast.NullNode); !empty || m.location.parent != nil {
		return nil
	}
	return m.r.splitLists[key]
}

// Text returns the entry's text in the document, or "" if its list is not in block style. Entries with the
// same non-empty text have the same content, so a caller can reuse the result of an earlier Read.
func (e *Entry) Text() string {
	return e.rawEntry.text
}

// Line returns the line of the document in which the entry starts, counted from 1.
func (e *Entry) Line() int {
	if e.node == nil {
		return e.rawEntry.line
	}
	return e.r.lineOffset + lineOf(e.node)
}

// AddFinding reports an error at a line of the document. key is the path within the entry.
func (e *Entry) AddFinding(line int, key, format string, args ...any) {
	at := location{parent: e.location, key: key}
	e.r.addAt(line, at.path(), format, args...)
}

// Read parses the entry, calls visit with its mapping and reports the keys that visit did not read. It
// returns false if any error was reported.
func (e *Entry) Read(visit func(m *Map)) bool {
	before := len(e.r.findings) + e.r.droppedFindings
	if e.node != nil {
		e.visit(e.node, visit)
	} else {
		e.readRaw(visit)
	}
	return len(e.r.findings)+e.r.droppedFindings == before
}

// readRaw parses the text of an entry of a split list. Lines in it are relative to the entry's first line.
func (e *Entry) readRaw(visit func(m *Map)) {
	outerOffset := e.r.lineOffset
	e.r.lineOffset = e.rawEntry.line - 1
	defer func() { e.r.lineOffset = outerOffset }()
	switch list := e.r.parse(e.rawEntry.text).(type) {
	case nil:
	case *ast.SequenceNode:
		if len(list.Values) == 1 {
			e.visit(list.Values[0], visit)
			return
		}
		e.r.add(1, e.location.path(), "must be one entry of a list")
	default:
		e.r.add(1, e.location.path(), "must be one entry of a list")
	}
}

// visit calls visit with the mapping of node n, if it is one.
func (e *Entry) visit(n ast.Node, visit func(m *Map)) {
	m := e.r.newMap(n, e.location)
	if m == nil {
		return
	}
	visit(m)
	m.ReportUnknownKeys()
}
