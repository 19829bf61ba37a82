package metrics

import (
	"slices"
	"strings"
	"sync"
)

// OtherValue is the label value of the series that all label values beyond a HistogramVec's limit share.
const OtherValue = "other"

// HistogramVec is a family of histograms with the same label names, such as one histogram for each customer. Its
// methods are safe for concurrent use.
type HistogramVec struct {
	set    *Set
	family Family
	names  []string
	limit  int

	mu     sync.RWMutex
	series map[string]*vecSeries
	other  *Histogram
}

type vecSeries struct {
	labels    []Label
	histogram *Histogram
}

// HistogramVec returns a family of at most limit histograms, and one more for all other label values.
func (s *Set) HistogramVec(f Family, limit int, labelNames ...string) *HistogramVec {
	return &HistogramVec{set: s, family: f, names: labelNames, limit: limit, series: make(map[string]*vecSeries)}
}

// With returns the histogram for the label values, given in the order of the label names. Callers on a hot
// path should keep the histogram.
func (v *HistogramVec) With(values ...string) *Histogram {
	key := vecKey(values)
	v.mu.RLock()
	s := v.series[key]
	v.mu.RUnlock()
	if s != nil {
		return s.histogram
	}
	return v.add(key, values)
}

func (v *HistogramVec) add(key string, values []string) *Histogram {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.series[key]; s != nil {
		return s.histogram
	}
	if len(v.series) >= v.limit {
		return v.overflow()
	}
	labels := v.labels(values)
	s := &vecSeries{labels: labels, histogram: v.set.Histogram(v.family, labels...)}
	v.series[key] = s
	return s.histogram
}

// overflow returns the histogram for all label values beyond the limit. The caller holds the lock.
func (v *HistogramVec) overflow() *Histogram {
	if v.other == nil {
		values := slices.Repeat([]string{OtherValue}, len(v.names))
		v.other = v.set.Histogram(v.family, v.labels(values)...)
	}
	return v.other
}

func (v *HistogramVec) labels(values []string) []Label {
	labels := make([]Label, len(v.names))
	for i, name := range v.names {
		labels[i] = Label{Name: name, Value: values[i]}
	}
	return labels
}

// Retain drops every series for which keep returns false, such as those of customers that are no longer in the
// lists. Callers may still update a dropped histogram, but it is no longer exported.
func (v *HistogramVec) Retain(keep func(values []Label) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key, s := range v.series {
		if keep(s.labels) {
			continue
		}
		v.set.unregister(v.family, s.labels)
		delete(v.series, key)
	}
}

// vecKey joins label values to a map key. It does not allocate for a single value.
func vecKey(values []string) string {
	if len(values) == 1 {
		return values[0]
	}
	return strings.Join(values, "\x00")
}
