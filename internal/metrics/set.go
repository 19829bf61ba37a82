package metrics

import (
	"strconv"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/errkind"
)

// Type is the metric type of a family in the Prometheus text format.
type Type string

// The metric types.
const (
	TypeCounter   Type = "counter"
	TypeGauge     Type = "gauge"
	TypeHistogram Type = "histogram"
)

// Family describes all series with one metric name.
type Family struct {
	// Name is the family's name, with its unit at the end.
	Name string
	// Help is the help text of the family, one sentence for the operator.
	Help string
}

// Label is one label of a series.
type Label struct {
	Name, Value string
}

// Set holds the metrics of a process. All methods are safe for concurrent use.
type Set struct {
	registry gometrics.Registry

	mu       sync.Mutex
	families map[string]registeredFamily
}

type registeredFamily struct {
	Family
	typ Type
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{
		registry: gometrics.NewRegistry(),
		families: make(map[string]registeredFamily),
	}
}

// Counter returns the counter of a family with labels. The first call registers it.
func (s *Set) Counter(f Family, labels ...Label) gometrics.Counter {
	s.declare(f, TypeCounter)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge of a family with labels. The first call registers it.
func (s *Set) Gauge(f Family, labels ...Label) gometrics.Gauge {
	s.declare(f, TypeGauge)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// GaugeFunc registers a gauge whose value is obtained from read when the metrics are written.
func (s *Set) GaugeFunc(f Family, read func() float64, labels ...Label) {
	s.declare(f, TypeGauge)
	s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewFunctionalGaugeFloat64(read))
}

// CounterFunc registers a counter whose value is obtained from read when the metrics are written.
func (s *Set) CounterFunc(f Family, read func() float64, labels ...Label) {
	s.declare(f, TypeCounter)
	s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewFunctionalGaugeFloat64(read))
}

// Histogram returns the histogram of a family with labels. The first call registers it.
func (s *Set) Histogram(f Family, labels ...Label) *Histogram {
	s.declare(f, TypeHistogram)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), newHistogram).(*Histogram)
}

// Each calls visit for every series, in no particular order.
func (s *Set) Each(visit func(series string, metric any)) {
	s.registry.Each(visit)
}

// declare records the family's type and help text for the text format.
func (s *Set) declare(f Family, typ Type) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.families[f.Name] = registeredFamily{f, typ}
}

// unregister removes a series.
func (s *Set) unregister(f Family, labels []Label) {
	s.registry.Unregister(seriesName(f.Name, labels))
}

// seriesName returns the name under which a series is registered: the family and its labels.
func seriesName(family string, labels []Label) string {
	if len(labels) == 0 {
		return family
	}
	var b strings.Builder
	b.WriteString(family)
	for i, l := range labels {
		if i == 0 {
			b.WriteByte('{')
		} else {
			b.WriteByte(',')
		}
		b.WriteString(l.Name)
		b.WriteByte('=')
		b.WriteString(quoteLabel(l.Value))
	}
	b.WriteByte('}')
	return b.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// quoteLabel quotes a label value for the Prometheus text format.
func quoteLabel(v string) string {
	return `"` + labelEscaper.Replace(strings.ToValidUTF8(v, "?")) + `"`
}

// KindCounters holds one counter for each error kind.
type KindCounters struct {
	counters []gometrics.Counter
}

// KindCounters registers one counter for each error kind, labelled kind="name". The kind None has no counter.
func (s *Set) KindCounters(f Family) *KindCounters {
	k := &KindCounters{}
	for _, row := range errkind.All() {
		var c gometrics.Counter = gometrics.NilCounter{}
		if row.Kind != errkind.None {
			c = s.Counter(f, Label{"kind", row.Name})
		}
		k.counters = append(k.counters, c)
	}
	return k
}

// Add adds n to the counter of a kind.
func (k *KindCounters) Add(kind errkind.Kind, n int64) {
	k.counters[errkind.RowOf(kind).Kind].Inc(n)
}

// Count returns the value of the counter of a kind.
func (k *KindCounters) Count(kind errkind.Kind) int64 {
	return k.counters[errkind.RowOf(kind).Kind].Count()
}

// formatFloat formats a value for the Prometheus text format.
func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
