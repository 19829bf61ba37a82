package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// TextContentType is the content type of the output of WriteText.
const TextContentType = "text/plain; version=0.0.4; charset=utf-8"

// textSeries is one series, prepared for the text format.
type textSeries struct {
	family string
	// labels is `name="value",...` without braces.
	labels string
	metric any
}

// WriteText writes all metrics in the Prometheus text format, sorted by family and labels.
func (s *Set) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	family := ""
	for _, series := range s.sorted() {
		if series.family != family {
			family = series.family
			s.writeFamily(out, family)
		}
		writeSeries(out, series)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write metrics as text: %w", err)
	}
	return nil
}

// WriteJSON writes all metrics as one JSON object that maps series names to values, including percentiles.
func (s *Set) WriteJSON(w io.Writer) {
	gometrics.WriteJSONOnce(s.registry, w)
}

func (s *Set) sorted() []textSeries {
	var all []textSeries
	s.Each(func(name string, metric any) {
		family, labels, _ := strings.Cut(name, "{")
		all = append(all, textSeries{family, strings.TrimSuffix(labels, "}"), metric})
	})
	sort.Slice(all, func(i, j int) bool {
		if all[i].family != all[j].family {
			return all[i].family < all[j].family
		}
		return all[i].labels < all[j].labels
	})
	return all
}

func (s *Set) writeFamily(out *bufio.Writer, name string) {
	s.mu.Lock()
	f := s.families[name]
	s.mu.Unlock()
	fmt.Fprintf(out, "# HELP %s %s\n", name, strings.NewReplacer(`\`, `\\`, "\n", `\n`).Replace(f.Help))
	fmt.Fprintf(out, "# TYPE %s %s\n", name, f.typ)
}

func writeSeries(out *bufio.Writer, s textSeries) {
	switch m := s.metric.(type) {
	case *Histogram:
		writeHistogram(out, s, m)
	case gometrics.Counter:
		writeSample(out, s.family, s.labels, fmt.Sprint(m.Count()))
	case gometrics.Gauge:
		writeSample(out, s.family, s.labels, fmt.Sprint(m.Value()))
	case gometrics.GaugeFloat64:
		writeSample(out, s.family, s.labels, formatFloat(m.Value()))
	}
}

// writeHistogram writes cumulative buckets up to the highest one that is not empty. The count is summed from
// the buckets, so that the two are consistent while values are recorded concurrently.
func writeHistogram(out *bufio.Writer, s textSeries, h *Histogram) {
	var counts [bucketCount + 1]int64
	last := 0
	for i := range counts {
		counts[i] = h.buckets[i].Load()
		if counts[i] > 0 {
			last = i
		}
	}
	var total int64
	for i, n := range counts {
		total += n
		if i <= last && i < bucketCount {
			writeSample(out, s.family+"_bucket", joinLabels(s.labels, fmt.Sprintf(`le="%d"`, bucketBound(i))), fmt.Sprint(total))
		}
	}
	writeSample(out, s.family+"_bucket", joinLabels(s.labels, `le="+Inf"`), fmt.Sprint(total))
	writeSample(out, s.family+"_sum", s.labels, fmt.Sprint(h.Total()))
	writeSample(out, s.family+"_count", s.labels, fmt.Sprint(total))
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func writeSample(out *bufio.Writer, name, labels, value string) {
	out.WriteString(name)
	if labels != "" {
		out.WriteString("{" + labels + "}")
	}
	out.WriteString(" " + value + "\n")
}
