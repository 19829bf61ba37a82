package capacity

import (
	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/lists"
)

// listFindings keeps the compiler from dropping a parse.
var listFindings lists.Findings

func listExperiments() []experiment {
	targets := []int{800, 1600, 3200, 6400}
	customers := []int{1000, 2000, 5000, 10_000}
	return []experiment{
		{MachinesBytes, Bytes, targets, func(n int) float64 { return float64(len(machines(n).Data)) }},
		{MachinesParse, Nanoseconds, targets, func(n int) float64 {
			d := machines(n)
			return nanoseconds(func(int) { _, listFindings = lists.ReadMachines(d) })
		}},
		{CustomersBytes, Bytes, customers, func(n int) float64 { return float64(len(customersDocument(n).Data)) }},
		{CustomersParse, Nanoseconds, customers, func(n int) float64 {
			d := customersDocument(n)
			return nanoseconds(func(int) { _, listFindings = lists.ReadCustomers(d) })
		}},
		{SnapshotMemory, Bytes, targets, func(n int) float64 {
			return heapBytes(func() any { return fleet{customers: 4, entries: n / 10, targets: n}.snapshot() })
		}},
		{CustomerMemory, Bytes, customers, func(n int) float64 {
			return heapBytes(func() any { return fleet{customers: n, entries: 8, targets: 18}.snapshot() })
		}},
		{AdmissionMemory, Bytes, customers, func(n int) float64 {
			s := fleet{customers: n, entries: 8, targets: 18}.snapshot()
			return heapBytes(func() any { return admission.NewTable(s) })
		}},
		{AdmissionBuild, Nanoseconds, customers, func(n int) float64 {
			s := fleet{customers: n, entries: 8, targets: 18}.snapshot()
			return nanoseconds(func(int) { admission.NewTable(s) })
		}},
		{AdmissionCheck, Nanoseconds, customers, admissionCheck},
	}
}

// machines is the list of a fleet with one entry VM for ten targets.
func machines(targets int) lists.Document {
	return machinesDocument(targets/10, targets)
}

func admissionCheck(customers int) float64 {
	s := fleet{customers: customers, entries: 8, targets: 18}.snapshot()
	t := admission.NewTable(s)
	destination := s.Services[0].Addresses[0]
	return nanoseconds(func(i int) { _, _, _ = t.Admit(address((i%customers)<<8+7), destination) })
}
