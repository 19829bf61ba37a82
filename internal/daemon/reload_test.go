package daemon

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/internal/settings"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/model"
)

// directCalls implements Bulk with direct calls to the peer's engine, without sockets.
type directCalls struct{ site *site }

func (c directCalls) FetchSnapshots(_ context.Context, from *model.EntryVM, all bool) ([]flow.Snapshot, error) {
	for _, p := range c.site.processes {
		if p.Daemon.self == from.ID {
			return p.Daemon.engine.Snapshots(all), nil
		}
	}
	return nil, fmt.Errorf("fetch from %s: no such daemon", from.Name)
}

// site holds two daemons on an in-memory network and the directory with their settings, lists and key files.
type site struct {
	t         *testing.T
	dir       string
	processes [2]*Process
	logs      [2]bytes.Buffer
}

func (s *site) path(name string) string { return filepath.Join(s.dir, name) }

func (s *site) write(name, text string) {
	if err := os.WriteFile(s.path(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func settingsName(i int) string { return fmt.Sprintf("entry-%d.yaml", i) }

// writeSettings writes the settings file of daemon i with the given key files, in order, and the additional
// lines more.
func (s *site) writeSettings(i int, keys, more string) {
	s.write(settingsName(i), fmt.Sprintf(`name: entry-%d
region: r
zone: a
data: 127.0.0.%d:5555
peer: 127.0.0.%d:5556
bulk: 127.0.0.%d:5557
egress: 127.0.0.9:5558
lists: {customers: customers.yaml, plans: plans.yaml, machines: machines.yaml}
workers: 1
key_files: [%s]
%s`, i, i+1, i+1, i+1, keys, more))
}

func (s *site) writeMachines(revision int) {
	text := fmt.Sprintf("kind: machines\nrevision: %d\nendpoints: []\nentries:\n", revision)
	for i := range s.processes {
		text += fmt.Sprintf("- {name: entry-%d, region: r, zone: a, data: \"127.0.0.%d:5555\", peer: \"127.0.0.%d:5556\", bulk: \"127.0.0.%d:5557\"}\n", i, i+1, i+1, i+1)
	}
	s.write("machines.yaml", text)
}

func newSite(t *testing.T) *site {
	s := &site{t: t, dir: t.TempDir()}
	for id, name := range []string{"old.key", "new.key"} {
		secret := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{byte(id + 1)}, 32))
		s.write(name, fmt.Sprintf("active: %d\nkeys: [{id: %d, secret: %s}]\n", id+1, id+1, secret))
	}
	s.write("customers.yaml", "kind: customers\nrevision: 1\ncustomers: []\n")
	s.write("plans.yaml", "kind: plans\nrevision: 1\nservices: []\nplans: []\n")
	s.writeMachines(1)
	network := udpio.NewMemory(udpio.MemoryConfig{Seed: 1})
	for i := range s.processes {
		s.writeSettings(i, "old.key", "")
		loaded, err := settings.Load(s.path(settingsName(i)))
		So(err, ShouldBeNil)
		s.processes[i], err = NewProcess(Options{Settings: loaded, LogTo: &s.logs[i], Network: network, Now: time.Now()})
		So(err, ShouldBeNil)
		s.processes[i].Daemon.calls = directCalls{s}
	}
	return s
}

// run starts both daemons, calls during and kills the daemons when it returns.
func (s *site) run(during func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, p := range s.processes {
		go func() { _ = p.Daemon.Run(ctx) }()
	}
	defer s.kill()
	s.settle(15 * time.Second)
	during(ctx)
}

func (s *site) kill() {
	for _, p := range s.processes {
		p.Kill()
	}
	synctest.Wait()
}

func (s *site) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (s *site) reload(ctx context.Context, i int) error {
	return s.processes[i].Reload(ctx, s.path(settingsName(i)))
}

func (s *site) status(i int) core.Status { return s.processes[i].Daemon.Report().Status }

// together checks that both daemons see each other as owners and that neither dropped a datagram as forged.
func (s *site) together() {
	for i, p := range s.processes {
		st := s.status(i)
		So(st.Ready, ShouldBeTrue)
		So(len(st.Members), ShouldEqual, 2)
		for _, m := range st.Members {
			So(m.Owner, ShouldBeTrue)
		}
		So(p.Daemon.metrics.kinds.Count(errkind.PeerForged), ShouldEqual, 0)
	}
}

func TestReloadRotatesKeysWithoutACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Datagrams are accepted at each step of a key rotation by reloads", t, func() {
			s := newSite(t)
			s.run(func(ctx context.Context) {
				s.together()
				for _, keys := range []string{"old.key, new.key", "new.key, old.key", "new.key"} {
					for i := range s.processes {
						s.writeSettings(i, keys, "")
						So(s.reload(ctx, i), ShouldBeNil)
						s.settle(5 * time.Second)
						s.together()
					}
				}
				So(s.processes[0].keys.Keyring().Active(), ShouldEqual, 2)
			})
		})
	})
}

func TestReloadWithASkippedStepIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A daemon with only the old key rejects datagrams of a daemon with only the new key", t, func() {
			s := newSite(t)
			s.run(func(ctx context.Context) {
				s.writeSettings(0, "new.key", "")
				So(s.reload(ctx, 0), ShouldBeNil)
				s.settle(5 * time.Second)
				So(s.processes[1].Daemon.metrics.kinds.Count(errkind.PeerForged), ShouldBeGreaterThan, 0)
			})
		})
	})
}

func TestReloadRefusesFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Invalid files leave the settings unchanged, and one log line lists all errors", t, func() {
			s := newSite(t)
			s.write("short.key", "active: 1\nkeys: [{id: 1, secret: QUJD}]\n")
			s.run(func(ctx context.Context) {
				p := s.processes[0]
				before, ring := p.settings, p.keys.Keyring()
				for _, c := range []struct {
					keys, more string
					want       []string
				}{
					{"new.key", "log_level: loud\ncolour: red\ndrain_timeout: 3\n", []string{"log_level", "colour", "drain_timeout"}},
					{"short.key", "log_level: error\n", []string{"short.key"}},
					{"missing.key", "log_level: error\n", []string{"missing.key"}},
					{"", "log_level: error\n", []string{"key_files"}},
				} {
					s.writeSettings(0, c.keys, c.more)
					s.settle(0)
					s.logs[0].Reset()
					err := s.reload(ctx, 0)
					So(err, ShouldNotBeNil)
					s.settle(0)
					So(strings.Count(s.logs[0].String(), "event=refused"), ShouldEqual, 1)
					for _, want := range c.want {
						So(err.Error(), ShouldContainSubstring, want)
						So(s.logs[0].String(), ShouldContainSubstring, want)
					}
					So(p.settings, ShouldEqual, before)
					So(p.keys.Keyring(), ShouldEqual, ring)
					So(p.log.GetLevel(), ShouldEqual, log.InfoLevel)
				}
			})
		})
	})
}

func TestReloadPutsValuesInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The log level, drain timeout and list files change at once; other settings are logged as needing a restart", t, func() {
			s := newSite(t)
			s.run(func(ctx context.Context) {
				p := s.processes[0]
				s.writeSettings(0, "old.key", "log_level: warn\ndrain_timeout: 7s\nmtu: 1400\nflow_idle_timeout: 20m\n")
				s.writeMachines(2)
				So(s.reload(ctx, 0), ShouldBeNil)
				s.settle(time.Second)
				So(p.log.GetLevel(), ShouldEqual, log.WarnLevel)
				So(time.Duration(p.Daemon.drainTimeout.Load()), ShouldEqual, 7*time.Second)
				So(p.settings.MTU, ShouldEqual, settings.DefaultMTU)
				So(s.logs[0].String(), ShouldContainSubstring, "keys=mtu,flow_idle_timeout")
				So(s.status(0).Revisions.Machines, ShouldEqual, 2)
			})
		})
	})
}
