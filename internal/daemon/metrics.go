package daemon

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/core/owners"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/model"
)

// daemonMetrics holds the counters of the daemon.
type daemonMetrics struct {
	forwarded            gometrics.Counter
	returned             gometrics.Counter
	peerForwardsSent     gometrics.Counter
	peerForwardsReceived gometrics.Counter
	controlSent          gometrics.Counter
	controlReceived      gometrics.Counter
	sendErrors           gometrics.Counter
	fetchErrors          gometrics.Counter
	errorKinds           *metrics.KindCounters

	// lastPacket is the arrival time of the last batch of packets, in nanoseconds since the Unix epoch.
	lastPacket atomic.Int64
}

func newDaemonMetrics(s *metrics.Set) *daemonMetrics {
	return &daemonMetrics{
		forwarded:            s.Counter(metrics.Family{Name: "fireflypin_forwarded_packets_total", Help: "Packets sent to targets."}),
		returned:             s.Counter(metrics.Family{Name: "fireflypin_returned_packets_total", Help: "Answers sent on to callers."}),
		peerForwardsSent:     s.Counter(metrics.Family{Name: "fireflypin_hops_sent_packets_total", Help: "Packets sent to their owners."}),
		peerForwardsReceived: s.Counter(metrics.Family{Name: "fireflypin_hops_received_packets_total", Help: "Packets received as their owner."}),
		controlSent:          s.Counter(metrics.Family{Name: "fireflypin_control_sent_bytes_total", Help: "Payload of control datagrams sent to peers."}),
		controlReceived:      s.Counter(metrics.Family{Name: "fireflypin_control_received_bytes_total", Help: "Payload of control datagrams received from peers."}),
		sendErrors:           s.Counter(metrics.Family{Name: "fireflypin_send_errors_total", Help: "Datagrams that the system refused to send."}),
		fetchErrors:          s.Counter(metrics.Family{Name: "fireflypin_snapshot_fetch_errors_total", Help: "Requests for a peer's log that failed."}),
		errorKinds:           s.KindCounters(metrics.Family{Name: "fireflypin_errors_total", Help: "Packets, flows, messages and lists that were not taken."}),
	}
}

// registerEngine registers gauges that read the engine's status.
func registerEngine(s *metrics.Set, e *owners.Engine) {
	gauge := func(name, help string, read func(owners.Status) int) {
		s.GaugeFunc(metrics.Family{Name: name, Help: help}, func() float64 { return float64(read(e.Status())) })
	}
	gauge("fireflypin_owned_flows", "Flows that this daemon owns.", func(st owners.Status) int { return st.OwnedFlows })
	gauge("fireflypin_exceptions", "Owned flows that the log names.", func(st owners.Status) int { return st.Exceptions })
	gauge("fireflypin_copied_exceptions", "Exceptions in the copies of other logs.", func(st owners.Status) int { return st.ReplicatedExceptions })
	gauge("fireflypin_cached_flows", "Flows of other owners whose way is cached.", func(st owners.Status) int { return st.CachedFlows })
	gauge("fireflypin_unacknowledged_records", "Log records that a peer has not applied yet.", func(st owners.Status) int { return st.Unacknowledged })
}

// maxHandshakeSeries is the maximum number of handshake histograms. There is one per customer and service in use.
const maxHandshakeSeries = 512

// flowObserver records handshake times by customer and service.
type flowObserver struct {
	handshake *metrics.HistogramVec
}

func newFlowObserver(s *metrics.Set) *flowObserver {
	return &flowObserver{handshake: s.HistogramVec(
		metrics.Family{Name: "fireflypin_handshake_milliseconds", Help: "Time from a caller's SYN to its target's SYN-ACK at the flow's owner, for services that return through the daemons."},
		maxHandshakeSeries, "customer", "service")}
}

// Answered implements owners.Observer.
func (o *flowObserver) Answered(a core.Admission, handshake time.Duration) {
	o.handshake.With(a.Customer.Name, a.Service.Name).Update(handshake.Milliseconds())
}

// retainCustomers deletes the histograms of customers that are no longer in the published lists.
func (o *flowObserver) retainCustomers(s *model.Snapshot) {
	named := make(map[string]bool)
	for _, c := range s.Customers {
		named[c.Name] = true
	}
	o.handshake.Retain(func(labels []metrics.Label) bool { return named[labels[0].Value] })
}

// addBatch adds the counts of one batch to the counters.
func (m *daemonMetrics) addBatch(c batchCounts) {
	m.forwarded.Inc(c.forwarded)
	m.returned.Inc(c.returned)
	m.peerForwardsSent.Inc(c.peerForwardsSent)
	m.peerForwardsReceived.Inc(c.peerForwardsReceived)
}

// recordPacketTime records now as the arrival time of the last packets.
func (m *daemonMetrics) recordPacketTime(now time.Time) {
	m.lastPacket.Store(now.UnixNano())
}

// sinceLastPacket returns the time since the last packet arrived.
func (m *daemonMetrics) sinceLastPacket(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, m.lastPacket.Load()))
}
