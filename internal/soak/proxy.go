package soak

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy applies to its connections.
type proxyMode uint8

const (
	proxyPass proxyMode = iota
	// proxySlow delays data, proxyReset resets connections, proxyDropAll drops data in both directions.
	proxySlow
	proxyReset
	proxyDropAll
	// proxyDropResponses forwards requests and drops responses.
	proxyDropResponses
)

// proxyDelay is the delay of each read in mode proxySlow.
const proxyDelay = 300 * time.Millisecond

// proxy forwards TCP connections to one address and injects faults on request. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// modes are the active modes, each with its token; the last one applies.
	modes []activeMode
	conns map[net.Conn]bool
}

type activeMode struct {
	token int
	mode  proxyMode
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open a proxy: %w", err)
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// activate activates a mode until deactivate is called with the same token. Mode proxyReset also resets open
// connections.
func (p *proxy) activate(token int, mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes = append(p.modes, activeMode{token, mode})
	if mode == proxyReset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

func (p *proxy) deactivate(token int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes = slices.DeleteFunc(p.modes, func(t activeMode) bool { return t.token == token })
}

func (p *proxy) mode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.modes) == 0 {
		return proxyPass
	}
	return p.modes[len(p.modes)-1].mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// resetConn closes a connection with a RST.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.mode() == proxyReset {
			resetConn(c)
			continue
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		resetConn(in)
		return
	}
	p.track(in, true)
	p.track(out, true)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
	p.track(in, false)
	p.track(out, false)
}

// copy forwards data in one direction until either connection is closed.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.delayOrDrop(responses) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// delayOrDrop applies the current mode to data: it delays it in mode proxySlow, and reports whether to drop it. After
// dropped data the connection stays open but is unusable, as after a lost response.
func (p *proxy) delayOrDrop(responses bool) bool {
	switch p.mode() {
	case proxySlow:
		time.Sleep(proxyDelay)
	case proxyDropAll:
		return true
	case proxyDropResponses:
		return responses
	}
	return false
}
