package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

// Defaults of optional settings. DefaultMTU is in bytes, DefaultCallsPerSecond in calls per second and
// DefaultCallBurst in calls.
const (
	DefaultMTU               = 1472
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultLogBatchInterval  = 500 * time.Millisecond
	DefaultFlowIdleTimeout   = 15 * time.Minute
	DefaultDrainTimeout      = 30 * time.Second
	DefaultWatchWait         = 30 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	DefaultCallsPerSecond    = 1
	DefaultCallBurst         = 6
)

// DefaultOps is the default address on which metrics, health and status are served.
var DefaultOps = netip.MustParseAddrPort("127.0.0.1:9650")

// Load reads and validates a settings file. If the file can be read, the error is a yamldoc.Findings that lists
// every error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(yamldoc.Document{Name: path, Data: data})
}

// Parse parses and validates the text of a settings file. Relative paths in it are resolved against the
// directory of the document's name. The error is a yamldoc.Findings that lists every error.
func Parse(d yamldoc.Document) (*Settings, error) {
	s := &Settings{}
	findings := yamldoc.Read(d, func(m *yamldoc.Map) {
		r := reader{m: m, dir: filepath.Dir(d.Name)}
		s.Steering = Steering(r.m.Choice("steering", steeringNames...))
		r.readIdentityAndAddresses(s)
		r.readZones(s)
		r.readListSource(s)
		r.readSeeds(s)
		r.readSecurity(s)
		r.readTuning(s)
		r.checkAddresses(s)
	})
	if len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

// reader holds the state of parsing one settings file.
type reader struct {
	m   *yamldoc.Map
	dir string
}

func (r *reader) readIdentityAndAddresses(s *Settings) {
	s.Name = r.m.Name("name")
	s.Zone.Region = r.m.Name("region")
	s.Zone.Name = r.m.Name("zone")
	s.Data = r.m.RequiredAddress("data")
	s.Peer = r.m.RequiredAddress("peer")
	s.Bulk = r.m.RequiredAddress("bulk")
	if s.Steering == SteerOwners || r.m.Has("egress") {
		s.Egress = r.m.RequiredAddress("egress")
	}
	s.Ops = DefaultOps
	if r.m.Has("ops") {
		s.Ops = r.m.Address("ops")
	}
	if r.m.Has("metrics") {
		s.Metrics = r.m.Address("metrics")
	}
}

func (r *reader) readZones(s *Settings) {
	items := r.m.Texts("zones", false)
	for i := range items {
		region, zone, ok := strings.Cut(items[i].Text, "/")
		if !ok || !yamldoc.ValidName(region) || !yamldoc.ValidName(zone) {
			items[i].AddFinding("%q is not of the form region/zone", items[i].Text)
			continue
		}
		s.Zones = append(s.Zones, model.Zone{Region: region, Name: zone})
	}
}

// readListSource reads the source of the published lists: the platform or local files.
func (r *reader) readListSource(s *Settings) {
	switch platform, files := r.m.Has("platform"), r.m.Has("lists"); {
	case platform && files:
		r.m.AddFinding("lists", "cannot be used together with platform")
	case !platform && !files:
		r.m.AddFinding("platform", "missing; either platform or lists is required")
	}
	r.m.Map("platform", func(m *yamldoc.Map) { s.Platform = readPlatform(m) })
	r.m.Map("lists", func(m *yamldoc.Map) {
		s.Lists = Lists{
			Customers: r.resolvePath(m.RequiredText("customers")),
			Plans:     r.resolvePath(m.RequiredText("plans")),
			Machines:  r.resolvePath(m.RequiredText("machines")),
		}
	})
}

func (r *reader) readSeeds(s *Settings) {
	items := r.m.Texts("seeds", false)
	for i := range items {
		a, reason := yamldoc.ParseAddress(items[i].Text)
		if reason != "" {
			items[i].AddFinding("%s", reason)
			continue
		}
		s.Seeds = append(s.Seeds, a)
	}
}

func readPlatform(m *yamldoc.Map) Platform {
	p := Platform{
		URL:            m.RequiredText("url"),
		WatchWait:      m.Duration("watch_wait", DefaultWatchWait, time.Second, 10*time.Minute),
		CallTimeout:    m.Duration("call_timeout", DefaultCallTimeout, 100*time.Millisecond, time.Minute),
		CallsPerSecond: m.Number("calls_per_second", DefaultCallsPerSecond, 0.01, 1000),
		CallBurst:      int(m.Uint("call_burst", DefaultCallBurst, 4, 1000)),
	}
	u, err := url.Parse(p.URL)
	if p.URL != "" && (err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https") {
		m.AddFinding("url", "%q is not an http or https URL", p.URL)
	}
	return p
}

func (r *reader) readSecurity(s *Settings) {
	s.TrustedPeers = r.m.Choice("peer_network", "keyed", "trusted") == 1
	items := r.m.Texts("key_files", false)
	for i := range items {
		if items[i].Text == "" {
			items[i].AddFinding("must not be empty")
		}
		s.KeyFiles = append(s.KeyFiles, r.resolvePath(items[i].Text))
	}
	if len(s.KeyFiles) > 2 {
		r.m.AddFinding("key_files", "names %d files; at most 2 keys are in use at a time", len(s.KeyFiles))
	}
	r.m.Map("tls", func(m *yamldoc.Map) {
		s.TLS = TLS{
			CertFile: r.resolvePath(m.RequiredText("cert_file")),
			KeyFile:  r.resolvePath(m.RequiredText("key_file")),
			CAFile:   r.resolvePath(m.RequiredText("ca_file")),
		}
	})
}

// resolvePath resolves a relative path against the directory of the settings file.
func (r *reader) resolvePath(p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(r.dir, p)
}

// logLevels are the log levels in the order of the choices for log_level.
var logLevels = []log.Level{log.InfoLevel, log.DebugLevel, log.WarnLevel, log.ErrorLevel}

func (r *reader) readTuning(s *Settings) {
	s.Workers = int(r.m.Uint("workers", 0, 0, 1024))
	s.MTU = int(r.m.Uint("mtu", DefaultMTU, 576, 65000))
	s.HeartbeatInterval = r.m.Duration("heartbeat_interval", DefaultHeartbeatInterval, 300*time.Millisecond, 10*time.Second)
	s.LogBatchInterval = r.m.Duration("log_batch_interval", DefaultLogBatchInterval, time.Millisecond, 5*time.Second)
	s.FlowIdleTimeout = r.m.Duration("flow_idle_timeout", DefaultFlowIdleTimeout, 10*time.Second, 24*time.Hour)
	s.DrainTimeout = r.m.Duration("drain_timeout", DefaultDrainTimeout, time.Second, time.Hour)
	s.MemoryLimit = int(r.m.Uint("memory_limit", 0, 0, 1<<20))
	s.Link = int(r.m.Number("link", 0, 0, 1<<20))
	s.Warmup = Warmup{Overage: 1}
	r.m.Map("warmup", func(m *yamldoc.Map) {
		s.Warmup.Overage = m.Number("overage", 1, 1, 10)
		s.Warmup.Slack = m.Number("slack", 0, 0, 1000)
	})
	s.LogLevel = logLevels[r.m.Choice("log_level", "info", "debug", "warn", "error")]
}

// checkAddresses reports sockets with the same address, and missing keys and certificates if a socket for other
// daemons is reachable from other machines.
func (r *reader) checkAddresses(s *Settings) {
	if s.Data.IsValid() && s.Data == s.Peer {
		r.m.AddFinding("peer", "%s is also the data address", s.Peer)
	}
	if s.Bulk.IsValid() && s.Bulk == s.Ops {
		r.m.AddFinding("ops", "%s is also the bulk address", s.Ops)
	}
	if s.Metrics.IsValid() && (s.Metrics == s.Ops || s.Metrics == s.Bulk) {
		r.m.AddFinding("metrics", "%s is also the ops or bulk address", s.Metrics)
	}
	if s.TrustedPeers || isLoopback(s.Data) && isLoopback(s.Peer) && isLoopback(s.Bulk) {
		return
	}
	if len(s.KeyFiles) == 0 {
		r.m.AddFinding("key_files", "missing; required unless data, peer and bulk are loopback addresses")
	}
	if s.TLS.CertFile == "" && !r.m.Has("tls") {
		r.m.AddFinding("tls", "missing; required unless data, peer and bulk are loopback addresses")
	}
}

// isLoopback reports whether an address is reachable only from the same machine. It returns true also for
// an invalid address, since its error is already reported.
func isLoopback(a netip.AddrPort) bool {
	return !a.IsValid() || a.Addr().IsLoopback()
}
