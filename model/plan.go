package model

import (
	"net/netip"
	"time"
)

// ReturnPath says which path a service's responses take to the caller.
type ReturnPath uint8

// The return paths.
const (
	// ReturnDirect lets responses bypass the entry VMs.
	ReturnDirect ReturnPath = iota
	// ReturnThrough sends responses through a daemon, which can then retry connection attempts that a
	// target sheds, and detect unresponsive connections.
	ReturnThrough
)

// Service is a set of addresses that callers use, with the targets that serve them. Plans allow services.
type Service struct {
	Name string
	// Addresses are the destinations that callers use; each belongs to one service only.
	Addresses []netip.AddrPort
	Return    ReturnPath
	// Margin is the share of the mean load by which another target must be less loaded than a new flow's
	// default target for the flow to be placed there; 0 to 1.
	Margin float64
	// Ramp is the time over which a new target's share of the flows grows from zero to its weight.
	Ramp time.Duration
	// Regions are the regions whose targets may take the service's new flows; empty means all.
	Regions []string
	// Targets are sorted by name and include draining ones.
	Targets []*Target
}

// OnRevoke says how to treat open flows that a changed plan no longer allows.
type OnRevoke uint8

// The treatments of open flows whose permission is revoked.
const (
	// RevokeFinish lets open flows continue until they end.
	RevokeFinish OnRevoke = iota
	// RevokeReset resets open flows after Plan.RevokeGrace.
	RevokeReset
)

// Plan is a contract that says which services a customer may use, and its limits.
type Plan struct {
	Name     string
	Services []*Service
	// NewFlowsPerSecond limits the customer's new flows over the whole fleet; 0 means no limit.
	NewFlowsPerSecond uint32
	// OpenFlows limits the customer's open flows over the whole fleet; 0 means no limit.
	OpenFlows uint32
	OnRevoke  OnRevoke
	// RevokeGrace is the time from the change of the plan to the reset of flows; used with RevokeReset.
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

// Customer is an organisation that is recognised by its source prefixes.
type Customer struct {
	Name     string
	Plan     *Plan
	Prefixes []netip.Prefix
}
