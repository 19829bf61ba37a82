//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// entry is a target's registration.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

type flowKey struct{ caller, service netip.AddrPort }

type targetFlow struct {
	isn, callerISN, nextSeq, expected uint32
	echo                              uint32
	open                              bool
	// from is the daemon whose packet opened the flow, synSent when the caller sent that SYN.
	from    netip.AddrPort
	synAt   time.Time
	synCopy uint32
}

// target is a target: one UDP address for flows, and TCP at the same address for health probes.
type target struct {
	w        *world
	id       string
	guard    uint64
	addr     netip.AddrPort
	mu       sync.Mutex
	e        entry
	conn     *net.UDPConn
	flows    map[flowKey]*targetFlow
	maxFlows int
	nextISN  uint32
	// work is how long a request runs.
	work time.Duration
	// resets counts the resets that the target sent for flows that it does not hold.
	resets  int
	stopped chan struct{}
	taken   []taken
	health  *http.Server
}

// taken is an opening packet that a target took.
type taken struct {
	At      time.Time
	Caller  netip.AddrPort
	From    netip.AddrPort
	SYNCopy uint32
}

func (w *world) newTarget(id string, guard uint64, service, zone string, addr netip.AddrPort, maxFlows int) *target {
	t := &target{
		w: w, id: id, guard: guard, addr: addr, flows: make(map[flowKey]*targetFlow), maxFlows: maxFlows, nextISN: 5000,
		stopped: make(chan struct{}),
		e:       entry{Service: service, Address: addr.String(), Zone: zone, Version: "v1", Slots: 3, State: "ready", Born: time.Now().UnixMilli()},
	}
	var err error
	t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	must(err)
	l, err := net.Listen("tcp4", addr.String())
	must(err)
	t.health = &http.Server{Handler: http.HandlerFunc(func(h http.ResponseWriter, _ *http.Request) { h.Header().Set("Target-Id", id) })}
	go t.health.Serve(l)
	go t.read()
	go t.register()
	return t
}

// register writes the target's entry each heartbeat.
func (t *target) register() {
	for {
		t.mu.Lock()
		t.e.Sequence++
		e := t.e
		t.mu.Unlock()
		t.w.store.putEntry("servers/"+t.id, e)
		select {
		case <-time.After(heartbeat):
		case <-t.stopped:
			return
		}
	}
}

func (t *target) read() {
	buf := make([]byte, 4096)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < guardBytes {
			continue
		}
		if p, ok := parse(buf[guardBytes:n]); ok {
			t.receive(time.Now(), from, binary.BigEndian.Uint64(buf), p)
		}
	}
}

func (t *target) send(p pkt) {
	_, _ = t.conn.WriteToUDPAddrPort(p.bytes(), netip.AddrPortFrom(p.dst.Addr(), dataPort))
}

func (t *target) receive(now time.Time, from netip.AddrPort, guard uint64, p pkt) {
	if guard != 0 && guard != t.guard {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := t.flows[key]
	switch {
	case p.flags&syn != 0 && p.flags&ack == 0:
		if f == nil {
			if len(t.flows) >= t.maxFlows {
				t.w.note("target %s is full and stays silent on SYN of %v, copy %d, from daemon %v", t.id, p.src, p.ack, from.Addr())
				return
			}
			t.nextISN += 100000
			f = &targetFlow{isn: t.nextISN, callerISN: p.seq, nextSeq: t.nextISN + 1, expected: p.seq + 1, from: from, synAt: now, synCopy: p.ack}
			t.flows[key] = f
		}
		f.echo = p.echo
		t.send(pkt{src: p.dst, dst: p.src, seq: f.isn, ack: f.callerISN + 1, flags: syn | ack, echo: f.echo})
	case f == nil || !f.open && p.ack != f.isn+1:
		if p.flags&rst == 0 {
			t.resets++
			t.w.note("target %s of service %s got a packet of the flow of %v, which it does not hold, through daemon %v, and resets it", t.id, t.e.Service, p.src, from.Addr())
			t.send(pkt{src: p.dst, dst: p.src, seq: p.ack, ack: p.seq, flags: rst})
		}
	case p.flags&rst != 0:
		delete(t.flows, key)
	default:
		t.receiveOpen(key, f, p)
	}
}

func (t *target) receiveOpen(key flowKey, f *targetFlow, p pkt) {
	f.echo = p.echo
	if !f.open {
		f.open = true
		t.taken = append(t.taken, taken{At: f.synAt, Caller: key.caller, From: f.from, SYNCopy: f.synCopy})
		t.w.note("target %s of service %s took the flow of %v: SYN copy %d arrived through daemon %v", t.id, t.e.Service, key.caller, f.synCopy, f.from.Addr())
	}
	if len(p.data) > 0 && p.seq == f.expected {
		f.expected += uint32(len(p.data))
		t.w.note("target %s of service %s runs the request of %v", t.id, t.e.Service, key.caller)
		time.AfterFunc(t.work, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.flows[key] == f {
				t.respond(key, f)
			}
		})
	}
	if p.flags&fin != 0 {
		t.send(pkt{src: key.service, dst: key.caller, seq: f.nextSeq, ack: p.seq + uint32(len(p.data)) + 1, flags: ack | fin, echo: f.echo})
		delete(t.flows, key)
	}
}

// respond ends a request with its response.
func (t *target) respond(key flowKey, f *targetFlow) {
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", t.id, len(t.e.Service), t.e.Service)
	t.send(pkt{src: key.service, dst: key.caller, seq: f.nextSeq, ack: f.expected, flags: ack, echo: f.echo, data: []byte(body)})
	f.nextSeq += uint32(len(body))
}

func (t *target) takenCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.taken)
}
