package settings

import (
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflypin/fireflypin/model"
)

// Settings holds the operator's settings of a daemon.
type Settings struct {
	// Name is the entry VM's name in the list of machines. Key name; required.
	Name string
	// Zone is the entry VM's region and availability zone. Keys region and zone; required.
	Zone model.Zone
	// Data is the address that receives IP-in-UDP packets from the fabric and from endpoints. Key data; required.
	Data netip.AddrPort
	// Peer is the address that receives datagrams from other daemons. Key peer; required.
	Peer netip.AddrPort
	// Bulk is the TCP address that serves calls from other daemons. Key bulk; required.
	Bulk netip.AddrPort
	// Ops is the address that serves metrics, health and status over HTTP. Key ops; default 127.0.0.1:9650.
	Ops netip.AddrPort
	// Metrics is a second address that serves the same as Ops, for collectors that reach the VM by a fixed port.
	// Key metrics; default none.
	Metrics netip.AddrPort
	// Egress is the address to which IP-in-UDP packets with responses to callers are sent. Key egress;
	// required with SteerOwners, otherwise unused.
	Egress netip.AddrPort
	// Steering is how the target of a packet's flow is determined. Key steering; default owners.
	Steering Steering
	// Zones are the availability zones of the site. They give the region of targets that publish only their
	// zone. Key zones, each as region/zone; default none.
	Zones []model.Zone
	// TrustedPeers allows daemons to communicate without keys and certificates, on a network that carries no
	// other traffic. Key peer_network, trusted or keyed; default keyed.
	TrustedPeers bool
	// MemoryLimit is the limit of the process's memory, in MiB. Key memory_limit; default 0, which means none.
	MemoryLimit int
	// Link is the rate of the VM's network link, in Mbit/s. Daemons with faster links read the platform on
	// behalf of the others. Key link; default 0, which means unknown.
	Link int
	// Warmup bounds the new flows to targets that warm up and publish a rate.
	Warmup Warmup

	// Platform is the platform's service as the source of the published lists; its URL is empty if Lists is used
	// instead.
	Platform Platform
	// Lists names local files that are read instead of calling the platform.
	Lists Lists

	// Seeds are the bulk addresses of a few other daemons, from which a new daemon requests the published lists
	// if the platform does not respond. Key seeds; default none.
	Seeds []netip.AddrPort

	// KeyFiles are the paths of the shared keys for datagrams between daemons, one key of 32 or more bytes in
	// each file. The first key signs and all keys verify. Key key_files; default none, which is allowed only
	// with TrustedPeers or if data, peer and bulk are loopback addresses.
	KeyFiles []string
	// TLS names the files that authenticate calls between daemons. Key tls; default none, on the same condition
	// as for KeyFiles.
	TLS TLS

	// Workers is the number of goroutines that forward packets. Key workers; default 0, which means one for
	// each processor that the process may use.
	Workers int
	// MTU is the size of the largest inner packet that is forwarded, in bytes. Key mtu; default 1472.
	MTU int
	// HeartbeatInterval is the time between two heartbeats to a peer. Key heartbeat_interval; default 500 ms.
	HeartbeatInterval time.Duration
	// LogBatchInterval is the longest time before an exception, which is a flow whose target is not its
	// default one, is sent to peers. Key log_batch_interval; default 500 ms.
	LogBatchInterval time.Duration
	// FlowIdleTimeout is the time without packets after which a flow is removed. Key flow_idle_timeout;
	// default 15 min.
	FlowIdleTimeout time.Duration
	// DrainTimeout is the longest wait for the hand-off in a planned stop. Key drain_timeout; default 30 s.
	DrainTimeout time.Duration
	// LogLevel is the least severe level that is logged. Key log_level; default info.
	LogLevel log.Level
}

// Steering is a method of determining a flow's target.
type Steering int

// The steering methods.
const (
	// SteerOwners determines the target through the flow's owner, for transports whose packets cannot carry a
	// flow tag.
	SteerOwners Steering = iota
	// SteerTags reads the target from the flow tag, which both ends of a flow return in their packets.
	SteerTags
)

// String returns the method's name in the settings file.
func (s Steering) String() string {
	return steeringNames[s]
}

// steeringNames are the names of the methods in the settings file, indexed by Steering.
var steeringNames = []string{"owners", "tags"}

// Platform configures the calls to the platform's service.
type Platform struct {
	// URL is the address of the service, such as "http://192.0.2.1:8500". Key platform.url.
	URL string
	// WatchWait is how long one watch call waits for a change. Key platform.watch_wait; default 30 s.
	WatchWait time.Duration
	// CallTimeout is the timeout of a call; a watch call has it in addition to WatchWait. Key
	// platform.call_timeout; default 5 s.
	CallTimeout time.Duration
	// CallsPerSecond is the daemon's long-term rate limit of calls. Key platform.calls_per_second; default 1.
	CallsPerSecond float64
	// CallBurst is the number of calls that may be made at once within the rate limit. Key
	// platform.call_burst; default 6.
	CallBurst int
}

// Lists names local files that contain the published lists.
type Lists struct {
	// Customers, Plans and Machines are paths, with relative ones resolved against the settings file's directory.
	// Keys lists.customers, lists.plans and lists.machines; either all or none are set.
	Customers string
	Plans     string
	Machines  string
}

// TLS names the PEM files for calls between daemons, with relative paths resolved against the settings file's
// directory.
type TLS struct {
	// CertFile and KeyFile hold the daemon's certificate and private key. Keys tls.cert_file, tls.key_file.
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authorities that sign the daemons' certificates. Key tls.ca_file.
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

// Warmup is how many new flows a target that warms up may take in any second, over all daemons: its published rate
// times Overage, plus Slack.
type Warmup struct {
	// Overage is a factor of 1 or more. Key warmup.overage; default 1.
	Overage float64
	// Slack is a number of flows. Key warmup.slack; default 0.
	Slack float64
}
