//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is a daemon process and what the routers know of it.
type daemon struct {
	w       *world
	n       int
	name    string
	zone    string
	dir     string
	cmd     *exec.Cmd
	exited  chan struct{}
	rotated bool
	misses  int
}

// zones are the availability zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// writeSettings writes the daemon's settings as deploy/settings.yaml renders them.
func (d *daemon) writeSettings() error {
	var names, seeds []string
	for _, z := range zones {
		names = append(names, fmt.Sprintf("%q", "region/"+z))
	}
	for _, other := range d.w.daemons[:min(3, len(d.w.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", addr(1, other.n, d.w.ports.control)))
	}
	p := d.w.ports
	text := fmt.Sprintf(`name: %s
region: region
zone: %s
zones: [%s]
steering: tags
data: %v
peer: %v
bulk: %v
peer_network: trusted
ops: %v
metrics: %v
seeds: [%s]
platform:
  url: http://%v
  watch_wait: 1500ms
drain_timeout: 6s
memory_limit: 284
link: 1000.0
`, d.name, d.zone, strings.Join(names, ","), addr(1, d.n, p.data), addr(1, d.n, p.control), addr(1, d.n, p.control), addr(1, d.n, p.ops),
		addr(1, d.n, p.metrics), strings.Join(seeds, ","), addr(9, 1, p.store))
	return os.WriteFile(d.settings(), []byte(text), 0o644)
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.name+".yaml") }

// addDaemon adds a daemon that is not started yet.
func (w *world) addDaemon(zone, dir string) {
	n := len(w.daemons) + 1
	w.daemons = append(w.daemons, &daemon{w: w, n: n, name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, dir: dir})
}

// start starts the daemon's process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	d.cmd = exec.Command("target/fireflypind")
	d.cmd.Env = []string{"FIREFLYPIN_BOOT=" + d.settings(), "PATH=" + os.Getenv("PATH")}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	// The kernel ends the daemon if this process ends first.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(exited)
	}()
	d.w.log("%s started", d.name)
	return nil
}

// kill ends the daemon's process and waits for its end.
func (d *daemon) kill() {
	if d.cmd != nil {
		_ = d.cmd.Process.Kill() // an error means that it has ended
		<-d.exited
	}
}

// terminate asks the daemon to stop.
func (d *daemon) terminate() {
	_ = d.cmd.Process.Signal(syscall.SIGTERM) // an error means that it has ended
	d.w.log("%s gets SIGTERM", d.name)
}

// running reports whether the process has not ended.
func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

const (
	// readinessInterval is the interval of the routers' readiness checks, readinessTimeout the time for one.
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
)

// checkReadiness plays the routers' readiness checks.
func (d *daemon) checkReadiness() {
	client := &http.Client{Timeout: readinessTimeout}
	url := fmt.Sprintf("http://%v/readyz", addr(1, d.n, d.w.ports.ops))
	for range time.Tick(readinessInterval) {
		resp, err := client.Get(url)
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		d.w.mu.Lock()
		d.setReady(ready)
		d.w.mu.Unlock()
	}
}

func (d *daemon) setReady(ready bool) {
	if ready {
		d.misses = 0
	} else {
		d.misses++
	}
	if rotated := ready || d.rotated && d.misses < 2; rotated != d.rotated {
		d.rotated = rotated
		d.w.log("%s in rotation: %v", d.name, rotated)
	}
}

// routed returns the daemon of a zone that gets a flow's packets: the first of those in rotation by a steady hash, or of
// all if fewer than half of them are.
func (w *world) routed(zone string, key flowKey) *daemon {
	var all, in []*daemon
	for _, d := range w.daemons {
		if d.zone == zone {
			all = append(all, d)
			if d.rotated {
				in = append(in, d)
			}
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *daemon
	var highest uint64
	for _, d := range in {
		h := fnv.New64a()
		fmt.Fprint(h, key.client, key.route, d.n)
		if n := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || n > highest {
			best, highest = d, n
		}
	}
	return best
}
