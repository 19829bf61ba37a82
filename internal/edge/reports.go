package edge

import (
	"time"

	"github.com/fireflypin/fireflypin/internal/news"
)

// ownReports returns what the daemon's modules add to its heartbeats.
func (c *controlLoop) ownReports(now time.Time) []news.Report {
	return append(c.warmupReports(), c.d.gate.Reports(now)...)
}

// handleReports passes what other daemons added to their heartbeats to the modules that it is for. Reports of other
// kinds come from daemons of another release.
func (c *controlLoop) handleReports(now time.Time, a news.ReportsReceived) {
	c.d.gate.Received(now, a.From, a.Reports)
	for _, r := range a.Reports {
		if r.Kind == news.ReportZone {
			c.recordZoneSize(a.From, r)
		}
	}
}
