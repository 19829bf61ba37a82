package demo

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/bench"
	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
)

func TestFaultsOf(t *testing.T) {
	s := &scenario.Scenario{Zones: []string{"a", "b"}, Duration: 30 * time.Second}
	Convey("Every available fault starts after a third of the duration; an unknown fault gives an error", t, func() {
		for _, name := range Faults() {
			got, err := faultsOf(name, s)
			So(err, ShouldBeNil)
			if name == FaultNone {
				So(got, ShouldBeEmpty)
				continue
			}
			So(len(got), ShouldEqual, 1)
			So(got[0].At, ShouldEqual, 10*time.Second)
		}
		_, err := faultsOf("flood", s)
		So(err, ShouldNotBeNil)
	})
}

func TestShowFleet(t *testing.T) {
	cfg := FleetConfig{Scenario: "first", Fault: "kill", Seconds: 2, Seed: 1, Variant: fleet.VariantTable}
	Convey("A demo prints", t, func() {
		var out strings.Builder
		cfg.Out = &out
		Convey("a table", func() {
			So(ShowFleet(context.Background(), cfg), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, "max/mean")
			So(out.String(), ShouldContainSubstring, "kill e2")
			So(out.String(), ShouldContainSubstring, "killed")
		})
		Convey("or JSON", func() {
			cfg.JSON = true
			So(ShowFleet(context.Background(), cfg), ShouldBeNil)
			var result bench.Result
			So(json.Unmarshal([]byte(out.String()), &result), ShouldBeNil)
			So(result.Variant, ShouldEqual, fleet.VariantTable)
			So(len(result.Samples), ShouldBeGreaterThan, 0)
		})
	})
}

func TestSettingsOfSeparateDaemons(t *testing.T) {
	Convey("The written settings files pass the daemon's validation", t, func() {
		s, err := scenario.Load("first")
		So(err, ShouldBeNil)
		site, err := scenario.Start(s, 1, udpio.System(udpio.Config{}))
		So(err, ShouldBeNil)
		defer site.Close()
		for _, source := range []scenario.Source{scenario.SourcePlatform, scenario.SourceFiles} {
			dir := t.TempDir()
			So(writeSettings(site, dir, source), ShouldBeNil)
			names, err := os.ReadFile(filepath.Join(dir, daemonListFile))
			So(err, ShouldBeNil)
			So(strings.Fields(string(names)), ShouldResemble, []string{"e1", "e2"})
			got, err := settings.Load(filepath.Join(dir, "e1.yaml"))
			So(err, ShouldBeNil)
			So(got.Data, ShouldEqual, site.Entries[0].Data)
			So(got.UsesPlatform(), ShouldEqual, source == scenario.SourcePlatform)
		}
	})
}

func TestUsageIsReadFromMetrics(t *testing.T) {
	Convey("Usage is read from metrics in the Prometheus text format", t, func() {
		u := parseUsage(strings.NewReader(strings.Join([]string{
			"# TYPE process_cpu_seconds_total counter",
			"process_cpu_seconds_total 1.5",
			"process_resident_memory_bytes 2.097152e+07",
			"fireflypin_control_sent_bytes_total 900",
			"fireflypin_forwarded_packets_total 10",
			"fireflypin_returned_packets_total 20",
			"fireflypin_hops_sent_packets_total 5",
			"fireflypin_errors_total{kind=\"none\"} 7",
		}, "\n")))
		So(u, ShouldResemble, usage{cpuSeconds: 1.5, memoryBytes: 20 << 20, controlBytes: 900, packets: 35, peerForwards: 5})
	})
}
