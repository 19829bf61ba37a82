package listsource

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/metrics"
)

// Metrics holds the counters of a Client.
type Metrics struct {
	Calls      gometrics.Counter
	CallErrors gometrics.Counter
	Applied    gometrics.Counter
	PeerBytes  gometrics.Counter

	invalid gometrics.Counter
	stale   gometrics.Counter
}

// NewMetrics registers the counters of a Client.
func NewMetrics(set *metrics.Set) *Metrics {
	rejected := metrics.Family{Name: "fireflypin_lists_refused_total", Help: "Revisions of published lists that were refused, by kind of error."}
	kind := func(k errkind.Kind) metrics.Label { return metrics.Label{Name: "kind", Value: k.String()} }
	return &Metrics{
		Calls:      set.Counter(metrics.Family{Name: "fireflypin_platform_calls_total", Help: "Calls to the platform's service, a waiting watch as one."}),
		CallErrors: set.Counter(metrics.Family{Name: "fireflypin_platform_call_errors_total", Help: "Calls to the platform's service that failed."}),
		Applied:    set.Counter(metrics.Family{Name: "fireflypin_lists_applied_total", Help: "Sets of published lists that came into force."}),
		PeerBytes:  set.Counter(metrics.Family{Name: "fireflypin_lists_from_peers_bytes_total", Help: "Bytes of published lists that were read from peers."}),
		invalid:    set.Counter(rejected, kind(errkind.DocumentInvalid)),
		stale:      set.Counter(rejected, kind(errkind.DocumentStale)),
	}
}

// rejected returns the counter of rejected lists of an error kind.
func (m *Metrics) rejected(k errkind.Kind) gometrics.Counter {
	if k == errkind.DocumentStale {
		return m.stale
	}
	return m.invalid
}
