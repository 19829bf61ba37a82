package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/internal/scenario"
)

// The metrics that a daemon's usage is read from.
const (
	cpuMetric          = "process_cpu_seconds_total"
	memoryMetric       = "process_resident_memory_bytes"
	controlMetric      = "fireflypin_control_sent_bytes_total"
	forwardedMetric    = "fireflypin_forwarded_packets_total"
	returnedMetric     = "fireflypin_returned_packets_total"
	peerForwardsMetric = "fireflypin_hops_sent_packets_total"

	bytesPerMB = 1 << 20
)

// usage is the cumulative resource usage of a daemon at one point in time.
type usage struct {
	at                                  time.Time
	cpuSeconds, memoryBytes             float64
	controlBytes, packets, peerForwards float64
}

// readUsage reads the usage of a daemon from its metrics endpoint.
func readUsage(ctx context.Context, client *http.Client, e scenario.EntryPlan) (usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Ops.String()+"/metrics", nil)
	if err != nil {
		return usage{}, fmt.Errorf("read metrics of %s: %w", e.Name, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return usage{}, fmt.Errorf("read metrics of %s: %w", e.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	u := parseUsage(resp.Body)
	u.at = time.Now()
	return u, nil
}

// parseUsage extracts the usage from metrics in the Prometheus text format. Other metrics are ignored.
func parseUsage(r io.Reader) usage {
	var u usage
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case cpuMetric:
			u.cpuSeconds = value
		case memoryMetric:
			u.memoryBytes = value
		case controlMetric:
			u.controlBytes = value
		case peerForwardsMetric:
			u.peerForwards = value
			u.packets += value
		case forwardedMetric, returnedMetric:
			u.packets += value
		}
	}
	return u
}

// readUsages reads the usage of all daemons. The usage of a daemon that does not answer is the zero value.
func readUsages(ctx context.Context, entries []scenario.EntryPlan) []usage {
	client := &http.Client{Timeout: time.Second}
	out := make([]usage, len(entries))
	for i, e := range entries {
		out[i], _ = readUsage(ctx, client, e)
	}
	return out
}

// printUsages prints a table with the usage of each daemon between two readings.
func printUsages(w io.Writer, entries []scenario.EntryPlan, first, last []usage) {
	fmt.Fprintf(w, "%-8s %10s %10s %10s %8s %12s\n", "daemon", "CPU cores", "memory MB", "packets/s", "hops", "control B/s")
	for i, e := range entries {
		a, b := first[i], last[i]
		if a.at.IsZero() || b.at.IsZero() {
			fmt.Fprintf(w, "%-8s no metrics\n", e.Name)
			continue
		}
		seconds := b.at.Sub(a.at).Seconds()
		packets := b.packets - a.packets
		fmt.Fprintf(w, "%-8s %10.4f %10.1f %10.0f %7.1f%% %12.0f\n", e.Name,
			(b.cpuSeconds-a.cpuSeconds)/seconds, b.memoryBytes/bytesPerMB, packets/seconds,
			100*(b.peerForwards-a.peerForwards)/max(packets, 1), (b.controlBytes-a.controlBytes)/seconds)
	}
}
