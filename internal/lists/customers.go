package lists

import (
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

// Customers is a checked document of kind customers.
type Customers struct {
	Revision uint64
	Name     string // of the document
	rows     []customerRow
}

type customerRow struct {
	name     string
	line     int // of the plan's name
	path     yamldoc.Path
	plan     string
	prefixes []netip.Prefix
}

// ReadCustomers checks a document of kind customers by itself.
func ReadCustomers(d Document) (*Customers, Findings) {
	c := &Customers{Name: d.Name}
	seen := make(names)
	owners := make(map[netip.Prefix]prefixOwner)
	revision, findings := read(d, KindCustomers, func(m *yamldoc.Map) {
		m.Each("customers", func(m *yamldoc.Map) {
			row := readCustomer(m, owners)
			seen.add(m, "name", row.name, "customer")
			c.rows = append(c.rows, row)
		})
	})
	c.Revision = revision
	return c, findings
}

// prefixOwner says which customer named a prefix first.
type prefixOwner struct {
	customer string
	line     int
}

func readCustomer(m *yamldoc.Map, owners map[netip.Prefix]prefixOwner) customerRow {
	row := customerRow{name: m.Name("name"), plan: m.Name("plan"), line: m.LineOf("plan"), path: m.Path("plan")}
	items := m.Texts("prefixes", true)
	row.prefixes = make([]netip.Prefix, 0, len(items))
	for i := range items {
		it := &items[i]
		p, why := yamldoc.ParsePrefix(it.Text)
		if why != "" {
			it.Fault("%s", why)
			continue
		}
		if o, taken := owners[p]; taken {
			it.Fault("%s belongs to customer %q already, in line %d", p, o.customer, o.line)
			continue
		}
		owners[p] = prefixOwner{customer: row.name, line: it.Line}
		row.prefixes = append(row.prefixes, p)
	}
	return row
}
