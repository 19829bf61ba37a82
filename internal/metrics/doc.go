// Package metrics keeps a process's counters, gauges and histograms in one rcrowley/go-metrics registry
// and writes them in the Prometheus text format and as JSON.
//
// A series is registered under its whole name, labels included: family{label="value"}. Families are
// named fireflypin_<what>_<unit>, counters end in _total.
//
// Invariant: the number of series of a family with labels never exceeds its limit plus one; label
// values beyond the limit share the value "other".
package metrics
