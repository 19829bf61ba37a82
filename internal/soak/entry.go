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
	// checkEvery is the time between two looks at a daemon, checkTimeout how long it may take to answer one.
	checkEvery   = 500 * time.Millisecond
	checkTimeout = 450 * time.Millisecond
	// rotationMisses is how many looks may fail before a daemon gets no new packets.
	rotationMisses = 2
	// drainTimeout is the time for a planned stop that daemons' settings give, stopSlack what is allowed on top of it.
	drainTimeout = 6 * time.Second
	stopSlack    = 2 * time.Second
)

// entry is an entry VM with its daemon's process.
type entry struct {
	w     *world
	name  string
	zone  string
	ip    netip.Addr
	store *proxy

	cmd *exec.Cmd
	// starts counts the processes; a status of an earlier one tells nothing of this one.
	starts int
	// leaving is true from the end that was asked for on; then is what is done after it.
	leaving bool
	then    func()
	// killed is true where that end was not the process's own to make.
	killed bool
	// ready and misses are the routers' view.
	ready  bool
	misses int
	// troubledUntil is when its last fault is over and settled.
	troubledUntil time.Time
	// complete and plan are the highest revisions that this process has told.
	complete, plan uint64
}

func (e *entry) at(port int) netip.AddrPort {
	return netip.AddrPortFrom(e.ip, uint16(e.w.port+port))
}

// The ports of a run, as offsets from its first one.
const (
	dataPort = iota
	peerPort
	opsPort
	targetPort
)

func (e *entry) settingsPath() string { return filepath.Join(e.w.dir, e.name+".yaml") }

// settings writes the daemon's settings file.
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

// maxSeeds is how many daemons the settings name.
const maxSeeds = 3

// start starts the daemon's process.
func (e *entry) start() {
	out, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		e.w.fail(fmt.Errorf("open a log: %w", err))
		return
	}
	cmd := exec.Command(e.w.binary, "--config", e.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	// A soak that is killed leaves no daemon behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = out.Close() // the process has its own
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

// exited notes the end of a process.
func (e *entry) exited(cmd *exec.Cmd, err error) {
	if e.cmd != cmd {
		return
	}
	e.cmd = nil
	if !e.leaving {
		e.w.broken("runs", "%s ended by itself: %v", e.name, err)
		e.start()
		return
	}
	if err != nil && !e.killed {
		e.w.broken("runs", "%s was asked to stop and did not end well: %v", e.name, err)
	}
	if e.then != nil {
		e.then()
	}
}

// stop asks the process to end, or ends it, and does then afterwards.
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
	// A process that has just ended is reported by its wait.
	_ = e.cmd.Process.Signal(s)
}

// look asks the daemon whether it is ready and what it holds, until the run ends.
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

// status is the part of a daemon's status that promises rest on.
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

// checked keeps the routers' view.
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

// told checks that revisions do not go back in a process's lifetime.
func (e *entry) told(st status) {
	if st.Complete < e.complete || st.Plan < e.plan {
		e.w.broken("revisions", "%s went back from %d/%d to %d/%d", e.name, e.complete, e.plan, st.Complete, st.Plan)
	}
	e.complete, e.plan = max(e.complete, st.Complete), max(e.plan, st.Plan)
}
