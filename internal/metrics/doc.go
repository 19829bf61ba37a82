// Package metrics keeps a process's counters, gauges and histograms in one rcrowley/go-metrics registry
// and writes them in the Prometheus text format and as JSON.
//
// A series is registered under its full name, including labels: family{label="value"}. Families are named
// fireflypin_<subject>_<unit>, and the names of counters end in _total.
//
// Invariant: the number of series of a HistogramVec never exceeds its limit plus one; label values beyond
// the limit share one series with the label value "other".
package metrics
