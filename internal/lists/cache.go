package lists

import "github.com/fireflypin/fireflypin/internal/yamldoc"

// located is a parsed entry with the line of the document at which it starts.
type located[T any] struct {
	row  *T
	line int
}

// cache holds the parsed entries of a document, keyed by their text. Rows are immutable.
type cache[T any] map[string]*T

func newCache[T any]() cache[T] {
	return make(cache[T])
}

// read returns the row of an entry. It reuses the row in previous, the cache of the document that this one
// replaces, if the same text is there. A row with errors is not cached.
func (c cache[T]) read(previous cache[T], e *yamldoc.Entry, parse func(*yamldoc.Entry, *yamldoc.Map) *T) *T {
	text := e.Text()
	if row := previous[text]; row != nil {
		c[text] = row
		return row
	}
	row := new(T)
	valid := e.Read(func(m *yamldoc.Map) { row = parse(e, m) })
	if valid && text != "" {
		c[text] = row
	}
	return row
}

// firstUse records the first user of an address or prefix in a document.
type firstUse struct {
	owner string
	line  int
}

// nameLines finds names that occur twice in a document. It maps each name to the line of its first use.
type nameLines map[string]int

// add records a name, or reports an error if it was recorded already.
func (ns nameLines) add(e *yamldoc.Entry, line int, key, name, object string) {
	if name == "" {
		return
	}
	if first, seen := ns[name]; seen {
		e.AddFinding(line, key, "%s %q appears twice; first in line %d", object, name, first)
		return
	}
	ns[name] = line
}
