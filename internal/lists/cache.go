package lists

import "github.com/fireflypin/fireflypin/internal/yamldoc"

// placed is a row with the line of the document at which its entry starts.
type placed[T any] struct {
	row  *T
	line int
}

// cache holds the rows of a document by the text of their entries. Rows are immutable.
type cache[T any] map[string]*T

func newCache[T any]() cache[T] {
	return make(cache[T])
}

// read returns the row of an entry, from the document before where it stands there too. A row with
// faults is not kept.
func (c cache[T]) read(before cache[T], e *yamldoc.Entry, parse func(*yamldoc.Entry, *yamldoc.Map) *T) *T {
	text := e.Text()
	if row := before[text]; row != nil {
		c[text] = row
		return row
	}
	row := new(T)
	sound := e.Read(func(m *yamldoc.Map) { row = parse(e, m) })
	if sound && text != "" {
		c[text] = row
	}
	return row
}

// use says who used something first in a document.
type use struct {
	owner string
	line  int
}

// names finds names that stand twice in a document, with the line of the first.
type names map[string]int

// add keeps a name and reports one that was seen before.
func (ns names) add(e *yamldoc.Entry, line int, key, name, what string) {
	if name == "" {
		return
	}
	if first, seen := ns[name]; seen {
		e.Fault(line, key, "%s %q stands twice; first in line %d", what, name, first)
		return
	}
	ns[name] = line
}
