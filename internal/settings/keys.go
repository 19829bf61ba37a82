package settings

// Key describes one key of the settings file, for the operators' documentation and for reloading.
type Key struct {
	Name string
	// Unit is the unit or the format of the value.
	Unit string
	// Default is the value used if the key is absent, or "required".
	Default string
	// Reloadable is true if a running daemon applies a new value without a restart.
	Reloadable bool
	// Effect says what the key controls.
	Effect string
}

// Keys returns every key of the settings file. It is the only place that defines which keys are reloadable.
func Keys() []Key {
	return []Key{
		{"name", "name", "required", false, "the entry VM's name in the list of machines"},
		{"region", "name", "required", false, "the region of the entry VM"},
		{"zone", "name", "required", false, "the availability zone of the entry VM"},
		{"data", "address:port", "required", false, "UDP socket for IP-in-UDP packets from the fabric and from endpoints"},
		{"peer", "address:port", "required", false, "UDP socket for datagrams of other daemons"},
		{"bulk", "address:port", "required", false, "TCP socket for calls of other daemons"},
		{"egress", "address:port", "required with owners", false, "receiver of IP-in-UDP packets that carry answers to callers"},
		{"steering", "owners or tags", "owners", false, "how a packet finds its flow's target: by the flow's owner, or by the tag that the transport's ends return"},
		{"zones", "list of region/zone", "none", false, "availability zones of the site; they name the regions of targets that publish a zone alone"},
		{"peer_network", "keyed or trusted", "keyed", false, "trusted lets daemons talk without keys and certificates, on a network that carries nothing else"},
		{"memory_limit", "MiB, 0 to 1048576", "0", false, "size that the process's memory must stay under; 0 means none"},
		{"link", "Mbit/s, 0 to 1048576", "0", false, "rate of the VM's network link; daemons with faster ones read the platform for the others; 0 means unknown"},
		{"warmup.overage", "1 to 10", "1", false, "factor by which a target that warms up may exceed its published rate of new flows"},
		{"warmup.slack", "flows, 0 to 1000", "0", false, "new flows of any second that a target that warms up may take beyond that"},
		{"ops", "address:port", "127.0.0.1:9650", false, "TCP socket for metrics, health and status over HTTP"},
		{"metrics", "address:port", "none", false, "second TCP socket that serves the same as ops, for collectors that reach the VM by a fixed port"},
		{"platform.url", "URL", "required without lists", false, "the platform's service that publishes the lists"},
		{"platform.watch_wait", "duration, 1s to 10m", "30s", false, "how long one watch call waits for a change"},
		{"platform.call_timeout", "duration, 100ms to 1m", "5s", false, "how long a call may take; a watch gets it on top of its wait"},
		{"platform.calls_per_second", "calls per second, 0.01 to 1000", "1", false, "this daemon's own call budget over time"},
		{"platform.call_burst", "calls, 4 to 1000", "6", false, "calls that may be made at once out of the budget"},
		{"lists.customers", "path", "required without platform", false, "local file in place of the platform's list of customers"},
		{"lists.plans", "path", "required without platform", false, "local file in place of the platform's list of plans"},
		{"lists.machines", "path", "required without platform", false, "local file in place of the platform's list of machines"},
		{"seeds", "list of address:port", "none", false, "bulk addresses of a few daemons that a new one asks for lists when the platform does not answer"},
		{"key_files", "list of 1 or 2 paths", "none; required beyond loopback", true, "shared keys of datagrams between daemons: the first signs, all verify"},
		{"tls.cert_file", "path", "none; required beyond loopback", false, "certificate for calls between daemons"},
		{"tls.key_file", "path", "required with tls", false, "private key of the certificate"},
		{"tls.ca_file", "path", "required with tls", false, "authorities that sign the daemons' certificates"},
		{"workers", "goroutines, 0 to 1024", "0", false, "goroutines that move packets; 0 takes one for each processor"},
		{"mtu", "bytes, 576 to 65000", "1472", false, "largest inner packet that is passed on"},
		{"heartbeat_interval", "duration, 300ms to 10s", "500ms", false, "time between two heartbeats to a peer; a death is noticed after three, a cut-off zone after five, and a gap of one in the process counts as a pause"},
		{"log_batch_interval", "duration, 1ms to 5s", "500ms", false, "longest wait of an exception before it is sent to peers"},
		{"flow_idle_timeout", "duration, 10s to 24h", "15m", false, "time without packets after which a flow is forgotten"},
		{"drain_timeout", "duration, 1s to 1h", "30s", true, "longest wait for hand-over in a planned stop"},
		{"log_level", "debug, info, warn or error", "info", true, "least severe level that is logged"},
	}
}

// ChangedKeys returns the keys whose values differ between two settings: those that a running daemon applies
// on a reload, and those that need a restart.
func ChangedKeys(old, updated *Settings) (reloadable, restart []string) {
	before, after := values(old), values(updated)
	for i, k := range Keys() {
		switch {
		case before[i] == after[i]:
		case k.Reloadable:
			reloadable = append(reloadable, k.Name)
		default:
			restart = append(restart, k.Name)
		}
	}
	return reloadable, restart
}

// Reload returns the settings that are in effect after a reload: the old settings with the reloadable
// values of the new ones.
func Reload(old, updated *Settings) *Settings {
	s := *old
	s.KeyFiles = updated.KeyFiles
	s.DrainTimeout = updated.DrainTimeout
	s.LogLevel = updated.LogLevel
	return &s
}
