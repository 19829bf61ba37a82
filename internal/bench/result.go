package bench

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/internal/fleet"
	"github.com/fireflypin/fireflypin/internal/history"
	"github.com/fireflypin/fireflypin/internal/scenario"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	per100k = 100_000
	// latencyMax is the highest value of the latency histograms, in microseconds.
	latencyMax     = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
	tailPercentile = 99
)

// Result holds the measurements of one run.
type Result struct {
	Scenario string        `json:"scenario"`
	Variant  fleet.Variant `json:"variant"`
	Seed     uint64        `json:"seed"`
	Seconds  float64       `json:"seconds"`
	// Flows counts the flows that ended after the warm-up. This includes flows that were open at the end of
	// the measured time and closed afterwards.
	Flows int `json:"flows"`
	// BrokenPer100k is the number of broken flows per 100,000 flows.
	BrokenPer100k float64 `json:"broken_per_100k"`
	// WarmupBroken and WarmupMisrouted count the flows that broke and the packets that were misrouted during
	// the warm-up.
	WarmupBroken    int `json:"warmup_broken"`
	WarmupMisrouted int `json:"warmup_misrouted"`
	// BrokenConnected counts broken flows whose caller and target were never separated by a partition.
	BrokenConnected int              `json:"broken_connected"`
	Summary         scenario.Summary `json:"summary"`
	Imbalance       []Imbalance      `json:"imbalance"`
	Latencies       []Latency        `json:"latencies"`
	// ForwardedShare is the fraction of packets from the fabric that a daemon forwarded to another daemon,
	// 0 to 1.
	ForwardedShare float64 `json:"hop_share"`
	// ExceptionShare is the mean fraction of open flows that are exceptions, 0 to 1. An exception is a flow
	// whose target is not its default target.
	ExceptionShare float64 `json:"exception_share"`
	// ControlBytesPerSecond is the mean number of bytes per second that a daemon sent to other daemons, without
	// forwarded packets.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// ProcessCPU is the mean number of CPU cores used by this process, including the stand-ins.
	ProcessCPU    float64         `json:"process_cpu"`
	ChangeLatency []ChangeLatency `json:"in_force"`
	Samples       []Sample        `json:"samples,omitempty"`
}

// Imbalance describes how unevenly the targets of one service were loaded during the measured time. Each
// ratio is the maximum over the targets divided by their mean; 1 means an even load.
type Imbalance struct {
	Service string `json:"service"`
	// FlowsMean and FlowsWorst are the mean and the maximum, over all samples with open flows, of the
	// max/mean ratio of open flows.
	FlowsMean  float64 `json:"flows_mean"`
	FlowsWorst float64 `json:"flows_worst"`
	// ReportedMean is the mean over the same samples of the max/mean ratio of reported connections.
	ReportedMean float64 `json:"reported_mean"`
	// BusyMaxOverMean is the max/mean ratio of the targets' mean numbers of busy slots.
	BusyMaxOverMean float64 `json:"busy_max_over_mean"`
}

// Latency is the distribution of the time from sending a request to receiving its complete answer, in
// milliseconds.
type Latency struct {
	Workload string  `json:"workload"`
	Count    int64   `json:"count"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
}

// result stops the callers and computes the result of the run.
func (r *run) result() *Result {
	measureEnd := time.Now()
	seconds := measureEnd.Sub(r.started).Seconds()
	cpu := processCPU() - r.cpu
	last := r.fleet.Status()
	open := r.site.OpenFlows()
	changes := r.changes.measured(measureEnd)
	r.site.StopCallers(sessionDrainTimeout)
	full := r.site.History()
	h := scenario.EndedSince(full, r.started)
	res := &Result{
		Scenario:              r.cfg.Scenario.Name,
		Variant:               r.cfg.Variant,
		Seed:                  r.cfg.Seed,
		Seconds:               seconds,
		Summary:               scenario.Summarize(h),
		Flows:                 len(h.Flows),
		BrokenConnected:       r.brokenConnected(h),
		Imbalance:             imbalances(r.samples),
		Latencies:             latencies(h),
		ForwardedShare:        forwardedShare(r.startStatus, last),
		ExceptionShare:        exceptionShare(r.samples),
		ControlBytesPerSecond: controlRate(r.startStatus, last, seconds),
		ProcessCPU:            cpu.Seconds() / seconds,
		ChangeLatency:         changes,
		Samples:               r.samples,
	}
	res.WarmupBroken = scenario.Tally(full).Broken - res.Summary.Broken
	res.WarmupMisrouted = len(history.Misrouted(full)) - res.Summary.Misrouted
	res.BrokenPer100k = per100k * float64(res.Summary.Broken) / float64(max(res.Flows, open, 1))
	return res
}

// brokenConnected counts broken flows whose caller and target were never separated by a partition.
func (r *run) brokenConnected(h history.History) int {
	zones := make(map[string]string)
	for _, l := range r.site.Loads() {
		zones[l.Name] = l.Zone
	}
	zoneOf := make(map[packet.FlowKey]string)
	for _, rc := range h.Receipts {
		zoneOf[rc.Flow] = zones[rc.Target]
	}
	return lo.CountBy(h.Flows, func(f history.FlowEnd) bool {
		return f.Result == history.FlowBroken && !r.separated(r.cfg.Scenario.CallerZone(f.Flow.Caller.Addr()), zoneOf[f.Flow])
	})
}

// separated reports whether the scenario has a partition that separates two zones.
func (r *run) separated(a, b string) bool {
	return lo.SomeBy(r.cfg.Scenario.Faults, func(f scenario.Fault) bool {
		return f.Kind == scenario.FaultPartition && (a == f.Name) != (b == f.Name)
	})
}

func imbalances(samples []Sample) []Imbalance {
	if len(samples) == 0 {
		return nil
	}
	out := make([]Imbalance, 0, len(samples[0].Services))
	for i, svc := range samples[0].Services {
		series := lo.Map(samples, func(s Sample, _ int) ServiceSample { return s.Services[i] })
		out = append(out, imbalanceOf(svc.Name, series))
	}
	return out
}

func imbalanceOf(name string, series []ServiceSample) Imbalance {
	loaded := lo.Filter(series, func(s ServiceSample, _ int) bool { return s.Open > 0 })
	flows := lo.Map(loaded, func(s ServiceSample, _ int) float64 { return s.FlowsMaxOverMean })
	reported := lo.Map(loaded, func(s ServiceSample, _ int) float64 { return s.ReportedMaxOverMean })
	busy := make([]int, len(series[len(series)-1].busy))
	for _, s := range series {
		for i, n := range s.busy {
			busy[i] += n
		}
	}
	return Imbalance{
		Service:         name,
		FlowsMean:       lo.Mean(flows),
		FlowsWorst:      lo.Max(flows),
		ReportedMean:    lo.Mean(reported),
		BusyMaxOverMean: maxOverMean(busy),
	}
}

func latencies(h history.History) []Latency {
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, o := range h.Outcomes {
		if o.AttemptResult != history.AttemptAnswered {
			continue
		}
		if histograms[o.Workload] == nil {
			histograms[o.Workload] = hdrhistogram.New(1, latencyMax, latencyDigits)
		}
		_ = histograms[o.Workload].RecordValue(o.Done.Sub(o.Sent).Microseconds())
	}
	names := lo.Keys(histograms)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) Latency { return latencyOf(name, histograms[name]) })
}

func latencyOf(name string, hist *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		Workload: name,
		Count:    hist.TotalCount(),
		P50:      ms(hist.ValueAtPercentile(50)),
		P99:      ms(hist.ValueAtPercentile(tailPercentile)),
		Max:      ms(hist.Max()),
	}
}

func forwardedShare(first, last []fleet.Status) float64 {
	var packets, forwards uint64
	for i := range last {
		packets += last[i].Packets - first[i].Packets
		forwards += last[i].Forwards - first[i].Forwards
	}
	return float64(forwards) / float64(max(packets, 1))
}

func exceptionShare(samples []Sample) float64 {
	shares := lo.Map(samples, func(s Sample, _ int) float64 {
		exceptions := lo.SumBy(s.Members, func(m fleet.Status) int { return m.Exceptions })
		return float64(exceptions) / float64(max(s.OpenFlows, 1))
	})
	return lo.Mean(shares)
}

func controlRate(first, last []fleet.Status, seconds float64) float64 {
	var bytes uint64
	for i := range last {
		bytes += last[i].ControlBytes - first[i].ControlBytes
	}
	return float64(bytes) / seconds / float64(len(last))
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\n%s, %s, seed %d, %.1f s counted\n", r.Scenario, r.Variant, r.Seed, r.Seconds)
	r.Summary.Print(w)
	fmt.Fprintf(w, "broken    %.1f per 100,000 flows, %d with caller and target never cut off\n", r.BrokenPer100k, r.BrokenConnected)
	if r.WarmupBroken > 0 || r.WarmupMisrouted > 0 {
		fmt.Fprintf(w, "warm-up   broken %d, misrouted %d packets\n", r.WarmupBroken, r.WarmupMisrouted)
	}
	for _, i := range r.Imbalance {
		fmt.Fprintf(w, "imbalance %-12s flows %.3f (worst %.3f), reported %.3f, busy slots %.3f\n",
			i.Service, i.FlowsMean, i.FlowsWorst, i.ReportedMean, i.BusyMaxOverMean)
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(w, "latency   %-12s n %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms\n", l.Workload, l.Count, l.P50, l.P99, l.Max)
	}
	fmt.Fprintf(w, "daemons   hops %.2f %% of packets, exceptions %.2f %% of flows, control %.0f B/s each\n",
		100*r.ForwardedShare, 100*r.ExceptionShare, r.ControlBytesPerSecond)
	fmt.Fprintf(w, "process   %.2f cores with the stand-ins\n", r.ProcessCPU)
	for _, c := range r.ChangeLatency {
		state := "in force everywhere after"
		if !c.Complete {
			state = "not in force everywhere within"
		}
		fmt.Fprintf(w, "change    %s revision %d %s %.2f s\n", c.List, c.Revision, state, c.Seconds)
	}
}
