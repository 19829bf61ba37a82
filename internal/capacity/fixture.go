package capacity

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

const (
	// targetsPerService is the number of targets behind one address.
	targetsPerService = 9
	zonesPerRegion    = 4
	regions           = 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// flowHash spreads i over 64 bits.
func flowHash(i int) model.FlowHash {
	x := (uint64(i) + 1) * 0x9e3779b97f4a7c15
	return model.FlowHash(x ^ x>>29)
}

func zoneName(i int) string {
	return string(rune('a' + i%zonesPerRegion))
}

func regionName(i int) string {
	return fmt.Sprintf("region-%d", i%regions)
}

// address returns the i-th host address of 10.0.0.0/8.
func address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// customersDocument names n customers with one prefix each.
func customersDocument(n int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: customers\nrevision: 1\ncustomers:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {name: customer-%05d, plan: plan-%d, prefixes: [%v/24]}\n", i, i%4, address(i<<8))
	}
	return lists.Document{Name: "customers.yaml", Data: []byte(b.String())}
}

// plansDocument names n services and four plans that allow some of them.
func plansDocument(n int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: plans\nrevision: 1\nservices:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {name: service-%04d, addresses: [\"192.0.%d.%d:443\"], return: through, margin: 0.05, ramp: 30s}\n", i, i/250, i%250+1)
	}
	b.WriteString("plans:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "- {name: plan-%d, new_flows_per_second: 100, open_flows: 20000, on_revoke: finish, services: [%s]}\n", i, planServices(i, n))
	}
	return lists.Document{Name: "plans.yaml", Data: []byte(b.String())}
}

func planServices(plan, n int) string {
	var names []string
	for i := plan; i < n; i += 4 {
		names = append(names, fmt.Sprintf("service-%04d", i))
	}
	if len(names) == 0 {
		names = append(names, "service-0000")
	}
	return strings.Join(names, ", ")
}

// machinesDocument names entry VMs and endpoints with one target each.
func machinesDocument(entries, targets int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: machines\nrevision: 1\nentries:\n")
	for i := range entries {
		a := address(1<<20 + i)
		fmt.Fprintf(&b, "- {name: entry-%03d, region: %s, zone: %s, state: live, data: \"%v:4754\", peer: \"%v:4755\", bulk: \"%v:4756\", ops: \"%v:4757\"}\n",
			i, regionName(i/zonesPerRegion), zoneName(i), a, a, a, a)
	}
	b.WriteString("endpoints:\n")
	for i := range targets {
		a := address(2<<20 + i)
		fmt.Fprintf(&b, "- {name: endpoint-%04d, region: %s, zone: %s, state: live, targets: [{name: target-%04d, service: service-%04d, data: \"%v:4754\", report: \"%v:8080\", weight: 1, max_connections: 4000, slots: 3}]}\n",
			i, regionName(i/targetsPerService), zoneName(i), i, i/targetsPerService, a, a)
	}
	return lists.Document{Name: "machines.yaml", Data: []byte(b.String())}
}

// fleet are the published lists of a fleet of a size.
type fleet struct {
	customers, entries, targets int
}

func (f fleet) documents() lists.Documents {
	services := max((f.targets+targetsPerService-1)/targetsPerService, 1)
	return lists.Documents{
		Customers: customersDocument(f.customers),
		Plans:     plansDocument(services),
		Machines:  machinesDocument(f.entries, f.targets),
	}
}

// snapshot parses the documents. It panics when they are refused: they are the package's own.
func (f fleet) snapshot() *model.Snapshot {
	s, err := lists.Parse(f.documents())
	if err != nil {
		panic(fmt.Sprintf("capacity: own lists are refused: %v", err))
	}
	return s
}
