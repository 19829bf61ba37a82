package metrics

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/errkind"
)

var (
	flowsFamily = Family{"fireflypin_flows_total", "Flows that were admitted."}
	delayFamily = Family{"fireflypin_handshake_microseconds", "Time to the target's SYN-ACK."}
)

func writeText(s *Set) string {
	var b strings.Builder
	So(s.WriteText(&b), ShouldBeNil)
	return b.String()
}

func TestWriteText(t *testing.T) {
	Convey("Series are written in sorted order, with one HELP and TYPE line for each family", t, func() {
		s := NewSet()
		s.Counter(flowsFamily, Label{"service", "meter"}).Inc(2)
		s.Counter(flowsFamily, Label{"service", "booking"}).Inc(1)
		s.Gauge(Family{"fireflypin_targets", "Targets."}).Update(-3)
		s.GaugeFunc(Family{"fireflypin_load", "Load."}, func() float64 { return 0.25 })
		So(writeText(s), ShouldEqual, strings.Join([]string{
			`# HELP fireflypin_flows_total Flows that were admitted.`,
			`# TYPE fireflypin_flows_total counter`,
			`fireflypin_flows_total{service="booking"} 1`,
			`fireflypin_flows_total{service="meter"} 2`,
			`# HELP fireflypin_load Load.`,
			`# TYPE fireflypin_load gauge`,
			`fireflypin_load 0.25`,
			`# HELP fireflypin_targets Targets.`,
			`# TYPE fireflypin_targets gauge`,
			`fireflypin_targets -3`,
			``,
		}, "\n"))
	})
	Convey("Label values are escaped", t, func() {
		s := NewSet()
		s.Counter(flowsFamily, Label{"service", "a\"b\\c\nd{}"}).Inc(1)
		So(writeText(s), ShouldContainSubstring, `fireflypin_flows_total{service="a\"b\\c\nd{}"} 1`)
	})
	Convey("A histogram has cumulative buckets, an exact sum and a count", t, func() {
		s := NewSet()
		h := s.Histogram(delayFamily, Label{"customer", "estate"})
		for _, v := range []int64{-1, 0, 1, 3, 4, 1 << 40} {
			h.Update(v)
		}
		So(writeText(s), ShouldEndWith, strings.Join([]string{
			`fireflypin_handshake_microseconds_bucket{customer="estate",le="0"} 2`,
			`fireflypin_handshake_microseconds_bucket{customer="estate",le="1"} 3`,
			`fireflypin_handshake_microseconds_bucket{customer="estate",le="3"} 4`,
			`fireflypin_handshake_microseconds_bucket{customer="estate",le="7"} 5`,
		}, "\n")+bucketLines(4, 32, 5)+strings.Join([]string{
			`fireflypin_handshake_microseconds_bucket{customer="estate",le="+Inf"} 6`,
			fmt.Sprintf(`fireflypin_handshake_microseconds_sum{customer="estate"} %d`, 1<<40+8),
			`fireflypin_handshake_microseconds_count{customer="estate"} 6`,
			``,
		}, "\n"))
	})
}

// bucketLines returns the lines of the buckets from to to, all with the same cumulative count.
func bucketLines(from, to, count int) string {
	b := "\n"
	for i := from; i <= to; i++ {
		b += fmt.Sprintf("fireflypin_handshake_microseconds_bucket{customer=\"estate\",le=\"%d\"} %d\n", bucketBound(i), count)
	}
	return b
}

func TestWriteJSON(t *testing.T) {
	Convey("JSON contains every series, including percentiles of histograms", t, func() {
		s := NewSet()
		s.RegisterProcessMetrics()
		s.Counter(flowsFamily).Inc(7)
		s.Histogram(delayFamily)
		for v := range int64(100) {
			s.Histogram(delayFamily).Update(v)
		}
		var b strings.Builder
		s.WriteJSON(&b)
		var all map[string]map[string]float64
		So(json.Unmarshal([]byte(b.String()), &all), ShouldBeNil)
		So(all["fireflypin_flows_total"]["count"], ShouldEqual, 7)
		So(all["fireflypin_handshake_microseconds"]["count"], ShouldEqual, 100)
		So(all["fireflypin_handshake_microseconds"]["median"], ShouldAlmostEqual, 49.5)
		So(all["process_resident_memory_bytes"]["value"], ShouldBeGreaterThan, 0)
	})
}

func TestKindCounters(t *testing.T) {
	Convey("Every error kind except None has a counter", t, func() {
		s := NewSet()
		k := s.KindCounters(Family{"fireflypin_dropped_packets_total", "Packets dropped."})
		k.Add(errkind.PacketFragment, 2)
		k.Add(errkind.None, 5)
		So(k.Count(errkind.PacketFragment), ShouldEqual, 2)
		text := writeText(s)
		So(text, ShouldContainSubstring, `fireflypin_dropped_packets_total{kind="packet_fragment"} 2`)
		So(strings.Count(text, `{kind=`), ShouldEqual, len(errkind.All())-1)
	})
}

func TestHistogramVec(t *testing.T) {
	Convey("A vector limited to two histograms", t, func() {
		s := NewSet()
		v := s.HistogramVec(delayFamily, 2, "customer", "service")
		v.With("a", "x").Update(1)
		v.With("b", "x").Update(1)
		Convey("returns the same histogram for the same label values", func() {
			So(v.With("a", "x"), ShouldEqual, v.With("a", "x"))
		})
		Convey("uses one shared series for label values beyond the limit", func() {
			So(v.With("c", "x"), ShouldEqual, v.With("d", "y"))
			So(writeText(s), ShouldContainSubstring, `_count{customer="other",service="other"} 0`)
		})
		Convey("can add a histogram after another one is dropped", func() {
			v.Retain(func(labels []Label) bool { return labels[0].Value != "a" })
			v.With("c", "x").Update(1)
			text := writeText(s)
			So(text, ShouldNotContainSubstring, `customer="a"`)
			So(text, ShouldContainSubstring, `_count{customer="c",service="x"} 1`)
		})
	})
}
