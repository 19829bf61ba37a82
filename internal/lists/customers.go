package lists

import (
	"fmt"
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

// Customers is a checked document of kind customers.
type Customers struct {
	Revision uint64
	Name     string // of the document
	rows     []located[customerRow]
	cached   cache[customerRow]
}

// customerRow is one parsed entry of the list. Lines count from the entry's first line.
type customerRow struct {
	name       string
	nameLine   int
	plan       string
	planLine   int
	prefixes   []netip.Prefix
	prefixLine []int
}

// ReadCustomers checks a document of kind customers by itself.
func ReadCustomers(d Document) (*Customers, Findings) {
	return NextCustomers(d, nil)
}

// NextCustomers is like ReadCustomers, for a document that replaces an earlier one: entries whose
// text is in both are not parsed again. previous may be nil.
func NextCustomers(d Document, previous *Customers) (*Customers, Findings) {
	c := &Customers{Name: d.Name, cached: newCache[customerRow]()}
	var cached cache[customerRow]
	if previous != nil {
		cached = previous.cached
	}
	check := customerCheck{nameLines: make(nameLines), owners: make(map[netip.Prefix]firstUse)}
	revision, findings := read(d, KindCustomers, func(m *yamldoc.Map) {
		m.Entries("customers", func(e *yamldoc.Entry) {
			row := c.cached.read(cached, e, readCustomer)
			check.add(e, row)
			c.rows = append(c.rows, located[customerRow]{row: row, line: e.Line()})
		})
	})
	c.Revision = revision
	return c, findings
}

func readCustomer(e *yamldoc.Entry, m *yamldoc.Map) *customerRow {
	row := &customerRow{
		name:     m.Name("name"),
		nameLine: m.LineOf("name") - e.Line(),
		plan:     m.Name("plan"),
		planLine: m.LineOf("plan") - e.Line(),
	}
	items := m.Texts("prefixes", true)
	row.prefixes = make([]netip.Prefix, 0, len(items))
	row.prefixLine = make([]int, 0, len(items))
	for i := range items {
		it := &items[i]
		p, problem := yamldoc.ParsePrefix(it.Text)
		if problem != "" {
			it.AddFinding("%s", problem)
		}
		row.prefixes = append(row.prefixes, p)
		row.prefixLine = append(row.prefixLine, it.Line-e.Line())
	}
	return row
}

// customerCheck finds names and prefixes that occur twice in a document.
type customerCheck struct {
	nameLines nameLines
	owners    map[netip.Prefix]firstUse
}

func (c *customerCheck) add(e *yamldoc.Entry, row *customerRow) {
	c.nameLines.add(e, e.Line()+row.nameLine, "name", row.name, "customer")
	for i, p := range row.prefixes {
		line := e.Line() + row.prefixLine[i]
		if first, taken := c.owners[p]; taken {
			e.AddFinding(line, fmt.Sprintf("prefixes[%d]", i), "%s already belongs to customer %q, in line %d", p, first.owner, first.line)
			continue
		}
		if p.IsValid() {
			c.owners[p] = firstUse{owner: row.name, line: line}
		}
	}
}
