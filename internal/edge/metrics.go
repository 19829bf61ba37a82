package edge

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/internal/metrics"
)

// daemonMetrics holds the daemon's metrics.
type daemonMetrics struct {
	forwarded       gometrics.Counter
	placed          gometrics.Counter
	repeated        gometrics.Counter
	learned         gometrics.Counter
	replaced        gometrics.Counter
	conflicts       gometrics.Counter
	refused         gometrics.Counter
	reset           gometrics.Counter
	resetQuestions  gometrics.Counter
	resetsUnasked   gometrics.Counter
	resetsLate      gometrics.Counter
	probes          gometrics.Counter
	sendErrors      gometrics.Counter
	controlSent     gometrics.Counter
	controlReceived gometrics.Counter
	storeReads      gometrics.Counter
	storeWatches    gometrics.Counter
	storeFailures   gometrics.Counter
	// storeUndecodable counts the failures of storeFailures after which everything is read.
	storeUndecodable gometrics.Counter
	fetches          gometrics.Counter
	unusable         gometrics.Counter
	drainingZones    gometrics.Gauge
	eras             *eraMetrics
	errorKinds       *metrics.KindCounters
	placements       *metrics.HistogramVec
	// set holds the series of services, which are known from the lists only.
	set *metrics.Set

	// lastPacket is when the fabric last sent a packet, in nanoseconds since 1970.
	lastPacket atomic.Int64
}

// maxServiceSeries bounds the number of per-service histograms.
const maxServiceSeries = 64

func newDaemonMetrics(s *metrics.Set) *daemonMetrics {
	counter := func(name, help string) gometrics.Counter {
		return s.Counter(metrics.Family{Name: "fireflypin_" + name, Help: help})
	}
	return &daemonMetrics{
		set:              s,
		forwarded:        counter("forwarded_packets_total", "Packets sent to targets."),
		placed:           counter("placed_flows_total", "New flows that were given a target."),
		repeated:         counter("repeated_opens_total", "Repeated first packets sent to the same target."),
		learned:          counter("learned_flows_total", "Flows that another daemon opened and whose packets came here."),
		replaced:         counter("replaced_records_total", "First packets on ends that had a record of another flow."),
		conflicts:        counter("tag_conflicts_total", "Packets whose tag names another target than their flow's record."),
		refused:          counter("refused_flows_total", "New flows that were refused."),
		reset:            counter("reset_flows_total", "Open flows that were ended at their callers, since their targets are silent."),
		resetQuestions:   counter("reset_questions_total", "Questions to the other daemons about flows that are to be reset."),
		resetsUnasked:    counter("resets_unasked_total", "Ticks at which the flows of a silent target were kept, since not all daemons of the zone could be asked."),
		resetsLate:       counter("resets_late_total", "Packets that were not answered with a reset, since they may have waited in the socket."),
		probes:           counter("target_probes_total", "Suspected targets to which connections were tried."),
		sendErrors:       counter("send_errors_total", "Datagrams that the system refused to send."),
		controlSent:      counter("control_sent_bytes_total", "Payload of control datagrams sent to peers."),
		controlReceived:  counter("control_received_bytes_total", "Payload of control datagrams received from peers."),
		storeReads:       counter("platform_reads_total", "Reads of all published items."),
		storeWatches:     counter("platform_watches_total", "Watches for published changes."),
		storeFailures:    counter("platform_failures_total", "Calls to the platform that failed."),
		storeUndecodable: counter("platform_undecodable_total", "Responses of the platform that are too large or cannot be decoded."),
		fetches:          counter("item_fetches_total", "Fetches of items from other daemons."),
		unusable:         counter("unusable_items_total", "Published items that cannot be used."),
		drainingZones:    s.Gauge(metrics.Family{Name: "fireflypin_draining_zones", Help: "Availability zones whose drain is in force here."}),
		eras:             newEraMetrics(s),
		errorKinds:       s.KindCounters(metrics.Family{Name: "fireflypin_errors_total", Help: "Packets, flows, messages and lists that were not taken."}),
		placements: s.HistogramVec(metrics.Family{Name: "fireflypin_target_open_flows", Help: "Open flows of this daemon on the target that a new flow was given, with it."},
			maxServiceSeries, "service"),
	}
}

func (m *daemonMetrics) sinceLastPacket(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, m.lastPacket.Load()))
}
