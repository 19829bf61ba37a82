package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
)

const minimalYAML = `name: entry-1
region: r
zone: a
data: 127.0.0.1:7001
peer: 127.0.0.1:7002
bulk: 127.0.0.1:7003
egress: 127.0.0.1:7009
platform:
  url: http://127.0.0.1:8500
`

const fullYAML = minimalYAML + `  watch_wait: 20s
  call_timeout: 2s
  calls_per_second: 2.5
  call_burst: 9
ops: 127.0.0.1:7004
metrics: 127.0.0.1:7005
key_files: [new.key, /etc/old.key]
tls: {cert_file: a.pem, key_file: a.key, ca_file: ca.pem}
seeds: ["127.0.0.1:7013", "127.0.0.1:7023"]
workers: 2
mtu: 1400
heartbeat_interval: 2s
log_batch_interval: 20ms
flow_idle_timeout: 10m
drain_timeout: 15s
log_level: debug
`

func parse(text string) (*Settings, error) {
	return Parse(yamldoc.Document{Name: "/etc/fireflypin/s.yaml", Data: []byte(text)})
}

func TestMinimalSettings(t *testing.T) {
	Convey("A minimal file on loopback gets every default", t, func() {
		s, err := parse(minimalYAML)
		So(err, ShouldBeNil)
		So(s.Ops, ShouldResemble, DefaultOps)
		So(s.MTU, ShouldEqual, DefaultMTU)
		So(s.HeartbeatInterval, ShouldEqual, 500*time.Millisecond)
		So(s.Platform.CallBurst, ShouldEqual, DefaultCallBurst)
		So(s.LogLevel, ShouldEqual, log.InfoLevel)
		So(s.Secure(), ShouldBeFalse)
		So(s.UsesPlatform(), ShouldBeTrue)
	})
}

func TestFullSettings(t *testing.T) {
	Convey("Every key is read, and relative paths are resolved against the file's directory", t, func() {
		s, err := parse(fullYAML)
		So(err, ShouldBeNil)
		So(s.KeyFiles, ShouldResemble, []string{"/etc/fireflypin/new.key", "/etc/old.key"})
		So(s.TLS.CAFile, ShouldEqual, "/etc/fireflypin/ca.pem")
		So(s.Platform.CallsPerSecond, ShouldEqual, 2.5)
		So(len(s.Seeds), ShouldEqual, 2)
		So(s.Metrics.String(), ShouldEqual, "127.0.0.1:7005")
		So(s.LogBatchInterval, ShouldEqual, 20*time.Millisecond)
		So(s.LogLevel, ShouldEqual, log.DebugLevel)
		So(s.Secure(), ShouldBeTrue)
	})
	Convey("Local files can be used instead of the platform", t, func() {
		text := strings.Split(minimalYAML, "platform:")[0] + "lists: {customers: c.yaml, plans: p.yaml, machines: m.yaml}\n"
		s, err := parse(text)
		So(err, ShouldBeNil)
		So(s.UsesPlatform(), ShouldBeFalse)
		So(s.Lists.Machines, ShouldEqual, "/etc/fireflypin/m.yaml")
	})
}

func TestInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "mtu: 1400", "mtuu: 1400", "mtuu: unknown key"},
		{"wrong unit", "drain_timeout: 15s", "drain_timeout: 15", `drain_timeout: "15" has no unit`},
		{"out of range", "heartbeat_interval: 2s", "heartbeat_interval: 2h", "heartbeat_interval: 2h0m0s is out of range"},
		{"missing", "region: r\n", "", "region: missing"},
		{"url", "http://127.0.0.1:8500", "127.0.0.1:8500", "platform.url: "},
		{"both sources", "workers: 2", "lists: {customers: a, plans: b, machines: c}", "lists: cannot be used together with platform"},
		{"no source", "platform:\n  url: http://127.0.0.1:8500\n  watch_wait: 20s\n  call_timeout: 2s\n  calls_per_second: 2.5\n  call_burst: 9\n", "", "platform: missing; either platform or lists is required"},
		{"same socket", "peer: 127.0.0.1:7002", "peer: 127.0.0.1:7001", "peer: 127.0.0.1:7001 is also the data address"},
		{"same metrics socket", "metrics: 127.0.0.1:7005", "metrics: 127.0.0.1:7004", "metrics: 127.0.0.1:7004 is also the ops or bulk address"},
		{"no key beyond loopback", "key_files: [new.key, /etc/old.key]\n", "", "key_files: missing"},
		{"no TLS beyond loopback", "tls: {cert_file: a.pem, key_file: a.key, ca_file: ca.pem}\n", "", "tls: missing"},
		{"incomplete TLS", ", ca_file: ca.pem", "", "tls.ca_file: missing"},
		{"three keys", "[new.key, /etc/old.key]", "[a, b, c]", "at most 2 keys"},
		{"seed", "127.0.0.1:7023", "127.0.0.1", `seeds[1]: "127.0.0.1" is no address with a port`},
		{"log level", "log_level: debug", "log_level: loud", `"loud" is not one of`},
	}
	Convey("Each error is reported with its key", t, func() {
		for _, c := range cases {
			text := strings.Replace(fullYAML, "bulk: 127.0.0.1:7003", "bulk: 192.0.2.1:7003", 1)
			So(text, ShouldContainSubstring, c.old)
			_, err := parse(strings.Replace(text, c.old, c.new, 1))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
	Convey("All errors of a file are reported together", t, func() {
		_, err := parse("colour: red\n")
		So(len(err.(yamldoc.Findings)), ShouldEqual, 9)
	})
}

func TestReload(t *testing.T) {
	Convey("A reload applies exactly the reloadable keys", t, func() {
		old, _ := parse(minimalYAML)
		updated, _ := parse(fullYAML)
		reloadable, restart := ChangedKeys(old, updated)
		So(reloadable, ShouldContain, "log_level")
		So(restart, ShouldContain, "workers")

		merged := Reload(old, updated)
		_, restartAfter := ChangedKeys(merged, updated)
		So(restartAfter, ShouldResemble, restart)
		applied, none := ChangedKeys(old, merged)
		So(applied, ShouldResemble, reloadable)
		So(none, ShouldBeEmpty)
	})
	Convey("There is exactly one value to compare for every key", t, func() {
		s, _ := parse(fullYAML)
		So(len(values(s)), ShouldEqual, len(Keys()))
	})
}
