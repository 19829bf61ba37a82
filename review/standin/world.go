//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The ports of each machine, as on the users' example.
const (
	dataPort    = 8172
	readyPort   = 8167
	controlPort = 8166
	storePort   = 8169
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is one run of a case: its record, its store and the processes that it started.
type world struct {
	mu      sync.Mutex
	began   time.Time
	record  *os.File
	dir     string
	net     byte
	store   *store
	daemons []*daemon
	trouble bool
}

var current *world

// couldNotRun ends the run as one that says nothing about the rule.
func couldNotRun(format string, args ...any) {
	if current != nil {
		current.note("could not run: "+format, args...)
		current.end()
	}
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(exitNotRun)
}

func newWorld(recordPath string) *world {
	record, err := os.Create(recordPath)
	must(err)
	dir, err := os.MkdirTemp("", "fireflypin-review-")
	must(err)
	w := &world{began: time.Now(), record: record, dir: dir, net: byte(64 + os.Getpid()%128), trouble: os.Getenv("TROUBLE") != "0"}
	current = w
	w.note("run in the network 127.%d.0.0/16, TROUBLE=%v", w.net, w.trouble)
	w.store = newStore(netip.AddrPortFrom(w.ip(1, 1), storePort).String(), w.note)
	return w
}

func (w *world) ip(a, b int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(a), byte(b)})
}

// note writes a line to the record, with the seconds since the begin of the run.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// end ends all processes of the run.
func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Sync()
}

// finish judges the run and ends the process.
func (w *world) finish(broken bool, format string, args ...any) {
	verdict := fmt.Sprintf(format, args...)
	w.note("%s", verdict)
	fmt.Println(verdict)
	w.end()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// daemon is an entry VM with its process.
type daemon struct {
	w       *world
	name    string
	zone    string
	ip      netip.Addr
	cmd     *exec.Cmd
	mu      sync.Mutex
	running bool
	// store is where this machine reaches the store.
	store netip.AddrPort
}

func (d *daemon) data() netip.AddrPort { return netip.AddrPortFrom(d.ip, dataPort) }

// addDaemon adds an entry VM. Its settings follow deploy/settings.yaml.
func (w *world) addDaemon(name, zone string, ip netip.Addr) *daemon {
	d := &daemon{w: w, name: name, zone: zone, ip: ip, store: netip.AddrPortFrom(w.ip(1, 1), storePort)}
	w.daemons = append(w.daemons, d)
	return d
}

// settings are those of a small deployment (grace_s 6, 1,000 Mbit/s, 284 MB).
func (d *daemon) settings(zones, seeds []string) string {
	quoted := func(items []string) string {
		var out []string
		for _, s := range items {
			out = append(out, fmt.Sprintf("%q", s))
		}
		return strings.Join(out, ",")
	}
	var zs []string
	for _, z := range zones {
		zs = append(zs, "region/"+z)
	}
	return fmt.Sprintf(`name: %s
region: region
zone: %s
zones: [%s]
steering: tags
data: %v:%d
peer: %v:%d
bulk: %v:%d
peer_network: trusted
ops: %v:%d
metrics: %v:9650
seeds: [%s]
platform:
  url: http://%v
  watch_wait: 1500ms
drain_timeout: 6s
memory_limit: 284
link: 1000
`, d.name, d.zone, quoted(zs), d.ip, dataPort, d.ip, controlPort, d.ip, controlPort, d.ip, readyPort, d.ip, quoted(seeds), d.store)
}

// start starts the process by the run line of the deploy file.
func (d *daemon) start(zones, seeds []string) {
	path := filepath.Join(d.w.dir, d.name+".yaml")
	must(os.WriteFile(path, []byte(d.settings(zones, seeds)), 0o644))
	out, err := os.Create(filepath.Join(d.w.dir, d.name+".log"))
	must(err)
	d.cmd = exec.Command("target/fireflypind")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYPIN_BOOT=" + path}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(d.cmd.Start())
	_ = out.Close()
	d.running = true
	go func() {
		_ = d.cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running = false
	}()
}

func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		_ = d.cmd.Process.Kill()
	}
}

func (d *daemon) isRunning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

func (d *daemon) ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%v:%d/readyz", d.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (w *world) startAll() {
	var zones, seeds []string
	for _, d := range w.daemons {
		if !slices.Contains(zones, d.zone) {
			zones = append(zones, d.zone)
			if len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%v:%d", d.ip, controlPort))
			}
		}
	}
	for i := 0; len(seeds) < 3 && i < len(w.daemons); i++ {
		if s := fmt.Sprintf("%v:%d", w.daemons[i].ip, controlPort); !slices.Contains(seeds, s) {
			seeds = append(seeds, s)
		}
	}
	for _, d := range w.daemons {
		d.start(zones, seeds)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !d.ready() {
			if time.Now().After(deadline) || !d.isRunning() {
				couldNotRun("daemon %s did not become ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d daemons are ready", len(w.daemons))
}

// order sorts daemons by the order in which a zone's daemons read the store.
func order(ds []*daemon) []*daemon {
	hash := func(d *daemon) uint64 {
		b, _ := netip.AddrPortFrom(d.ip, controlPort).MarshalBinary()
		return xxhash.Sum64(b)
	}
	out := slices.Clone(ds)
	slices.SortFunc(out, func(a, b *daemon) int {
		if hash(a) < hash(b) {
			return -1
		}
		return 1
	})
	return out
}

func fixed(d *daemon) func() netip.AddrPort { return func() netip.AddrPort { return d.data() } }
