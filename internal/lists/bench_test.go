package lists

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// The numbers of objects in the benchmark documents.
const (
	benchServices  = 680
	benchTargets   = 6100
	benchEntries   = 600
	benchPrefixes  = 30_000
	benchCustomers = 1000
	benchZones     = 8
)

func largeCustomers() Document {
	var b strings.Builder
	b.WriteString("kind: customers\nrevision: 1\ncustomers:\n")
	for i := range benchCustomers {
		fmt.Fprintf(&b, "  - name: customer-%d\n    plan: plan-%d\n    prefixes: [", i, i%20)
		for j := range benchPrefixes / benchCustomers {
			n := i*benchPrefixes/benchCustomers + j
			fmt.Fprintf(&b, "%d.%d.%d.0/24, ", 11+n>>16, n>>8&255, n&255)
		}
		b.WriteString("]\n")
	}
	return Document{Name: "customers", Data: []byte(b.String())}
}

func largePlans() Document {
	var b strings.Builder
	b.WriteString("kind: plans\nrevision: 1\nservices:\n")
	for i := range benchServices {
		fmt.Fprintf(&b, "  - {name: service-%d, addresses: [\"198.18.%d.%d:443\"], return: through}\n", i, i>>8, i&255)
	}
	b.WriteString("plans:\n")
	for i := range 20 {
		fmt.Fprintf(&b, "  - {name: plan-%d, services: [service-%d, service-%d], open_flows: 10000}\n", i, i, i+20)
	}
	return Document{Name: "plans", Data: []byte(b.String())}
}

func largeMachines() Document {
	var b strings.Builder
	b.WriteString("kind: machines\nrevision: 1\nentries:\n")
	for i := range benchEntries {
		a := fmt.Sprintf("10.0.%d.%d", i>>8, i&255)
		fmt.Fprintf(&b, "  - {name: entry-%d, region: r%d, zone: z%d, data: \"%s:6635\", peer: \"%s:6636\", bulk: \"%s:6637\"}\n", i, i%2, i%benchZones, a, a, a)
	}
	b.WriteString("endpoints:\n")
	for i := range benchTargets / 2 {
		a := fmt.Sprintf("10.1.%d.%d", i>>8, i&255)
		fmt.Fprintf(&b, "  - name: vm-%d\n    region: r%d\n    zone: z%d\n    targets:\n", i, i%2, i%benchZones)
		for j := range 2 {
			fmt.Fprintf(&b, "      - {name: target-%d-%d, service: service-%d, data: \"%s:%d\", report: \"%s:8080\"}\n", i, j, i%benchServices, a, 6635+j, a)
		}
	}
	return Document{Name: "machines", Data: []byte(b.String())}
}

// reportLiveMemory reports how much memory the value that make returns keeps alive.
func reportLiveMemory(b *testing.B, make func() any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "live-MB")
	runtime.KeepAlive(kept)
}

func benchmarkRead(b *testing.B, d Document, read func(Document) (any, Findings)) {
	if len(d.Data) > MaxBytes {
		b.Fatalf("%s has %d bytes", d.Name, len(d.Data))
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(d.Data)))
	for b.Loop() {
		if _, findings := read(d); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
	reportLiveMemory(b, func() any {
		v, _ := read(d)
		return v
	})
}

func BenchmarkReadCustomers30000Prefixes(b *testing.B) {
	benchmarkRead(b, largeCustomers(), func(d Document) (any, Findings) {
		v, f := ReadCustomers(d)
		return v, f
	})
}

func BenchmarkReadPlans680Services(b *testing.B) {
	benchmarkRead(b, largePlans(), func(d Document) (any, Findings) {
		v, f := ReadPlans(d)
		return v, f
	})
}

func BenchmarkReadMachines6100Targets600Entries(b *testing.B) {
	benchmarkRead(b, largeMachines(), func(d Document) (any, Findings) {
		v, f := ReadMachines(d)
		return v, f
	})
}

// BenchmarkNextMachinesOneChange reads a document in which one of about 6,700 targets and entry VMs has
// changed.
func BenchmarkNextMachinesOneChange(b *testing.B) {
	d := largeMachines()
	previous, _ := ReadMachines(d)
	changed := Document{Name: d.Name, Data: []byte(strings.Replace(string(d.Data), "name: vm-77\n", "name: vm-77\n    state: leaving\n", 1))}
	benchmarkRead(b, changed, func(d Document) (any, Findings) {
		v, f := NextMachines(d, previous)
		return v, f
	})
}

func BenchmarkNextCustomersOneChange(b *testing.B) {
	d := largeCustomers()
	previous, _ := ReadCustomers(d)
	changed := Document{Name: d.Name, Data: []byte(strings.Replace(string(d.Data), "plan: plan-7\n", "plan: plan-8\n", 1))}
	benchmarkRead(b, changed, func(d Document) (any, Findings) {
		v, f := NextCustomers(d, previous)
		return v, f
	})
}

func BenchmarkBuild(b *testing.B) {
	c, f1 := ReadCustomers(largeCustomers())
	p, f2 := ReadPlans(largePlans())
	m, f3 := ReadMachines(largeMachines())
	if len(f1)+len(f2)+len(f3) > 0 {
		b.Fatal("the documents are not valid")
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := Build(c, p, m); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
	reportLiveMemory(b, func() any {
		s, _ := Build(c, p, m)
		return s
	})
}
