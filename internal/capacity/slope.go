package capacity

import (
	"fmt"
)

// Unit is the unit of a cost.
type Unit string

// The units.
const (
	Bytes       Unit = "B"
	Nanoseconds Unit = "ns"
	Messages    Unit = "messages"
)

// ID identifies a slope by the measured cost and the size that it depends on.
type ID string

// The slopes that the costs of roles are computed from.
const (
	FlowMemory       ID = "flow table memory / flows"
	FlowTouch        ID = "flow table touch / flows"
	CacheMemory      ID = "cache of covered flows memory / flows"
	LogBytes         ID = "log batch bytes / records"
	LogMemory        ID = "log memory / exceptions"
	ReplicaMemory    ID = "log copy memory / exceptions"
	ReplicaApply     ID = "log copy apply / records"
	HeartbeatFanout  ID = "heartbeats per second / zone members"
	HeartbeatBytes   ID = "heartbeat bytes / rumours"
	HeartbeatHandle  ID = "heartbeat handling / zone members"
	MembershipTick   ID = "membership tick / zone members"
	MembershipMemory ID = "membership memory / zone members"
	OwnerChoice      ID = "owner choice / zone members"
	Seal             ID = "seal a datagram / bytes"
	Open             ID = "open a datagram / bytes"
	HealthBytes      ID = "health section bytes / probed targets"
	HealthMemory     ID = "health and load memory / targets"
	HealthTick       ID = "health tick / targets"
	PlacementMemory  ID = "placement table memory / targets"
	PlacementBuild   ID = "placement table build / targets"
	DefaultChoice    ID = "default target / targets of the service"
	PolicyChoice     ID = "policy choice / targets of the service"
	MachinesBytes    ID = "machines list bytes / targets"
	MachinesParse    ID = "machines list, read whole / targets"
	MachinesChange   ID = "machines list with one change, read / targets"
	CustomersChange  ID = "customers list with one change, read / customers"
	LimitsMemory     ID = "limits memory / customers with flows"
	LimitsBytes      ID = "limits section bytes / customers with flows"
	CustomersBytes   ID = "customers list bytes / customers of 30 prefixes"
	CustomersParse   ID = "customers list, read whole / customers"
	SnapshotMemory   ID = "snapshot memory / targets"
	CustomerMemory   ID = "snapshot memory / customers"
	AdmissionMemory  ID = "admission table memory / customers of 30 prefixes"
	AdmissionBuild   ID = "admission table build / customers of 30 prefixes"
	AdmissionCheck   ID = "admission check / customers of 30 prefixes"
	DatagramIO       ID = "datagrams sent and received on loopback / datagrams"
	ProbeIO          ID = "load reports read on loopback / reports"
	StatusBytes      ID = "status of a daemon / targets"
	StatusRead       ID = "reading a status / targets"
	GenerationSwitch ID = "default recheck at a list change / flows"
)

// experiment measures one slope.
type experiment struct {
	id      ID
	unit    Unit
	sizes   []int
	measure func(size int) float64
}

// Slope is a measured cost as a function of a size.
type Slope struct {
	ID     ID      `json:"id"`
	Unit   Unit    `json:"unit"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

// String returns the fitted line of the slope as text.
func (s Slope) String() string {
	return fmt.Sprintf("%s: %.4g + %.4g %s, residual %.0f %%", s.ID, s.Line.Fixed, s.Line.PerUnit, s.Unit, 100*s.Line.Residual)
}

// Slopes holds the measured slopes by ID.
type Slopes map[ID]Slope

// Measure runs all experiments one after the other and calls report with each result.
func Measure(report func(s Slope)) Slopes {
	slopes := make(Slopes)
	for _, e := range experiments() {
		s := e.run()
		slopes[e.id] = s
		report(s)
	}
	return slopes
}

func (e experiment) run() Slope {
	s := Slope{ID: e.id, Unit: e.unit}
	for _, size := range e.sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Cost: e.measure(size)})
	}
	s.Line = Fit(s.Points)
	return s
}

// At returns the fitted cost of a slope at a size. It panics if the slope was not measured, because roles may
// only use measured slopes.
func (s Slopes) At(id ID, size float64) float64 {
	slope, ok := s[id]
	if !ok {
		panic(fmt.Sprintf("capacity: slope %q was not measured", id))
	}
	return slope.Line.At(size)
}

// experiments returns all experiments.
func experiments() []experiment {
	all := flowExperiments()
	all = append(all, logExperiments()...)
	all = append(all, membershipExperiments()...)
	all = append(all, healthExperiments()...)
	all = append(all, placementExperiments()...)
	all = append(all, networkExperiments()...)
	all = append(all, operatorExperiments()...)
	return append(all, listExperiments()...)
}
