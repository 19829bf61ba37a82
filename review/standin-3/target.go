//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// firstRetransmit doubles with each retransmission up to maxRetransmit; a target gives up after maxRetransmits.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxRetransmits  = 8
	workTime        = 40 * time.Millisecond
	responseBytes   = 600
)

// target is a target that lives for the whole play. Its methods need the world's lock.
type target struct {
	w     *world
	id    string
	zone  string
	guard uint64
	addr  netip.AddrPort
	conn  *net.UDPConn
	// probes serves health checks; it is closed while the target is cut off.
	probes  net.Listener
	flows   map[ends]*targetFlow
	runs    int
	refused int
}

// ends are the addresses of a flow.
type ends struct{ client, route netip.AddrPort }

// targetFlow is a target's state of a flow.
type targetFlow struct {
	open               bool
	clientSeq, initial uint32
	expected, next     uint32
	echo               uint32
	// unacknowledged is what is sent again at resendAt.
	unacknowledged *segment
	resendAt       time.Time
	interval       time.Duration
	resends        int
	// answerAt is when the request in progress is answered.
	answerAt time.Time
}

func (w *world) newTarget(n int) (*target, error) {
	t := &target{w: w, zone: zoneOfTargets, guard: w.rand.Uint64()>>32<<8 | uint64(n), flows: make(map[ends]*targetFlow)}
	if n <= w.nearTargets {
		t.zone = zoneOfClients
	}
	t.id = fmt.Sprintf("i-%x", t.guard)
	t.addr = w.at(netTargets, n, w.ports.target)
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.addr)); err != nil {
		return nil, err
	}
	if err := t.listen(); err != nil {
		return nil, err
	}
	entry, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": t.addr.String(), "zone": t.zone, "version": "v1", "slots": 40, "state": "ready",
		"warmup_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	w.store.put("servers/"+t.id, entry)
	go w.receive(t.conn, func(now time.Time, raw []byte) {
		guard, s, ok := decodeFrame(raw)
		if !ok || w.lost() {
			return
		}
		t.delayed(now, func(now time.Time) { t.handle(now, guard, &s) })
	})
	return t, nil
}

// listen begins to serve health checks.
func (t *target) listen() error {
	l, err := net.Listen("tcp4", t.addr.String())
	if err != nil {
		return err
	}
	t.probes = l
	go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Target-Id", t.id) })) // until l is closed
	return nil
}

// delayed does what a packet on the link to the target's zone brings about, after the link's delay. A cut link loses the packet.
func (t *target) delayed(now time.Time, do func(now time.Time)) {
	if t.w.linkDelay == 0 || t.zone == zoneOfClients {
		do(now)
		return
	}
	time.AfterFunc(t.w.linkDelay, func() {
		t.w.locked(func(now time.Time) {
			if !t.w.cut {
				do(now)
			}
		})
	})
}

// handle handles a packet.
func (t *target) handle(now time.Time, guard uint64, s *segment) {
	if guard != 0 && guard != t.guard {
		return
	}
	k := ends{client: s.src, route: s.dst}
	f := t.flows[k]
	t.w.judge.arrived(now, k, t, s)
	t.w.judge.trace(now, k, "target %s gets %v", t.id, s)
	switch {
	case s.has(flagSYN):
		if f == nil || f.clientSeq != s.seq {
			f = &targetFlow{clientSeq: s.seq, expected: s.seq + 1, initial: t.w.rand.Uint32()}
			f.next = f.initial + 1
			t.flows[k] = f
		} else if f.open {
			return
		}
		f.echo = s.echo
		t.transmit(now, k, f, &segment{seq: f.initial, flags: flagSYN | flagACK})
	case f == nil, !f.open && s.ack != f.initial+1:
		if !s.has(flagRST) {
			// It does not hold the flow.
			t.refused++
			t.w.judge.note(now, "target %s holds no flow %v and answers a packet of it with a reset", t.id, k.client)
			t.send(k, &segment{seq: s.ack, flags: flagRST})
		}
	case s.has(flagRST):
		delete(t.flows, k)
	default:
		t.handleOpen(now, k, f, s)
	}
}

func (t *target) handleOpen(now time.Time, k ends, f *targetFlow, s *segment) {
	if !f.open {
		f.open, f.unacknowledged = true, nil
		t.w.judge.opened(now, k, t)
	}
	f.echo = s.echo
	if f.unacknowledged != nil && s.ack == f.unacknowledged.seq+f.unacknowledged.length() {
		f.unacknowledged = nil
	}
	switch {
	case s.length() == 0:
	case s.seq != f.expected:
		t.send(k, &segment{seq: f.next, ack: f.expected, flags: flagACK, echo: f.echo}) // a copy
	default:
		f.expected += s.length()
		if len(s.data) > 0 {
			t.runs++
			f.answerAt = now.Add(workTime)
		}
		if s.has(flagFIN) {
			t.send(k, &segment{seq: f.next, ack: f.expected, flags: flagACK | flagFIN, echo: f.echo})
			delete(t.flows, k)
		}
	}
}

func (t *target) tick(now time.Time) {
	for k, f := range t.flows {
		if !f.answerAt.IsZero() && !now.Before(f.answerAt) {
			f.answerAt = time.Time{}
			s := &segment{seq: f.next, flags: flagACK, data: make([]byte, responseBytes)}
			f.next += responseBytes
			t.transmit(now, k, f, s)
		}
		if f.unacknowledged == nil || now.Before(f.resendAt) {
			continue
		}
		f.resends++
		if f.resends > maxRetransmits {
			delete(t.flows, k)
			continue
		}
		f.interval = min(2*f.interval, maxRetransmit)
		f.resendAt = now.Add(f.interval)
		t.resend(k, f)
	}
}

// transmit sends a segment that is sent again until it is acknowledged.
func (t *target) transmit(now time.Time, k ends, f *targetFlow, s *segment) {
	f.unacknowledged, f.interval, f.resends = s, firstRetransmit, 0
	f.resendAt = now.Add(f.interval)
	t.resend(k, f)
}

func (t *target) resend(k ends, f *targetFlow) {
	s := *f.unacknowledged
	s.ack, s.echo = f.expected, f.echo
	t.send(k, &s)
}

// send sends a packet to the client of a flow, past the daemons.
func (t *target) send(k ends, s *segment) {
	s.src, s.dst = k.route, k.client
	lost := t.w.lost()
	t.w.judge.trace(time.Now(), k, "target %s sends %v, lost: %v", t.id, s, lost)
	if lost {
		return
	}
	to := netip.AddrPortFrom(k.client.Addr(), t.w.ports.data)
	raw := s.encode()
	t.delayed(time.Now(), func(time.Time) { _, _ = t.conn.WriteToUDPAddrPort(raw, to) }) // datagrams may be lost
}
