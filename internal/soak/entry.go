package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// healthCheckInterval is the interval of health checks of a daemon, healthCheckTimeout the time limit of one.
	healthCheckInterval = 500 * time.Millisecond
	healthCheckTimeout  = 450 * time.Millisecond
	// maxFailedHealthChecks is the number of consecutive failed health checks after which routers stop using a daemon.
	maxFailedHealthChecks = 2
	// drainTimeout is the daemons' drain timeout setting; stopGrace is the extra time allowed for a planned stop.
	drainTimeout = 6 * time.Second
	stopGrace    = 2 * time.Second
	// startupTime is how long a process may take until it catches stop requests. Until then SIGTERM ends it.
	startupTime = time.Second
)

// entry is an entry VM and its daemon process.
type entry struct {
	h          *harness
	name       string
	zone       string
	ip         netip.Addr
	storeProxy *proxy

	cmd *exec.Cmd
	// starts counts the processes started; a status response from an earlier process is ignored.
	starts int
	// stopping is true once a stop was requested; onExit, if not nil, runs when the process has exited.
	stopping bool
	onExit   func()
	// killed is true if the process was stopped with SIGKILL, so that its exit status does not matter.
	killed bool
	// startedAt is when the process was started, stoppedAt when it was asked to stop, and logSize the size of the log file at the
	// start, which it shares with earlier processes.
	startedAt, stoppedAt time.Time
	logSize              int64
	// ready and failedChecks are the routers' view: whether they use the daemon, and its consecutive failed health
	// checks.
	ready        bool
	failedChecks int
	// excusedUntil is the end of the daemon's last fault plus faultGrace; failures before that time are not attributed to
	// the daemon.
	excusedUntil time.Time
	// highestComplete and highestPlan are the highest position and version that the current process has reported.
	highestComplete Position
	highestPlan     uint64
}

func (e *entry) addrPort(port int) netip.AddrPort {
	return netip.AddrPortFrom(e.ip, uint16(e.h.port+port))
}

// The ports of a run, as offsets from Options.Port.
const (
	dataPort = iota
	peerPort
	opsPort
	targetPort
)

func (e *entry) settingsPath() string { return filepath.Join(e.h.dir, e.name+".yaml") }

func (e *entry) logPath() string { return filepath.Join(e.h.dir, e.name+".log") }

// logLength returns the size of the log file, 0 if it cannot be read.
func (e *entry) logLength() int64 {
	info, err := os.Stat(e.logPath())
	if err != nil {
		return 0
	}
	return info.Size()
}

// writeSettings writes the daemon's settings file; the daemon reaches the store through its proxy.
func (e *entry) writeSettings() error {
	var zones, seeds []string
	for _, z := range e.h.zones {
		zones = append(zones, fmt.Sprintf("%s/%s", e.h.regionOf(z), z))
	}
	for i, other := range e.h.entries {
		if i < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", other.addrPort(peerPort)))
		}
	}
	text := fmt.Sprintf(`name: %s
region: %s
zone: %s
zones: [%s]
steering: tags
data: %v
peer: %v
bulk: %v
peer_network: trusted
ops: %v
seeds: [%s]
platform:
  url: http://%s
  watch_wait: 1500ms
drain_timeout: %v
warmup:
  overage: %v
  slack: %v
`, e.name, e.h.regionOf(e.zone), e.zone, strings.Join(zones, ", "), e.addrPort(dataPort), e.addrPort(peerPort), e.addrPort(peerPort), e.addrPort(opsPort),
		strings.Join(seeds, ", "), e.storeProxy.addr(), drainTimeout, warmupOverage, warmupSlack)
	if err := os.WriteFile(e.settingsPath(), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// maxSeeds is the number of seed daemons in the settings.
const maxSeeds = 3

// start starts the daemon's process.
func (e *entry) start() {
	out, err := os.OpenFile(e.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		e.h.fail(fmt.Errorf("open the daemon's log file: %w", err))
		return
	}
	e.startedAt, e.logSize = time.Now(), e.logLength()
	cmd := exec.Command(e.h.binary, "--config", e.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the daemons if the soak process exits, so that none is left behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = out.Close() // the process has its own descriptor
	if err != nil {
		e.h.fail(fmt.Errorf("start %s: %w", e.name, err))
		return
	}
	e.cmd, e.stopping, e.onExit, e.highestComplete, e.highestPlan = cmd, false, nil, Position{}, 0
	e.starts++
	go func() {
		err := cmd.Wait()
		e.h.runOnLoop(func() { e.handleExit(cmd, err) })
	}()
}

// handleExit handles the exit of a process. A daemon that exits without a stop request is reported
// and restarted.
func (e *entry) handleExit(cmd *exec.Cmd, err error) {
	if e.cmd != cmd {
		return
	}
	e.cmd = nil
	if !e.stopping {
		e.h.reportViolation("runs", "%s exited without a stop request: %v", e.name, err)
		e.start()
		return
	}
	if err != nil && !e.killed && !e.stoppedAtStartup(err) {
		e.h.reportViolation("runs", "%s exited with an error after a stop request: %v", e.name, err)
	}
	if e.onExit != nil {
		e.onExit()
	}
}

// stoppedAtStartup reports whether the process was ended by SIGTERM before it was able to catch it: it was asked to stop within
// startupTime of its start and has logged nothing, while a daemon logs its start before it forwards anything.
func (e *entry) stoppedAtStartup(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && e.stoppedAt.Sub(e.startedAt) < startupTime && e.logLength() == e.logSize
}

// stop sends SIGTERM or SIGKILL to the process and calls onExit after its exit. It returns false if the process is
// not running or is already stopping.
func (e *entry) stop(signal syscall.Signal, onExit func()) bool {
	if e.cmd == nil || e.stopping {
		return false
	}
	e.stopping, e.onExit, e.killed = true, onExit, signal == syscall.SIGKILL
	e.stoppedAt = time.Now()
	e.signal(signal)
	return true
}

func (e *entry) signal(s syscall.Signal) {
	if e.cmd == nil {
		return
	}
	// The process may have exited already; handleExit handles that.
	_ = e.cmd.Process.Signal(s)
}

// poll polls the daemon's readiness and status until the run ends.
func (e *entry) poll(client *http.Client) {
	for range time.Tick(healthCheckInterval) {
		starts := make(chan int, 1)
		if !e.h.runOnLoop(func() { starts <- e.starts }) {
			return
		}
		n := <-starts
		base := fmt.Sprintf("http://%v", e.addrPort(opsPort))
		ready := get(client, base+"/readyz", nil)
		var st status
		statusReceived := get(client, base+"/status", &st)
		e.h.runOnLoop(func() {
			if statusReceived && n == e.starts && e.cmd != nil {
				e.statusReceived(st)
			}
			e.updateReady(ready)
		})
	}
}

// status is the part of a daemon's status that is checked.
type status struct {
	Era      uint64 `json:"era"`
	Complete uint64 `json:"complete"`
	Plan     uint64 `json:"plan"`
}

func get(client *http.Client, url string, into any) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return into == nil || json.NewDecoder(resp.Body).Decode(into) == nil
}

// updateReady updates the routers' view after a health check.
func (e *entry) updateReady(ready bool) {
	if ready {
		e.ready, e.failedChecks = true, 0
		return
	}
	e.failedChecks++
	if e.failedChecks >= maxFailedHealthChecks {
		e.ready = false
	}
}

// statusReceived records the reported position and version and checks that neither decreases during the lifetime of a
// process. Revisions are compared within an era only.
func (e *entry) statusReceived(st status) {
	at := Position{st.Era, st.Complete}
	if at.before(e.highestComplete) || st.Plan < e.highestPlan {
		e.h.reportViolation("revisions", "%s: reported position and version decreased from %v %d to %v %d", e.name, e.highestComplete, e.highestPlan, at, st.Plan)
	}
	if e.highestComplete.before(at) {
		e.highestComplete = at
	}
	e.highestPlan = max(e.highestPlan, st.Plan)
}
