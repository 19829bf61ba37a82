package settings

import (
	"fmt"
	"strings"
)

// values returns the values of all settings as text, in the order of Keys.
func values(s *Settings) []string {
	all := []any{
		s.Name, s.Zone.Region, s.Zone.Name, s.Data, s.Peer, s.Bulk, s.Egress,
		s.Steering, s.Zones, s.TrustedPeers, s.MemoryLimit, s.Link, s.Warmup.Overage, s.Warmup.Slack, s.Ops, s.Metrics,
		s.Platform.URL, s.Platform.WatchWait, s.Platform.CallTimeout, s.Platform.CallsPerSecond, s.Platform.CallBurst,
		s.Lists.Customers, s.Lists.Plans, s.Lists.Machines, s.Seeds,
		strings.Join(s.KeyFiles, "\x00"), s.TLS.CertFile, s.TLS.KeyFile, s.TLS.CAFile,
		s.Workers, s.MTU, s.HeartbeatInterval, s.LogBatchInterval, s.FlowIdleTimeout, s.DrainTimeout, s.LogLevel,
	}
	texts := make([]string, len(all))
	for i, v := range all {
		texts[i] = fmt.Sprint(v)
	}
	return texts
}
