package model

import (
	"net/netip"
	"slices"
	"time"
)

// RequestKind says whether a request whose outcome is unknown may be repeated.
type RequestKind uint8

// The kinds of requests.
const (
	// RequestUnsafe must run at most once.
	RequestUnsafe RequestKind = iota
	// RequestSafe may run again.
	RequestSafe
	// RequestDownload may run again and has a large response.
	RequestDownload
)

// Idempotent reports whether a request may run more than once.
func (k RequestKind) Idempotent() bool {
	return k == RequestSafe || k == RequestDownload
}

// Share is one service's share of a route's new flows.
type Share struct {
	Service *Service
	// Weight is the share relative to the route's other shares; 1 or more.
	Weight uint32
}

// Route says which services take the new flows to an address.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Shares has at least one element and keeps the order in which the shares were published.
	Shares []Share
	Kind   RequestKind
	// Priority is the importance of the route's requests; 0 is the most important.
	Priority uint32
	// TimeBudget is how long a caller waits for a request, including its retries; 0 means unknown.
	TimeBudget time.Duration
	// LatencyGoal is the time within which a response is on time; 0 means unknown.
	LatencyGoal time.Duration
	// Regions are the regions whose targets may serve the route; empty means all.
	Regions []string
}

// InRegions reports whether targets in a zone may serve the route.
func (r *Route) InRegions(z Zone) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, z.Region)
}

// IsServedBy reports whether a service takes new flows of the route.
func (r *Route) IsServedBy(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service.Name == service })
}

// shareShift shifts a flow's hash, so that the share does not depend on the bits that order the targets.
const shareShift = 32

// ServiceOf returns the service for a new flow. Flows spread over the shares by weight, and every daemon
// derives the same service for a flow.
func (r *Route) ServiceOf(h FlowHash) *Service {
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return nil
	}
	offset := (uint64(h) >> shareShift) * total >> shareShift
	for _, s := range r.Shares {
		if offset < uint64(s.Weight) {
			return s.Service
		}
		offset -= uint64(s.Weight)
	}
	return nil
}
