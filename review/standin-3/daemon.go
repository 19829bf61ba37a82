//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemon is a daemon of the deployment.
type daemon struct {
	w          *world
	n          int
	name, zone string
	cmd        *exec.Cmd
	exited     chan struct{}
	inRotation bool
	misses     int
	checkedAt  time.Time
	// startTime is how long it takes from its start until it is ready.
	startTime time.Duration
}

// start starts the daemon's process with the deploy file's command and settings as its template gives them.
func (d *daemon) start() error {
	path := filepath.Join(d.w.dir, d.name+".yaml")
	at := func(port uint16) string { return d.w.at(netDaemons, d.n, port).String() }
	var seeds []string
	for _, s := range d.w.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf(`name: %s
region: region-1
zone: %s
zones: ["%s/region-1","%s/region-1"]
steering: tags
data: %s
peer: %s
bulk: %s
peer_network: trusted
ops: %s
metrics: %s
seeds: [%s]
platform:
  url: http://%s
  watch_wait: 1500ms
drain_timeout: 6s
memory_limit: 284
link: 1000
`, d.name, d.zone, zoneOfClients, zoneOfTargets, at(d.w.ports.data), at(d.w.ports.control), at(d.w.ports.control), at(d.w.ports.ready),
		at(d.w.ports.metrics), strings.Join(seeds, ","), d.w.at(netStore, d.n, d.w.ports.store))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.w.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(d.w.options.daemon)
	d.cmd.Env = append(os.Environ(), "FIREFLYPIN_BOOT="+path)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	d.w.locked(func(now time.Time) { d.w.judge.note(now, "%s starts, process %d", d.name, d.cmd.Process.Pid) })
	return nil
}

// stop stops the daemon as planned: SIGTERM, and SIGKILL after the grace time.
func (d *daemon) stop() {
	d.w.locked(func(now time.Time) { d.w.judge.note(now, "%s gets SIGTERM", d.name) })
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(stopGrace):
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	d.w.locked(func(now time.Time) { d.w.judge.note(now, "%s has ended", d.name) })
}

// kill kills the daemon's process.
func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
}
