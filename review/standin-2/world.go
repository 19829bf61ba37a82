//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world is a small deployment on loopback addresses. Its state is under one lock; the handlers of sockets and the ticker
// take it.
type world struct {
	mu      sync.Mutex
	dir     string
	record  *os.File
	started time.Time
	trouble bool

	ports   ports
	store   *store
	daemons []*daemon
	targets []*target
	clients []*client
	routes  []route
	version int

	// violations counts the packets that broke the rule; opened and answered count flows and requests.
	violations, opened, answered, resets int
}

// ports are the ports of a day, which all machines share.
type ports struct {
	data, control, ops, target, store, metrics uint16
}

// route is a route of the manifest.
type route struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Kind    string `json:"kind"`
	Timeout int    `json:"timeout_ms"`
	Goal    int    `json:"latency_goal_ms"`
	Level   int    `json:"priority"`
	Service string `json:"service"`
}

func newWorld(dir string) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.ports, err = freePorts(); err != nil {
		return nil, err
	}
	w.store, err = startStore(addr(9, 1, w.ports.store))
	return w, err
}

// freePorts returns ports that nothing listens on.
func freePorts() (ports, error) {
	var got [6]uint16
	for i := range got {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		got[i] = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	return ports{got[0], got[1], got[2], got[3], got[4], got[5]}, nil
}

// addr returns a loopback address of this deployment: 1 for daemons, 2 for targets, 3 for clients, 9 for the store.
func addr(kind, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(kind), byte(n)}), port)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// publish writes the manifest.
func (w *world) publish(services ...string) {
	w.version += 3
	var specs []map[string]any
	for _, name := range services {
		specs = append(specs, map[string]any{"name": name, "health_path": "/health", "max_connections": 2000})
	}
	text, err := json.Marshal(map[string]any{
		"version": w.version, "routes": w.routes, "services": specs, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // cannot happen: all types can be encoded
	}
	w.store.put("op/config", text)
	w.log("operator: manifest %d with %d routes", w.version, len(w.routes))
}

// tickInterval is the resolution of the timers of clients and targets.
const tickInterval = 5 * time.Millisecond

// run lets time pass.
func (w *world) run(d time.Duration) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		now := <-ticker.C
		w.mu.Lock()
		for _, t := range w.targets {
			t.tick(now)
		}
		for _, c := range w.clients {
			c.tick(now)
		}
		w.mu.Unlock()
	}
}

// runUntil lets time pass until a condition holds, at most for a time, and reports whether it does.
func (w *world) runUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		w.run(50 * time.Millisecond)
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// listen opens a UDP socket and passes what it receives to handle, under the world's lock.
func (w *world) listen(at netip.AddrPort, handle func(now time.Time, from netip.AddrPort, b []byte)) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20) // a smaller buffer serves as well
	go func() {
		b := make([]byte, 4096)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			w.mu.Lock()
			handle(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), append([]byte(nil), b[:n]...))
			w.mu.Unlock()
		}
	}()
	return conn, nil
}

// close ends all processes that the world started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.log("flows opened %d, requests answered %d, resets of daemons on open flows %d, of these against the rule %d", w.opened, w.answered, w.resets, w.violations)
	_ = w.record.Close() // nothing is left to do about an error
}
