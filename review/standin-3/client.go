//go:build review

package main

import (
	"net"
	"net/netip"
	"time"
)

const (
	handshakeLimit = 1400 * time.Millisecond
	timeBudget     = 4 * time.Second
	requestBytes   = 400
	// A flow is kept for several requests with pauses, until it is flowAge old.
	flowAge        = 13 * time.Second
	portsPerClient = 50_000
)

// synTimes are when copies of a SYN are sent.
var synTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// client sends from one address. Its methods need the world's lock.
type client struct {
	w    *world
	ip   netip.Addr
	conn *net.UDPConn
	port uint16
	used map[uint16]*clientFlow
}

// clientFlow is a client's state of a flow.
type clientFlow struct {
	c             *client
	k             ends
	began         time.Time
	initial, next uint32
	expected      uint32
	// echo is the last one received on the flow.
	echo   uint32
	open   bool
	copies int
	// request is the request that is not answered, sent first at sentAt.
	request          *segment
	sentAt, resendAt time.Time
	interval         time.Duration
	nextRequest      time.Time
}

func (w *world) newClient(n int) (*client, error) {
	a := w.at(netClients, n, w.ports.data)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, ip: a.Addr(), conn: conn, used: make(map[uint16]*clientFlow)}
	go w.receive(conn, func(now time.Time, raw []byte) {
		if s, ok := decode(raw); ok {
			c.handle(now, &s)
		}
	})
	return c, nil
}

// openFlow opens a flow from a port that was not used before.
func (c *client) openFlow(now time.Time) {
	if c.port >= portsPerClient {
		return
	}
	c.port++
	f := &clientFlow{c: c, began: now, initial: c.w.rand.Uint32()}
	f.k = ends{client: netip.AddrPortFrom(c.ip, c.port+1024), route: c.w.route}
	f.next = f.initial + 1
	c.used[f.k.client.Port()] = f
	c.w.judge.counts.flows++
	f.sendSYN()
}

func (f *clientFlow) sendSYN() {
	f.send(&segment{seq: f.initial, ack: uint32(f.copies), flags: flagSYN})
}

// send sends a packet by way of the routers.
func (f *clientFlow) send(s *segment) {
	s.src, s.dst = f.k.client, f.k.route
	to, ok := f.c.w.routers.choose(f.k)
	if !ok {
		return
	}
	f.c.w.judge.trace(time.Now(), f.k, "client sends %v by way of daemon %v", s, to.Addr())
	_, _ = f.c.conn.WriteToUDPAddrPort(s.encode(), to) // datagrams may be lost
}

func (c *client) handle(now time.Time, s *segment) {
	f := c.used[s.dst.Port()]
	if f == nil {
		return
	}
	if s.has(flagRST) {
		c.w.judge.reset(now, f, s)
		delete(c.used, f.k.client.Port())
		return
	}
	f.echo = s.echo
	switch {
	case s.has(flagSYN):
		if !f.open {
			f.open, f.expected = true, s.seq+1
			f.startRequest(now)
		}
	case f.open && len(s.data) > 0 && s.seq == f.expected:
		f.expected += uint32(len(s.data))
		f.send(&segment{seq: f.next, ack: f.expected, flags: flagACK, echo: f.echo})
		if f.request != nil {
			c.w.judge.counts.answered++
			f.request = nil
			p := c.w.pauses
			f.nextRequest = now.Add(p[0] + time.Duration(c.w.rand.Int64N(int64(p[1]-p[0]))))
		}
	case f.open && len(s.data) > 0:
		f.send(&segment{seq: f.next, ack: f.expected, flags: flagACK, echo: f.echo}) // a copy
	}
}

func (f *clientFlow) startRequest(now time.Time) {
	f.request = &segment{seq: f.next, flags: flagACK, data: make([]byte, requestBytes)}
	f.next += requestBytes
	f.sentAt, f.interval = now, firstRetransmit
	f.c.w.judge.counts.requests++
	f.sendRequest(now)
}

func (f *clientFlow) sendRequest(now time.Time) {
	s := *f.request
	s.ack, s.echo = f.expected, f.echo
	f.resendAt = now.Add(f.interval)
	f.send(&s)
}

// tick sends what is due and reports whether the flow goes on.
func (f *clientFlow) tick(now time.Time) bool {
	switch {
	case !f.open && now.Sub(f.began) >= handshakeLimit:
		f.c.w.judge.counts.unopened++
		return false
	case !f.open:
		if f.copies < len(synTimes) && now.Sub(f.began) >= synTimes[f.copies] {
			f.copies++
			f.sendSYN()
		}
	case f.request != nil && now.Sub(f.sentAt) >= timeBudget:
		f.c.w.judge.counts.unanswered++
		return false
	case f.request != nil && !now.Before(f.resendAt):
		f.interval = min(2*f.interval, maxRetransmit)
		f.sendRequest(now)
	case f.request == nil && now.Sub(f.began) >= flowAge:
		f.send(&segment{seq: f.next, ack: f.expected, flags: flagACK | flagFIN, echo: f.echo})
		return false
	case f.request == nil && !now.Before(f.nextRequest):
		f.startRequest(now)
	}
	return true
}
