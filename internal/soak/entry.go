package soak

import (
	"encoding/json"
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
	// checkEvery is the interval of health checks of a daemon, checkTimeout the time limit of one.
	checkEvery   = 500 * time.Millisecond
	checkTimeout = 450 * time.Millisecond
	// rotationMisses is the number of consecutive failed health checks after which routers stop using a daemon.
	rotationMisses = 2
	// drainTimeout is the daemons' drain timeout setting; stopSlack is the extra time allowed for a planned stop.
	drainTimeout = 6 * time.Second
	stopSlack    = 2 * time.Second
)

// entry is an entry VM and its daemon process.
type entry struct {
	w     *world
	name  string
	zone  string
	ip    netip.Addr
	store *proxy

	cmd *exec.Cmd
	// starts counts the processes started; a status response from an earlier process is ignored.
	starts int
	// leaving is true once a stop was requested; then, if not nil, runs when the process has exited.
	leaving bool
	then    func()
	// killed is true if the process was stopped with SIGKILL, so that its exit status does not matter.
	killed bool
	// ready and misses are the routers' view: whether they use the daemon, and its consecutive failed health checks.
	ready  bool
	misses int
	// troubledUntil is the end of the last fault plus the grace time settle; failures before it are not attributed to
	// the daemon.
	troubledUntil time.Time
	// complete and plan are the highest revisions that the current process has reported.
	complete, plan uint64
}

func (e *entry) at(port int) netip.AddrPort {
	return netip.AddrPortFrom(e.ip, uint16(e.w.port+port))
}

// The ports of a run, as offsets from Options.Port.
const (
	dataPort = iota
	peerPort
	opsPort
	targetPort
)

func (e *entry) settingsPath() string { return filepath.Join(e.w.dir, e.name+".yaml") }

// settings writes the daemon's settings file; the daemon reaches the store through its proxy.
func (e *entry) settings() error {
	var zones, seeds []string
	for _, z := range e.w.zones {
		zones = append(zones, fmt.Sprintf("r/%s", z))
	}
	for i, other := range e.w.entries {
		if i < maxSeeds {
			seeds = append(seeds, fmt.Sprintf("%q", other.at(peerPort)))
		}
	}
	text := fmt.Sprintf(`name: %s
region: r
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
`, e.name, e.zone, strings.Join(zones, ", "), e.at(dataPort), e.at(peerPort), e.at(peerPort), e.at(opsPort),
		strings.Join(seeds, ", "), e.store.addr(), drainTimeout)
	if err := os.WriteFile(e.settingsPath(), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// maxSeeds is the number of seed daemons in the settings.
const maxSeeds = 3

// start starts the daemon's process.
func (e *entry) start() {
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		e.w.fail(fmt.Errorf("open the daemon's log file: %w", err))
		return
	}
	cmd := exec.Command(e.w.binary, "--config", e.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the daemons if the soak process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = out.Close() // the process has its own descriptor
	if err != nil {
		e.w.fail(fmt.Errorf("start %s: %w", e.name, err))
		return
	}
	e.cmd, e.leaving, e.then, e.complete, e.plan = cmd, false, nil, 0, 0
	e.starts++
	go func() {
		err := cmd.Wait()
		e.w.do(func() { e.exited(cmd, err) })
	}()
}

// exited handles the exit of a process. A daemon that exits without a request is reported and restarted.
func (e *entry) exited(cmd *exec.Cmd, err error) {
	if e.cmd != cmd {
		return
	}
	e.cmd = nil
	if !e.leaving {
		e.w.broken("runs", "%s exited without a stop request: %v", e.name, err)
		e.start()
		return
	}
	if err != nil && !e.killed {
		e.w.broken("runs", "%s exited with an error after a stop request: %v", e.name, err)
	}
	if e.then != nil {
		e.then()
	}
}

// stop sends SIGTERM or SIGKILL to the process and runs then after its exit. It returns false if the process is not
// running or is already stopping.
func (e *entry) stop(signal syscall.Signal, then func()) bool {
	if e.cmd == nil || e.leaving {
		return false
	}
	e.leaving, e.then, e.killed = true, then, signal == syscall.SIGKILL
	e.signal(signal)
	return true
}

func (e *entry) signal(s syscall.Signal) {
	if e.cmd == nil {
		return
	}
	// The process may have exited already; exited handles that.
	_ = e.cmd.Process.Signal(s)
}

// look polls the daemon's readiness and status until the run ends.
func (e *entry) look(client *http.Client) {
	for range time.Tick(checkEvery) {
		starts := make(chan int, 1)
		if !e.w.do(func() { starts <- e.starts }) {
			return
		}
		n := <-starts
		base := fmt.Sprintf("http://%v", e.at(opsPort))
		ready := get(client, base+"/readyz", nil)
		var st status
		told := get(client, base+"/status", &st)
		e.w.do(func() {
			if told && n == e.starts && e.cmd != nil {
				e.told(st)
			}
			e.checked(ready)
		})
	}
}

// status is the part of a daemon's status that is checked.
type status struct {
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

// checked updates the routers' view after a health check.
func (e *entry) checked(ready bool) {
	if ready {
		e.ready, e.misses = true, 0
		return
	}
	e.misses++
	if e.misses >= rotationMisses {
		e.ready = false
	}
}

// told checks that the reported revisions do not decrease during the lifetime of a process.
func (e *entry) told(st status) {
	if st.Complete < e.complete || st.Plan < e.plan {
		e.w.broken("revisions", "%s: reported revisions decreased from %d/%d to %d/%d", e.name, e.complete, e.plan, st.Complete, st.Plan)
	}
	e.complete, e.plan = max(e.complete, st.Complete), max(e.plan, st.Plan)
}
