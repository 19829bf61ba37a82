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
	// targetsPerService is the number of targets of one service address.
	targetsPerService   = 9
	targetsPerEndpoint  = 2
	prefixesPerCustomer = 30
	zonesPerRegion      = 4
	regions             = 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// flowHash returns a distinct 64-bit hash for each i, with well-distributed bits.
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

// customersDocument returns a customers list with n customers and prefixesPerCustomer prefixes each.
func customersDocument(n int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: customers\nrevision: 1\ncustomers:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - name: customer-%d\n    plan: plan-%d\n    prefixes: [", i, i%4)
		for j := range prefixesPerCustomer {
			p := i*prefixesPerCustomer + j
			fmt.Fprintf(&b, "%d.%d.%d.0/24, ", 11+p>>16, p>>8&255, p&255)
		}
		b.WriteString("]\n")
	}
	return lists.Document{Name: "customers.yaml", Data: []byte(b.String())}
}

// plansDocument returns a plans list with n services and four plans, each of which allows a quarter of the
// services.
func plansDocument(n int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: plans\nrevision: 1\nservices:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - {name: service-%d, addresses: [\"198.18.%d.%d:443\"], return: through}\n", i, i>>8, i&255)
	}
	b.WriteString("plans:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  - {name: plan-%d, new_flows_per_second: 100, open_flows: 20000, on_revoke: finish, services: [%s]}\n", i, planServices(i, n))
	}
	return lists.Document{Name: "plans.yaml", Data: []byte(b.String())}
}

func planServices(plan, n int) string {
	var names []string
	for i := plan; i < n; i += 4 {
		names = append(names, fmt.Sprintf("service-%d", i))
	}
	if len(names) == 0 {
		names = append(names, "service-0")
	}
	return strings.Join(names, ", ")
}

// machinesDocument returns a machines list with entry VMs, and endpoint VMs with targetsPerEndpoint targets
// each. An additional last target has the given weight, so that lists can differ in a single target.
func machinesDocument(entries, targets, weight int) lists.Document {
	var b strings.Builder
	b.WriteString("kind: machines\nrevision: 1\nentries:\n")
	for i := range entries {
		a := address(1<<20 + i)
		fmt.Fprintf(&b, "  - {name: entry-%d, region: %s, zone: %s, data: \"%v:4754\", peer: \"%v:4755\", bulk: \"%v:4756\"}\n",
			i, regionName(i/zonesPerRegion), zoneName(i), a, a, a)
	}
	b.WriteString("endpoints:\n")
	for i := 0; i < targets; i += targetsPerEndpoint {
		a := address(2<<20 + i)
		fmt.Fprintf(&b, "  - name: vm-%d\n    region: %s\n    zone: %s\n    targets:\n", i, regionName(i/targetsPerService), zoneName(i))
		for j := i; j < min(i+targetsPerEndpoint, targets); j++ {
			fmt.Fprintf(&b, "      - {name: target-%d, service: service-%d, data: \"%v:%d\", report: \"%v:8080\"}\n",
				j, j/targetsPerService, a, 4754+j-i, a)
		}
	}
	b.WriteString("  - {name: vm-last, region: region-0, zone: a, targets: [{name: target-last, service: service-0, ")
	fmt.Fprintf(&b, "data: \"10.255.0.1:4754\", weight: %d}]}\n", weight)
	return lists.Document{Name: "machines.yaml", Data: []byte(b.String())}
}

// fleet describes the size of a fleet for which published lists are generated.
type fleet struct {
	customers, entries, targets int
}

func (f fleet) documents() lists.Documents {
	services := max((f.targets+targetsPerService-1)/targetsPerService, 1)
	return lists.Documents{
		Customers: customersDocument(f.customers),
		Plans:     plansDocument(services),
		Machines:  machinesDocument(f.entries, f.targets, 1),
	}
}

// snapshot returns the parsed documents. It panics if they are invalid, because this package generates
// them.
func (f fleet) snapshot() *model.Snapshot {
	s, err := lists.Parse(f.documents())
	if err != nil {
		panic(fmt.Sprintf("capacity: generated lists are invalid: %v", err))
	}
	return s
}
