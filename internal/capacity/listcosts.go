package capacity

import (
	"math/rand/v2"

	"github.com/fireflypin/fireflypin/internal/admission"
	"github.com/fireflypin/fireflypin/internal/limits"
	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

func listExperiments() []experiment {
	targets := []int{700, 1500, 3000, 6100}
	customers := []int{100, 250, 500, 1000}
	return []experiment{
		{MachinesBytes, Bytes, targets, func(n int) float64 { return float64(len(machines(n, 1).Data)) }},
		{MachinesParse, Nanoseconds, targets, func(n int) float64 {
			d := machines(n, 1)
			return nanoseconds(func(int) { _, _ = lists.ReadMachines(d) })
		}},
		{MachinesChange, Nanoseconds, targets, machinesChange},
		{CustomersBytes, Bytes, customers, func(n int) float64 { return float64(len(customersDocument(n).Data)) }},
		{CustomersParse, Nanoseconds, customers, func(n int) float64 {
			d := customersDocument(n)
			return nanoseconds(func(int) { _, _ = lists.ReadCustomers(d) })
		}},
		{CustomersChange, Nanoseconds, customers, customersChange},
		{SnapshotMemory, Bytes, targets, func(n int) float64 {
			return heapBytes(func() any { return fleet{customers: 4, entries: n / 10, targets: n}.snapshot() })
		}},
		{CustomerMemory, Bytes, customers, func(n int) float64 {
			return heapBytes(func() any { return fleet{customers: n, entries: 8, targets: 18}.snapshot() })
		}},
		{AdmissionMemory, Bytes, customers, func(n int) float64 {
			s := fleet{customers: n, entries: 8, targets: 18}.snapshot()
			return heapBytes(func() any { return retained{s, admission.NewTable(s)} })
		}},
		{AdmissionBuild, Nanoseconds, customers, func(n int) float64 {
			s := fleet{customers: n, entries: 8, targets: 18}.snapshot()
			return nanoseconds(func(int) { admission.NewTable(s) })
		}},
		{AdmissionCheck, Nanoseconds, customers, admissionCheck},
		{LimitsMemory, Bytes, customers, func(n int) float64 {
			s := fleet{customers: n, entries: 8, targets: 18}.snapshot()
			return heapBytes(func() any { return retained{s, limiter(s)} })
		}},
		{LimitsBytes, Bytes, customers, func(n int) float64 {
			l := limiter(fleet{customers: n, entries: 8, targets: 18}.snapshot())
			return float64(len(l.Summary(epoch, nil)))
		}},
	}
}

// retained holds a built value together with its input. The input thus stays alive during the measurement and
// is not counted as a difference in heap use.
type retained struct{ from, built any }

// machines returns the machines list of a fleet with one entry VM per ten targets.
func machines(targets, weight int) lists.Document {
	return machinesDocument(targets/10, targets, weight)
}

// machinesChange measures reading a machines list in which one target has changed.
func machinesChange(targets int) float64 {
	documents := [2]lists.Document{machines(targets, 1), machines(targets, 2)}
	parsed, findings := lists.ReadMachines(documents[0])
	if len(findings) > 0 {
		panic("capacity: generated list is invalid: " + findings.Error())
	}
	return nanoseconds(func(i int) { parsed, _ = lists.NextMachines(documents[(i+1)%2], parsed) })
}

// customersChange measures reading a customers list in which the last customer was added or removed.
func customersChange(customers int) float64 {
	documents := [2]lists.Document{customersDocument(customers), customersDocument(customers + 1)}
	parsed, findings := lists.ReadCustomers(documents[0])
	if len(findings) > 0 {
		panic("capacity: generated list is invalid: " + findings.Error())
	}
	return nanoseconds(func(i int) { parsed, _ = lists.NextCustomers(documents[(i+1)%2], parsed) })
}

func admissionCheck(customers int) float64 {
	s := fleet{customers: customers, entries: 8, targets: 18}.snapshot()
	t := admission.NewTable(s)
	destination := s.Services[0].Addresses[0]
	return nanoseconds(func(i int) {
		_, _, _ = t.Admit(s.Customers[i%customers].Prefixes[i%prefixesPerCustomer].Addr(), destination)
	})
}

// limiter returns the limiter of an owner with open flows of every customer.
func limiter(s *model.Snapshot) *limits.Limiter {
	const flowsPerCustomer = 20
	l := limits.New(limits.Config{Zone: model.Zone{Region: "region-0", Name: "a"}, Rand: rand.New(rand.NewPCG(1, 2))})
	for _, c := range s.Customers {
		for range flowsPerCustomer {
			l.Open(epoch, c)
		}
	}
	return l
}
