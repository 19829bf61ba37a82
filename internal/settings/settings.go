package settings

import (
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/model"
)

// Settings is what a daemon is told by its operator.
type Settings struct {
	// Name is the entry VM's name in the list of machines. Key name; required.
	Name string
	// Zone is the entry VM's region and availability zone. Keys region and zone; required.
	Zone model.Zone
	// Data receives IP-in-UDP packets from the fabric and from endpoints. Key data; required.
	Data netip.AddrPort
	// Peer receives datagrams of other daemons. Key peer; required.
	Peer netip.AddrPort
	// Bulk serves calls of other daemons over TCP. Key bulk; required.
	Bulk netip.AddrPort
	// Ops serves metrics, health and status over HTTP. Key ops; default 127.0.0.1:9650.
	Ops netip.AddrPort
	// Metrics serves the same for collectors that reach the VM by a port of their own. Key metrics; default none.
	Metrics netip.AddrPort
	// Egress receives the IP-in-UDP packets of answers that go to callers. Key egress; required with
	// SteerOwners, unused else.
	Egress netip.AddrPort
	// Steering says how a packet finds its flow's target. Key steering; default owners.
	Steering Steering
	// Zones are the availability zones of the site, which name the regions of targets that publish a zone
	// alone. Key zones, each as region/zone; default none.
	Zones []model.Zone
	// TrustedPeers allows daemons to talk without keys and certificates on a network that carries nothing
	// else. Key peer_network, trusted or keyed; default keyed.
	TrustedPeers bool
	// MemoryLimit is the size in MiB that the process's memory must stay under. Key memory_limit; default 0,
	// which means none.
	MemoryLimit int
	// Link is the rate of the VM's network link in Mbit/s; daemons with faster ones read the platform for the
	// others. Key link; default 0, which means unknown.
	Link int

	// Platform is the source of the published lists; its URL is empty where Lists is used.
	Platform Platform
	// Lists names local files that are read in place of the platform.
	Lists Lists

	// Seeds are bulk addresses of a few other daemons, which a new daemon asks for the published lists when
	// the platform does not answer. Key seeds; default none.
	Seeds []netip.AddrPort

	// KeyFiles hold the shared keys of datagrams between daemons, one key of 32 or more bytes each, the
	// first used to sign and all to verify. Key key_files; default none, which is allowed only while data,
	// peer and bulk are loopback addresses.
	KeyFiles []string
	// TLS names the files that authenticate calls between daemons. Key tls; default none, under the same
	// condition as KeyFiles.
	TLS TLS

	// Workers is the number of goroutines that move packets. Key workers; default 0, which takes one for
	// each processor that the process may use.
	Workers int
	// MTU is the size in bytes of the largest inner packet that is passed on. Key mtu; default 1472.
	MTU int
	// HeartbeatInterval is the time between two heartbeats to a peer. Key heartbeat_interval; default 500 ms.
	HeartbeatInterval time.Duration
	// LogBatchInterval is the longest wait of an exception before it is sent to peers. Key
	// log_batch_interval; default 500 ms.
	LogBatchInterval time.Duration
	// FlowIdleTimeout is the time without packets after which a flow is forgotten. Key
	// flow_idle_timeout; default 15 min.
	FlowIdleTimeout time.Duration
	// DrainTimeout bounds the wait for hand-over in a planned stop. Key drain_timeout; default 30 s.
	DrainTimeout time.Duration
	// LogLevel is the least severe level that is logged. Key log_level; default info.
	LogLevel log.Level
}

// Steering is a way of finding a flow's target.
type Steering int

// The ways of steering.
const (
	// SteerOwners asks the flow's owner, for transports whose packets carry nothing of the system.
	SteerOwners Steering = iota
	// SteerTags reads the flow tag that both ends of a flow return.
	SteerTags
)

// String returns the way's name in the settings file.
func (s Steering) String() string {
	return steerings[s]
}

// steerings are the names in the settings file, by Steering.
var steerings = []string{"owners", "tags"}

// Platform says how the platform's service is reached.
type Platform struct {
	// URL is the address of the service, such as "http://192.0.2.1:8500". Key platform.url.
	URL string
	// WatchWait is how long one watch call waits for a change. Key platform.watch_wait; default 30 s.
	WatchWait time.Duration
	// CallTimeout bounds a call, in a watch on top of its wait. Key platform.call_timeout; default 5 s.
	CallTimeout time.Duration
	// CallsPerSecond is the daemon's own call budget over time. Key platform.calls_per_second; default 1.
	CallsPerSecond float64
	// CallBurst is the number of calls that may be made at once out of the budget. Key
	// platform.call_burst; default 6.
	CallBurst int
}

// Lists names local files with the published lists.
type Lists struct {
	// Customers, Plans and Machines are paths; relative ones are taken from the settings file's directory.
	// Keys lists.customers, lists.plans and lists.machines; all or none.
	Customers string
	Plans     string
	Machines  string
}

// TLS names the files for calls between daemons, in PEM form; relative paths are taken from the settings
// file's directory.
type TLS struct {
	// CertFile and KeyFile hold the daemon's certificate and private key. Keys tls.cert_file, tls.key_file.
	CertFile string
	KeyFile  string
	// CAFile holds the authorities that sign the daemons' certificates. Key tls.ca_file.
	CAFile string
}

// Secure reports whether datagrams and calls between daemons are authenticated.
func (s *Settings) Secure() bool {
	return len(s.KeyFiles) > 0 && s.TLS.CertFile != ""
}

// UsesPlatform reports whether the lists come from the platform and not from local files.
func (s *Settings) UsesPlatform() bool {
	return s.Platform.URL != ""
}
