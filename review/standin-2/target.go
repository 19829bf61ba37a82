//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// heartbeatInterval is the interval of a target's writes to the store.
	heartbeatInterval = 1200 * time.Millisecond
	// firstRetransmit is the time after which a missing packet is sent again; it doubles up to maxRetransmit.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// targetRetransmits is how often a target retransmits before it gives up.
	targetRetransmits = 8
	// window is the most packets in flight.
	window = 16
	// workTime is how long a target works on a request.
	workTime = 20 * time.Millisecond
)

type flowKey struct{ client, route endpoint }

// target plays a target process.
type target struct {
	w       *world
	id      string
	guard   uint64
	service string
	zone    string
	at      netip.AddrPort
	born    int64
	seq     int
	state   string
	crashed bool
	conn    *net.UDPConn
	health  *http.Server
	flows   map[flowKey]*targetFlow
	lapses  time.Time
}

// targetFlow is a target's end of a flow.
type targetFlow struct {
	clientISN, isn uint32
	// next is the number of the next byte to send for the first time, acked that up to which the client has all, expect
	// the client's next one.
	next, acked, expect uint32
	// out holds the bytes from acked on.
	out       []byte
	echo      uint32
	open      bool
	workUntil time.Time
	reply     int
	sentAt    time.Time
	timeout   time.Duration
	tries     int
}

func (w *world) startTarget(n int, service, zone string) (*target, error) {
	guard := rand.Uint64()>>32 | 1<<24
	t := &target{
		w: w, id: fmt.Sprintf("i-%08x", uint32(guard)), guard: uint64(uint32(guard)), service: service, zone: zone, at: addr(2, n, w.ports.target),
		born: time.Now().UnixMilli(), state: "ready", flows: make(map[flowKey]*targetFlow),
	}
	l, err := net.Listen("tcp", t.at.String())
	if err != nil {
		return nil, err
	}
	t.health = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Target-Id", t.id)
	})}
	go t.health.Serve(l) // until the target crashes
	if t.conn, err = w.listen(t.at, t.receive); err != nil {
		return nil, err
	}
	t.register()
	w.targets = append(w.targets, t)
	return t, nil
}

// register writes the target's entry, once: it changes only with the target's state.
func (t *target) register() {
	t.seq++
	text, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.at.String(), "zone": t.zone, "version": "v1", "slots": 3, "state": t.state,
		"warmup_remaining_ms": 0, "sequence": t.seq, "born": t.born,
	})
	if err != nil {
		panic(err) // cannot happen: all types can be encoded
	}
	t.w.store.put("servers/"+t.id, text)
}

// crash ends the target's process. Its machine stays up and resets what arrives; the entry is removed after three
// heartbeat intervals.
func (t *target) crash(now time.Time) {
	t.crashed, t.flows = true, make(map[flowKey]*targetFlow)
	_ = t.health.Close() // ends the listener; there is nothing to do about an error
	t.lapses = now.Add(3 * heartbeatInterval)
	t.w.log("target %s crashed", t.id)
}

func (t *target) receive(now time.Time, _ netip.AddrPort, b []byte) {
	if len(b) < guardBytes {
		return
	}
	guard := binary.BigEndian.Uint64(b)
	p, ok := decode(b[guardBytes:])
	if !ok || guard != 0 && guard != t.guard || p.sum != sumOf(p) {
		return
	}
	key := flowKey{p.src, p.dst}
	f := t.flows[key]
	switch {
	case t.crashed:
		t.reset(key, p)
	case p.flags&flagSYN != 0:
		t.handleSYN(now, key, f, p)
	case f == nil || !f.open && p.ack != f.isn+1:
		t.reset(key, p)
	case p.flags&(flagRST|flagFIN) != 0:
		if p.flags&flagFIN != 0 {
			t.send(key, &pkt{seq: f.next, ack: p.seq + 1, flags: flagACK | flagFIN, echo: f.echo})
		}
		delete(t.flows, key)
	default:
		t.handlePacket(now, key, f, p)
	}
}

func (t *target) reset(key flowKey, p *pkt) {
	if p.flags&flagRST == 0 {
		t.send(key, &pkt{seq: p.ack, ack: p.seq, flags: flagRST})
	}
}

func (t *target) handleSYN(now time.Time, key flowKey, f *targetFlow, p *pkt) {
	if f == nil || f.clientISN != p.seq {
		f = &targetFlow{clientISN: p.seq, isn: rand.Uint32(), expect: p.seq + 1}
		f.next, f.acked = f.isn+1, f.isn+1
		t.flows[key] = f
	}
	f.echo, f.sentAt, f.timeout = p.echo, now, firstRetransmit
	t.sendSYNACK(key, f)
}

func (t *target) sendSYNACK(key flowKey, f *targetFlow) {
	t.send(key, &pkt{seq: f.isn, ack: f.clientISN + 1, flags: flagSYN | flagACK, echo: f.echo})
}

func (t *target) handlePacket(now time.Time, key flowKey, f *targetFlow, p *pkt) {
	f.open, f.echo = true, p.echo
	if n := p.ack - f.acked; n > 0 && n <= uint32(len(f.out)) {
		f.acked, f.out = p.ack, f.out[n:]
		f.sentAt, f.timeout, f.tries = now, firstRetransmit, 0
	}
	if len(p.data) > 0 && p.seq == f.expect {
		f.expect += uint32(len(p.data))
		f.workUntil, f.reply = now.Add(workTime), int(binary.BigEndian.Uint32(p.data))
	} else if len(p.data) > 0 {
		t.send(key, &pkt{seq: f.next, ack: f.expect, flags: flagACK, echo: f.echo})
	}
	t.sendNew(now, key, f)
}

// sendNew sends the bytes that were not sent yet, as far as the window allows.
func (t *target) sendNew(now time.Time, key flowKey, f *targetFlow) {
	for f.next-f.acked < uint32(len(f.out)) && f.next-f.acked < window*maxData {
		from := int(f.next - f.acked)
		to := min(from+maxData, len(f.out))
		t.send(key, &pkt{seq: f.next, ack: f.expect, flags: flagACK, echo: f.echo, data: f.out[from:to]})
		f.next += uint32(to - from)
		f.sentAt = now
	}
}

func (t *target) tick(now time.Time) {
	if t.crashed {
		if !t.lapses.IsZero() && now.After(t.lapses) {
			t.lapses = time.Time{}
			t.w.store.put("servers/"+t.id, nil)
		}
		return
	}
	for key, f := range t.flows {
		t.tickFlow(now, key, f)
	}
}

func (t *target) tickFlow(now time.Time, key flowKey, f *targetFlow) {
	if !f.workUntil.IsZero() && now.After(f.workUntil) {
		f.workUntil = time.Time{}
		f.out = append(f.out, make([]byte, f.reply)...)
		f.timeout, f.tries = firstRetransmit, 0
		t.sendNew(now, key, f)
	}
	if f.open && len(f.out) == 0 || now.Sub(f.sentAt) < f.timeout {
		return
	}
	if f.tries++; f.tries > targetRetransmits {
		delete(t.flows, key)
		return
	}
	f.sentAt, f.timeout = now, min(2*f.timeout, maxRetransmit)
	if !f.open {
		t.sendSYNACK(key, f)
		return
	}
	f.next = f.acked
	t.sendNew(now, key, f)
}

// send sends a packet to a client, without a daemon in between.
func (t *target) send(key flowKey, p *pkt) {
	p.src, p.dst = key.route, key.client
	to := netip.AddrPortFrom(key.client.Addr(), t.w.ports.data)
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), to) // a lost datagram is sent again
}
