package daemon

import (
	"errors"
	"time"

	"github.com/fireflypin/fireflypin/core/owners"
)

// errNotReady is the error that /readyz reports while the daemon is not ready to own flows.
var errNotReady = errors.New("not caught up with the peers yet, or leaving")

// Report is the status of the daemon that /status serves as JSON.
type Report struct {
	Name                  string `json:"name"`
	Zone                  string `json:"zone"`
	Incarnation           uint64 `json:"incarnation"`
	ForwardedTotal        int64  `json:"forwarded_total"`
	ReturnedTotal         int64  `json:"returned_total"`
	PeerForwardsSentTotal int64  `json:"hops_sent_total"`
	ControlSentBytesTotal int64  `json:"control_sent_bytes_total"`
	owners.Status
	// TargetHealth has one element per target, in the order of the targets.
	TargetHealth []TargetHealth `json:"target_health"`
}

// Ready implements ops.Readiness.
func (d *Daemon) Ready() error {
	if !d.ready.Load() {
		return errNotReady
	}
	return nil
}

// Status implements ops.StatusSource.
func (d *Daemon) Status() any {
	return d.Report()
}

// Report returns the current status of the daemon.
func (d *Daemon) Report() Report {
	return Report{
		Name:                  d.settings.Name,
		Zone:                  d.settings.Zone.String(),
		Incarnation:           d.incarnation,
		ForwardedTotal:        d.metrics.forwarded.Count(),
		ReturnedTotal:         d.metrics.returned.Count(),
		PeerForwardsSentTotal: d.metrics.peerForwardsSent.Count(),
		ControlSentBytesTotal: d.metrics.controlSent.Count(),
		Status:                d.engine.Status(),
		TargetHealth:          d.health.report(time.Now()),
	}
}
