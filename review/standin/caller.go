//go:build review

package main

import (
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// caller is a client's machine: one address, many ports.
type caller struct {
	w     *world
	addr  netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]chan pkt
}

func (w *world) newCaller(addr netip.Addr) *caller {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, dataPort)))
	must(err)
	c := &caller{w: w, addr: addr, conn: conn, port: 40000, flows: make(map[netip.AddrPort]chan pkt)}
	go func() {
		buf := make([]byte, 4096)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if p, ok := parse(buf[:n]); ok {
				c.mu.Lock()
				ch := c.flows[p.dst]
				c.mu.Unlock()
				if ch != nil {
					select {
					case ch <- p:
					default:
					}
				}
			}
		}
	}()
	return c
}

// attempt is one client attempt on a flow of its own.
type attempt struct {
	c    *caller
	self netip.AddrPort
	to   netip.AddrPort
	via  func() netip.AddrPort
	in   chan pkt
	seq  uint32
	echo uint32
	ack  uint32
	// sent holds when the SYN and its copies were sent.
	sent []time.Time
	// outcome is "open", "reset" or "no answer".
	outcome string
}

// open opens a flow: a SYN, copies after 200 ms and after 600 ms, the end of the attempt after 1.4 s.
func (c *caller) open(to netip.AddrPort, via func() netip.AddrPort) *attempt {
	c.mu.Lock()
	c.port++
	a := &attempt{c: c, self: netip.AddrPortFrom(c.addr, c.port), to: to, via: via, in: make(chan pkt, 64), seq: uint32(c.port) * 7919}
	c.flows[a.self] = a.in
	c.mu.Unlock()
	start := time.Now()
	for n, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		deadline := time.After(time.Until(start.Add(after)))
		for waiting := n > 0; waiting; {
			select {
			case <-deadline:
				waiting = false
			case p := <-a.in:
				if p.flags&rst != 0 {
					a.outcome = "reset"
					return a
				}
				if p.flags&(syn|ack) == syn|ack && p.ack == a.seq+1 {
					a.outcome, a.ack, a.echo = "open", p.seq+1, p.echo
					a.seq++
					a.transmit(ack, nil)
					return a
				}
			}
		}
		if n < 3 {
			a.sent = append(a.sent, time.Now())
			a.send(pkt{src: a.self, dst: to, seq: a.seq, ack: uint32(n), flags: syn})
		}
	}
	a.outcome = "no answer"
	return a
}

func (a *attempt) send(p pkt) {
	_, _ = a.c.conn.WriteToUDPAddrPort(p.bytes(), a.via())
}

func (a *attempt) transmit(flags byte, data []byte) {
	a.send(pkt{src: a.self, dst: a.to, seq: a.seq, ack: a.ack, flags: flags, echo: a.echo, data: data})
}

// request sends a request on an open flow, with retransmissions, and returns the body of the response, the name of the
// service that ran it. It returns "reset" if the flow was reset and "" if nothing came in time.
func (a *attempt) request(timeout time.Duration) string {
	if a.outcome != "open" {
		return ""
	}
	data := []byte("POST / HTTP/1.1\r\nHost: " + a.to.String() + "\r\nRequest-Id: " + a.self.String() + "\r\nContent-Length: 0\r\n\r\n")
	a.transmit(ack, data)
	interval := 200 * time.Millisecond
	deadline, again := time.After(timeout), time.After(interval)
	for {
		select {
		case p := <-a.in:
			if p.flags&rst != 0 {
				return "reset"
			}
			if len(p.data) > 0 {
				a.seq += uint32(len(data))
				a.ack, a.echo = p.seq+uint32(len(p.data)), p.echo
				a.transmit(ack, nil)
				_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
				return body
			}
		case <-again:
			a.transmit(ack, data)
			interval = min(2*interval, 1600*time.Millisecond)
			again = time.After(interval)
		case <-deadline:
			return ""
		}
	}
}

// close ends the flow.
func (a *attempt) close() {
	if a.outcome == "open" {
		a.transmit(fin|ack, nil)
		a.seq++
	}
	a.c.mu.Lock()
	delete(a.c.flows, a.self)
	a.c.mu.Unlock()
}
