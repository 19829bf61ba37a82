package model

import (
	"net/netip"
	"time"
)

// ReturnPath says which way a service's answers take to the caller.
type ReturnPath uint8

// The ways of an answer.
const (
	// ReturnDirect lets answers skip the entry VMs.
	ReturnDirect ReturnPath = iota
	// ReturnThrough lets answers pass a daemon, which can then retry shed connection attempts and see
	// silent connections.
	ReturnThrough
)

// Service is what a plan may allow: addresses that callers use and the targets behind them.
type Service struct {
	Name string
	// Addresses are the destinations that callers use; each belongs to one service only.
	Addresses []netip.AddrPort
	Return    ReturnPath
	// Margin is the share of the mean load by which a target must be ahead before a new flow leaves its
	// default target; 0 to 1.
	Margin float64
	// Ramp is the time over which a new target's share grows from nothing to its weight.
	Ramp time.Duration
	// Targets are sorted by name; leaving ones are among them.
	Targets []*Target
}

// OnRevoke says what becomes of open flows that a changed plan no longer allows.
type OnRevoke uint8

// The ways to treat open flows of a revoked permission.
const (
	// RevokeFinish lets open flows run to their end.
	RevokeFinish OnRevoke = iota
	// RevokeReset resets open flows after the plan's grace.
	RevokeReset
)

// Plan is the contract that says what a customer may use.
type Plan struct {
	Name     string
	Services []*Service
	// NewFlowsPerSecond bounds the customer's new flows over the whole fleet; 0 means no bound.
	NewFlowsPerSecond uint32
	// OpenFlows bounds the customer's open flows over the whole fleet; 0 means no bound.
	OpenFlows uint32
	OnRevoke  OnRevoke
	// RevokeGrace is the time from the change to the reset of flows; used with RevokeReset.
	RevokeGrace time.Duration
}

// Allows reports whether the plan permits the service.
func (p *Plan) Allows(s *Service) bool {
	for _, allowed := range p.Services {
		if allowed == s {
			return true
		}
	}
	return false
}

// Customer is an organisation known by its source prefixes.
type Customer struct {
	Name     string
	Plan     *Plan
	Prefixes []netip.Prefix
}
