package model

import (
	"net/netip"
	"time"
)

// Zone is an availability zone within a region.
type Zone struct {
	Region string
	Name   string
}

// String returns "region/zone".
func (z Zone) String() string {
	return z.Region + "/" + z.Name
}

// MachineState is the state of a VM according to the platform's list.
type MachineState uint8

// The states of a VM in the platform's list.
const (
	// MachineLive is a VM that may take new work.
	MachineLive MachineState = iota
	// MachineDraining is a draining VM, whose stop is announced: it keeps its open flows and takes no
	// new ones.
	MachineDraining
)

// EntryVM is a machine that runs the daemon.
type EntryVM struct {
	ID    MachineID
	Name  string
	Zone  Zone
	State MachineState
	// Data receives IP-in-UDP packets from the fabric and from endpoints.
	Data netip.AddrPort
	// Peer receives datagrams of other daemons: heartbeats, log batches and forwarded packets.
	Peer netip.AddrPort
	// Bulk serves the calls between daemons that transfer large amounts of data: snapshots, hand-off and lists.
	Bulk netip.AddrPort
	// Ops serves metrics and status over HTTP; invalid if the list has none.
	Ops netip.AddrPort
}

// EndpointVM is a machine that runs targets of one or more services.
type EndpointVM struct {
	Name  string
	Zone  Zone
	State MachineState
	// LeaveBy is the announced deadline of a draining VM; zero if none was announced.
	LeaveBy time.Time
	Targets []*Target
}

// Target is one process on an endpoint VM that serves one service.
type Target struct {
	ID      TargetID
	Name    string
	Service string
	Zone    Zone
	// Draining is true if the stop of the target's VM is announced; the target is draining.
	Draining bool
	// LeaveBy is the announced deadline of that stop; zero if none was announced.
	LeaveBy time.Time
	// Data receives IP-in-UDP packets.
	Data netip.AddrPort
	// Report is the address that answers HTTP GET with the target's load report; invalid if there is
	// none.
	Report netip.AddrPort
	// Weight is the target's weight relative to the other targets of its service; 1 or more.
	Weight uint32
	// MaxConnections limits the open flows that the target can hold.
	MaxConnections uint32
	// Slots limits the requests that the target runs at the same time.
	Slots uint32
	// Guard is the value that the platform's transport puts before each packet to the target, so that
	// the receiver can check that the packet is meant for it; 0 if there is none.
	Guard uint64
	// HealthPath is the HTTP path at Data that answers health checks; empty if unknown.
	HealthPath string
	// StartedAt is the start time of the target's process by its own clock; zero if unknown.
	StartedAt time.Time
	// FirstLists is the number of the lists of this process in which the target was published first since StartedAt; 0 if
	// unknown.
	FirstLists uint64
	// Created is the platform's revision, in the era CreatedEra, at which it created the registration that this process
	// knew first; 0 if unknown. A registration that ended and was written again was created again.
	Created, CreatedEra uint64
	// WarmUntil is when the target has finished warming up and reaches its full speed; zero if it already has.
	WarmUntil time.Time
	// ZoneDraining is true while operators drain the target's availability zone: the target keeps its open flows and
	// takes no first packet, not even a duplicate SYN.
	ZoneDraining bool
	// WarmupRate is the number of new flows per second, over all daemons, that the target bears while it warms up; 0
	// means that it has no such bound.
	WarmupRate float64
	// Expired is true for a target whose registration expired recently without an announced stop. It may
	// still be running: it takes new flows only if its service has no other target.
	Expired bool
}

// Link describes the network path between two zones.
type Link struct {
	From, To Zone
	// Delay is the one-way delay.
	Delay time.Duration
	// Loss is the fraction of packets lost, 0 to 1.
	Loss float64
}

// TakesNewFlows reports whether the target may get first packets: neither its own stop nor the drain of its zone was
// announced.
func (t *Target) TakesNewFlows() bool {
	return !t.Draining && !t.ZoneDraining
}
