package standin

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

// arrival is a datagram as a test socket received it.
type arrival struct {
	text  string
	after time.Duration
}

// linkPair holds two sockets at two places of Links over an in-memory network.
type linkPair struct {
	links *Links
	a, b  udpio.Conn
	start time.Time
	got   chan arrival
}

func newLinkPair(t *testing.T, q LinkQuality) *linkPair {
	t.Helper()
	links := NewLinks(udpio.NewMemoryNetwork(udpio.MemoryConfig{Seed: 1}), LinksConfig{
		Between: func(_, _ Place) LinkQuality { return q },
		Rand:    rand.New(rand.NewPCG(1, 2)),
	})
	p := &linkPair{links: links, start: time.Now(), got: make(chan arrival, 2000)}
	p.a = p.listen(t, "m1", "zone-a", "127.0.0.1:1001")
	p.b = p.listen(t, "m2", "zone-b", "127.0.0.1:1002")
	go p.read()
	return p
}

func (p *linkPair) listen(t *testing.T, machine string, place Place, addr string) udpio.Conn {
	t.Helper()
	c, err := p.links.Network(machine, place).Listen(netip.MustParseAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (p *linkPair) read() {
	messages := []udpio.Message{{Buf: make([]byte, 100)}}
	for {
		if _, err := p.b.ReadBatch(messages); err != nil {
			return
		}
		p.got <- arrival{text: string(messages[0].Buf[:messages[0].N]), after: time.Since(p.start)}
	}
}

func (p *linkPair) send(text string) {
	_, _ = p.a.WriteBatch([]udpio.Message{{Buf: []byte(text), N: len(text), Addr: p.b.LocalAddr()}})
}

func (p *linkPair) close() {
	_ = p.a.Close()
	_ = p.b.Close()
	synctest.Wait()
}

// arrived returns the datagrams received since the last call.
func (p *linkPair) arrived() []arrival {
	synctest.Wait()
	var out []arrival
	for len(p.got) > 0 {
		out = append(out, <-p.got)
	}
	return out
}

func TestLinksDelayAndCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t, LinkQuality{Delay: 5 * time.Millisecond})
		defer p.close()
		p.send("one")
		time.Sleep(10 * time.Millisecond)
		if got := p.arrived(); len(got) != 1 || got[0] != (arrival{"one", 5 * time.Millisecond}) {
			t.Errorf("link with a delay of 5 ms: received %v", got)
		}
		p.links.Cut("zone-b", "zone-a", true)
		p.send("two")
		time.Sleep(time.Second)
		p.links.Cut("zone-a", "zone-b", false)
		p.send("three")
		time.Sleep(time.Second)
		if got := p.arrived(); len(got) != 1 || got[0].text != "three" {
			t.Errorf("after the link was cut and restored: received %v, want only \"three\"", got)
		}
	})
}

func TestLinkLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t, LinkQuality{Loss: 0.05})
		defer p.close()
		for range 1000 {
			p.send("x")
		}
		time.Sleep(time.Second)
		if got := len(p.arrived()); got < 920 || got > 980 {
			t.Errorf("%d of 1000 datagrams arrived with a loss of 5 %%, want 920 to 980", got)
		}
	})
}

func TestLinksPauseAndKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLinkPair(t, LinkQuality{})
		defer p.close()
		p.links.Pause("m2")
		p.send("one")
		time.Sleep(10 * time.Second)
		if got := p.arrived(); len(got) != 0 {
			t.Errorf("a paused machine received %v", got)
		}
		p.links.Resume("m2")
		if got := p.arrived(); len(got) != 1 || got[0].after != 10*time.Second {
			t.Errorf("after a pause of 10 s: received %v", got)
		}
		p.links.Kill("m1")
		p.send("two")
		time.Sleep(time.Second)
		if got := p.arrived(); len(got) != 0 {
			t.Errorf("a killed machine sent %v", got)
		}
	})
}
