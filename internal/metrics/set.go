package metrics

import (
	"strconv"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/errkind"
)

// Type is the kind of a family in the Prometheus text format.
type Type string

// The types.
const (
	TypeCounter   Type = "counter"
	TypeGauge     Type = "gauge"
	TypeHistogram Type = "histogram"
)

// Family describes all series of one name.
type Family struct {
	// Name is the family's name, with its unit at the end.
	Name string
	// Help is a sentence for the operator.
	Help string
}

// Label is one label of a series.
type Label struct {
	Name, Value string
}

// Set holds the metrics of a process. All methods may be called from several goroutines.
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

// Counter returns the counter of a family and labels, and registers it the first time.
func (s *Set) Counter(f Family, labels ...Label) gometrics.Counter {
	s.declare(f, TypeCounter)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge of a family and labels, and registers it the first time.
func (s *Set) Gauge(f Family, labels ...Label) gometrics.Gauge {
	s.declare(f, TypeGauge)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// GaugeFunc registers a gauge whose value is read when the metrics are written.
func (s *Set) GaugeFunc(f Family, read func() float64, labels ...Label) {
	s.declare(f, TypeGauge)
	s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewFunctionalGaugeFloat64(read))
}

// CounterFunc registers a counter that is kept elsewhere and read when the metrics are written.
func (s *Set) CounterFunc(f Family, read func() float64, labels ...Label) {
	s.declare(f, TypeCounter)
	s.registry.GetOrRegister(seriesName(f.Name, labels), gometrics.NewFunctionalGaugeFloat64(read))
}

// Histogram returns the histogram of a family and labels, and registers it the first time.
func (s *Set) Histogram(f Family, labels ...Label) *Histogram {
	s.declare(f, TypeHistogram)
	return s.registry.GetOrRegister(seriesName(f.Name, labels), newHistogram).(*Histogram)
}

// Each calls visit for every series in no order.
func (s *Set) Each(visit func(series string, metric any)) {
	s.registry.Each(visit)
}

// declare keeps the family's description for the text format.
func (s *Set) declare(f Family, typ Type) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.families[f.Name] = registeredFamily{f, typ}
}

// unregister takes a series out.
func (s *Set) unregister(f Family, labels []Label) {
	s.registry.Unregister(seriesName(f.Name, labels))
}

// seriesName returns the registered name of a series.
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

// quoteLabel quotes a label's value by the rules of the Prometheus text format.
func quoteLabel(v string) string {
	return `"` + labelEscaper.Replace(strings.ToValidUTF8(v, "?")) + `"`
}

// KindCounters counts by error kind.
type KindCounters struct {
	counters []gometrics.Counter
}

// KindCounters returns one counter for each error kind, labelled kind="name". The kind None has none.
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

// Count returns the counter of a kind.
func (k *KindCounters) Count(kind errkind.Kind) int64 {
	return k.counters[errkind.RowOf(kind).Kind].Count()
}

// formatFloat writes a value as the Prometheus text format does.
func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
