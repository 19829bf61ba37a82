// Package speed estimates from callers' packets how much slower a target responds than the others of its zone.
//
// Invariant: only responses count. A target that is silent, or whose requests fail, gets no estimate from that, and an
// estimate ends some time after the last response.
package speed
