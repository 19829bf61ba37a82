//go:build review

package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

const (
	// openTimeout is how long a client waits for a SYN+ACK; copies of the SYN are sent after the times of synCopies.
	openTimeout = 1400 * time.Millisecond
	// timeBudget is how long a client waits for a response.
	timeBudget = 3 * time.Second
	// resetWindow is how far the number of a reset may be from the client's last ack, in bytes.
	resetWindow = 76_800
)

var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// client plays a client with one address. Each flow has a new port.
type client struct {
	w     *world
	zone  string
	at    netip.AddrPort
	conn  *net.UDPConn
	port  uint16
	flows map[uint16]*flow
	// streams is the number of flows that it keeps open; each sends a request each pause and gets replyBytes.
	streams    int
	pause      time.Duration
	replyBytes int
	// fresh is the interval of flows of a single request; 0 for none.
	fresh   time.Duration
	freshAt time.Time
	route   endpoint
}

// flow is a client's end of a flow.
type flow struct {
	c       *client
	key     flowKey
	isn     uint32
	seq     uint32
	ack     uint32
	echo    uint32
	open    bool
	copies  int
	begun   time.Time
	pending bool
	sentAt  time.Time
	want    uint32
	again   time.Time
	timeout time.Duration
	nextAt  time.Time
	single  bool
	unacked int
	target  netip.AddrPort
}

func (w *world) startClient(n int, zone string, c *client) error {
	c.w, c.zone, c.at, c.flows, c.port = w, zone, addr(3, n, w.ports.data), make(map[uint16]*flow), uint16(20_000+rand.IntN(20_000))
	var err error
	c.conn, err = w.listen(c.at, c.receive)
	if err == nil {
		w.clients = append(w.clients, c)
	}
	return err
}

func (c *client) openFlow(now time.Time, single bool) {
	c.port++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.at.Addr(), c.port), c.route}, isn: rand.Uint32(), begun: now, single: single}
	f.seq = f.isn
	c.flows[c.port] = f
	f.send(&pkt{seq: f.isn, flags: flagSYN})
}

func (f *flow) send(p *pkt) {
	p.src, p.dst = f.key.client, f.key.route
	d := f.c.w.routed(f.c.zone, f.key)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), addr(1, d.n, f.c.w.ports.data)) // a lost datagram is sent again
}

func (c *client) tick(now time.Time) {
	streams := 0
	for _, f := range c.flows {
		f.tick(now)
		if !f.single {
			streams++
		}
	}
	for ; streams < c.streams; streams++ {
		c.openFlow(now, false)
	}
	if c.fresh > 0 && now.After(c.freshAt) {
		c.freshAt = now.Add(c.fresh)
		c.openFlow(now, true)
	}
}

func (f *flow) tick(now time.Time) {
	switch {
	case !f.open:
		waited := now.Sub(f.begun)
		if waited >= openTimeout {
			delete(f.c.flows, f.key.client.Port())
		} else if f.copies < len(synCopies) && waited >= synCopies[f.copies] {
			f.copies++
			f.send(&pkt{seq: f.isn, ack: uint32(f.copies), flags: flagSYN})
		}
	case f.pending && now.Sub(f.sentAt) >= timeBudget:
		f.finish()
	case f.pending && now.After(f.again):
		f.timeout = min(2*f.timeout, maxRetransmit)
		f.again = now.Add(f.timeout)
		f.sendRequest()
	case !f.pending && now.After(f.nextAt):
		f.begin(now)
	}
}

// begin sends the next request.
func (f *flow) begin(now time.Time) {
	f.pending, f.sentAt, f.timeout = true, now, firstRetransmit
	f.again, f.want = now.Add(f.timeout), f.ack+uint32(f.c.replyBytes)
	f.sendRequest()
}

const requestBytes = 4

func (f *flow) sendRequest() {
	data := make([]byte, requestBytes)
	binary.BigEndian.PutUint32(data, uint32(f.c.replyBytes))
	f.send(&pkt{seq: f.seq, ack: f.ack, flags: flagACK, echo: f.echo, data: data})
}

func (f *flow) finish() {
	f.send(&pkt{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN, echo: f.echo})
	delete(f.c.flows, f.key.client.Port())
}

func (c *client) receive(now time.Time, from netip.AddrPort, b []byte) {
	p, ok := decode(b)
	if !ok {
		return
	}
	f := c.flows[p.dst.Port()]
	if f == nil || f.key.route != p.src {
		return
	}
	switch {
	case p.flags&flagRST != 0:
		f.handleReset(from, p)
	case !f.open && p.flags == flagSYN|flagACK && p.ack == f.isn+1:
		f.open, f.seq, f.ack, f.echo, f.target = true, f.isn+1, p.seq+1, p.echo, from
		c.w.opened++
		f.begin(now)
	case f.open && p.flags&flagSYN == 0:
		f.handlePacket(now, p)
	}
}

func (f *flow) handlePacket(now time.Time, p *pkt) {
	f.echo = p.echo
	if f.pending && p.ack == f.seq+requestBytes {
		f.seq = p.ack
		f.again = now.Add(timeBudget)
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.ack {
		f.ack += uint32(len(p.data))
	}
	f.unacked++
	done := f.pending && f.ack == f.want
	if done || f.unacked >= 2 || p.seq+uint32(len(p.data)) != f.ack {
		f.unacked = 0
		f.send(&pkt{seq: f.seq, ack: f.ack, flags: flagACK, echo: f.echo})
	}
	if !done {
		return
	}
	f.pending, f.nextAt = false, now.Add(f.c.pause)
	f.c.w.answered++
	if f.single {
		f.finish()
	}
}

// handleReset checks a reset. A client takes those of its flow's target, and of the system those that the pages allow.
func (f *flow) handleReset(from netip.AddrPort, p *pkt) {
	w := f.c.w
	fromTarget := from.Port() == w.ports.target
	if f.open && !fromTarget {
		w.resets++
		distance := int32(p.seq - f.ack)
		if max(distance, -distance) > resetWindow {
			w.violations++
			w.log("BROKEN: %v gets a reset for its open flow %v -> %v with number %d, %d bytes from its last ack %d", from, f.key.client, f.key.route, p.seq, distance, f.ack)
			return // the client ignores it
		}
		w.log("%v resets the open flow %v -> %v, %d bytes from its last ack", from, f.key.client, f.key.route, distance)
	}
	delete(f.c.flows, f.key.client.Port())
}
