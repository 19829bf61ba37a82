package model

import (
	"net/netip"
	"time"
)

// Zone names an availability zone and the region that it lies in.
type Zone struct {
	Region string
	Name   string
}

// String returns "region/zone".
func (z Zone) String() string {
	return z.Region + "/" + z.Name
}

// MachineState says what the platform's list tells of a VM.
type MachineState uint8

// The states of a VM in the platform's list.
const (
	// MachineLive is a VM that may take new work.
	MachineLive MachineState = iota
	// MachineLeaving is a VM with an announced stop: it keeps its open flows and takes no new ones.
	MachineLeaving
)

// EntryVM is a machine that runs the daemon.
type EntryVM struct {
	ID    MachineID
	Name  string
	Zone  Zone
	State MachineState
	// Data receives IP-in-UDP packets from the fabric and from endpoints.
	Data netip.AddrPort
	// Peer receives datagrams of other daemons: heartbeats, log batches and hopped packets.
	Peer netip.AddrPort
	// Bulk serves the calls between daemons that carry much: snapshots, hand-over and lists.
	Bulk netip.AddrPort
	// Ops serves metrics and status over HTTP; invalid where the list names none.
	Ops netip.AddrPort
}

// EndpointVM is a machine that runs targets of one or more services.
type EndpointVM struct {
	Name  string
	Zone  Zone
	State MachineState
	// LeaveBy is the announced deadline of a leaving VM; zero where none was announced.
	LeaveBy time.Time
	Targets []*Target
}

// Target is one process on an endpoint VM that serves one service.
type Target struct {
	ID      TargetID
	Name    string
	Service string
	Zone    Zone
	// Leaving is true while the target's VM has an announced stop.
	Leaving bool
	LeaveBy time.Time
	// Data receives IP-in-UDP packets.
	Data netip.AddrPort
	// Report answers HTTP GET with the target's load report; invalid where there is none.
	Report netip.AddrPort
	// Weight is the target's share relative to the other targets of its service; 1 or more.
	Weight uint32
	// MaxConnections bounds the open flows that the target can hold.
	MaxConnections uint32
	// Slots bounds the requests that the target runs at the same time.
	Slots uint32
	// Guard precedes each packet of a transport that lets the receiver check whether it is meant; 0 where
	// there is none.
	Guard uint64
	// HealthPath answers health checks over HTTP at Data; empty where none is known.
	HealthPath string
	// Born is the start of the target's process; zero while unknown. Of two targets that claim one flow
	// tag, the older one holds it.
	Born time.Time
	// WarmUntil is when the target has its full speed; zero for one that is warm.
	WarmUntil time.Time
	// Lapsed is true for a target whose registration ended a moment ago without an announced stop. It may
	// still live: it takes new flows only where a service has no other target.
	Lapsed bool
}

// Link describes the way between two zones.
type Link struct {
	From, To Zone
	// Delay is the one-way delay.
	Delay time.Duration
	// Loss is the share of packets lost, 0 to 1.
	Loss float64
}
