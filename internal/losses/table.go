package losses

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fireflypin/fireflypin/internal/flowtrace"
)

// maxRows bounds the rows of a table. Further ones are counted only.
const maxRows = 20_000

// maxEntries bounds the daemons whose zone and last line are kept.
const maxEntries = 10_000

// Key identifies a row.
type Key struct {
	Second time.Time
	// Cause is why the flows were lost, as causeOf names it.
	Cause string
	// Service, Route and Zone are empty where the log lines do not tell them. Zone is that of the daemon, which is mostly
	// that of its callers.
	Service, Route, Zone string
}

// Row is the number of log lines with a key.
type Row struct {
	Key
	Count int
	// Example is the flow, or the target or daemon, that the first of the lines is about.
	Example string
}

// Gap is a time in which none of the daemons that started at its end wrote a line.
type Gap struct {
	From, To time.Time
	Daemons  int
}

// Table collects rows. The zero value is empty.
type Table struct {
	rows    map[Key]*Row
	entries map[string]*entry
	gaps    []Gap
	// Omitted is the number of lines that daemons left out of their logs, LeftOut that of lines whose row exceeds the bound,
	// and Unparsed that of inputs that are no log lines.
	Omitted, LeftOut, Unparsed int
}

// entry is what is known of one daemon.
type entry struct {
	zone     string
	lastLine time.Time
}

// Add adds a line. Lines of one daemon must be in the order of time.
func (t *Table) Add(line *flowtrace.Line) {
	if t.rows == nil {
		t.rows, t.entries = make(map[Key]*Row), make(map[string]*entry)
	}
	t.Omitted += line.Omitted()
	e := t.entry(line)
	if cause := causeOf(line); cause != "" {
		t.count(Key{Second: line.Time.Truncate(time.Second), Cause: cause, Service: line.Get("service"), Route: line.Get("route"), Zone: e.zone}, example(line))
	}
	e.lastLine = line.Time
}

// entry returns the state of a line's daemon. A daemon that starts without having said that it stops was gone since its
// last line.
func (t *Table) entry(line *flowtrace.Line) *entry {
	e := t.entries[line.Entry]
	if e == nil {
		e = &entry{}
		if len(t.entries) < maxEntries {
			t.entries[line.Entry] = e
		}
	}
	if line.Op != "start" || line.Event != "started" {
		return e
	}
	e.zone = line.Get("zone")
	if !e.lastLine.IsZero() && len(t.gaps) < maxRows {
		t.gaps = append(t.gaps, Gap{From: e.lastLine, To: line.Time, Daemons: 1})
	}
	return e
}

func (t *Table) count(k Key, example string) {
	r := t.rows[k]
	if r == nil {
		if len(t.rows) >= maxRows {
			t.LeftOut++
			return
		}
		r = &Row{Key: k, Example: example}
		t.rows[k] = r
	}
	r.Count++
}

// Rows returns the rows, those with the most lines first.
func (t *Table) Rows() []Row {
	out := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), a.Second.Compare(b.Second), cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// Gaps returns the times in which no daemon wrote a line and all that are known started afterwards: nobody ran.
func (t *Table) Gaps() []Gap {
	slices.SortFunc(t.gaps, func(a, b Gap) int { return a.From.Compare(b.From) })
	var out []Gap
	for _, g := range t.gaps {
		last := len(out) - 1
		if last >= 0 && g.From.Before(out[last].To) {
			out[last] = Gap{From: g.From, To: earlier(g.To, out[last].To), Daemons: out[last].Daemons + 1}
			continue
		}
		out = append(out, g)
	}
	return slices.DeleteFunc(out, func(g Gap) bool { return g.Daemons < len(t.entries) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// causeOf returns the cause that a line reports, or "" if it reports none.
func causeOf(line *flowtrace.Line) string {
	switch line.Op + " " + line.Event {
	case "flow refused":
		return "refused: " + line.Get("kind")
	case "flow dropped":
		switch kind := line.Get("kind"); kind {
		case "packet_outdated":
			return "duplicate SYN dropped"
		case "not_ready":
			return "lists not complete"
		default:
			return "dropped: " + kind
		}
	case "flow reset":
		return "target silent, flow reset"
	case "flow moved":
		return "target silent, flow moved"
	case "speed slow":
		return "target slow"
	case "room short":
		return "service short"
	case "pause noticed":
		return "daemon paused"
	case "peers peer":
		if up, err := strconv.ParseBool(line.Get("up")); err == nil && !up {
			return "daemon not heard"
		}
	}
	return ""
}

// example returns what a line is about.
func example(line *flowtrace.Line) string {
	return cmp.Or(line.Get("flow"), line.Get("target"), line.Get("service"), line.Get("peer"), line.Entry)
}
