package udpio

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	addrA = netip.MustParseAddrPort("10.0.0.1:7000")
	addrB = netip.MustParseAddrPort("10.0.0.2:7000")
)

// arrival is a datagram that a collector has read, with the time since the collector was started.
type arrival struct {
	text  string
	after time.Duration
}

// collector reads from a Conn in the background until the Conn is closed.
type collector struct {
	conn     Conn
	start    time.Time
	arrivals []arrival
	done     chan struct{}
}

func collect(c Conn) *collector {
	col := &collector{conn: c, start: time.Now(), done: make(chan struct{})}
	go col.run()
	return col
}

func (c *collector) run() {
	defer close(c.done)
	ms := newBatch(8, 64)
	for {
		n, err := c.conn.ReadBatch(ms)
		if err != nil {
			return
		}
		for _, m := range ms[:n] {
			c.arrivals = append(c.arrivals, arrival{string(m.Buf[:m.N]), time.Since(c.start)})
		}
	}
}

// stop closes the Conn and returns the datagrams that were read.
func (c *collector) stop() []arrival {
	c.conn.Close()
	<-c.done
	return c.arrivals
}

// inBubble runs a test in a synctest bubble, with the fake time of the bubble. It passes an in-memory network with a
// Conn on addrA, in group east, and a collector on addrB, in group west.
func inBubble(t *testing.T, name string, cfg MemoryConfig, test func(c C, m *MemoryNetwork, a Conn, b *collector)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func(c C) {
			m := NewMemoryNetwork(cfg)
			a, err := m.Listen(addrA)
			c.So(err, ShouldBeNil)
			conn, err := m.Listen(addrB)
			c.So(err, ShouldBeNil)
			b := collect(conn)
			m.Assign("east", addrA)
			m.Assign("west", addrB)
			test(c, m, a, b)
			b.stop()
			a.Close()
		})
	})
}

// write sends the texts to addrB as one batch.
func write(c Conn, texts ...string) {
	ms := newBatch(len(texts), 64)
	for i, text := range texts {
		fill(&ms[i], addrB, text)
	}
	c.WriteBatch(ms)
}

func texts(as []arrival) []string {
	var out []string
	for _, a := range as {
		out = append(out, a.text)
	}
	return out
}

func TestMemoryDelivery(t *testing.T) {
	inBubble(t, "Datagrams arrive after the link's delay, in order", MemoryConfig{Link: Link{Delay: 5 * time.Millisecond}}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		write(a, "one", "two")
		time.Sleep(time.Millisecond)
		write(a, "three")
		time.Sleep(time.Second)
		c.So(b.stop(), ShouldResemble, []arrival{{"one", 5 * time.Millisecond}, {"two", 5 * time.Millisecond}, {"three", 6 * time.Millisecond}})
		c.So(m.Stats(), ShouldResemble, MemoryStats{Sent: 3, Bytes: 11, Delivered: 3})
	})
	inBubble(t, "A link without a delay delivers immediately", MemoryConfig{}, func(c C, _ *MemoryNetwork, a Conn, b *collector) {
		write(a, "one")
		synctest.Wait()
		c.So(b.stop(), ShouldResemble, []arrival{{"one", 0}})
	})
	inBubble(t, "SetLink applies to one direction only", MemoryConfig{}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		m.SetLink("east", "west", Link{Delay: time.Second})
		m.SetLink("west", "east", Link{Delay: time.Hour})
		write(a, "one")
		time.Sleep(time.Minute)
		c.So(b.stop(), ShouldResemble, []arrival{{"one", time.Second}})
	})
	inBubble(t, "Jitter spreads delivery times between delay and delay plus jitter", MemoryConfig{Link: Link{Delay: 5 * time.Millisecond, Jitter: 4 * time.Millisecond}}, func(c C, _ *MemoryNetwork, a Conn, b *collector) {
		for range 100 {
			write(a, "x")
		}
		time.Sleep(time.Second)
		seen := make(map[time.Duration]bool)
		for _, got := range b.stop() {
			c.So(got.after, ShouldBeBetweenOrEqual, 5*time.Millisecond, 9*time.Millisecond)
			seen[got.after] = true
		}
		c.So(len(seen), ShouldBeGreaterThan, 50)
	})
}

func TestMemoryFaults(t *testing.T) {
	inBubble(t, "The share of lost datagrams is about the link's loss probability", MemoryConfig{Seed: 1, Link: Link{Loss: 0.25}}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		for range 1000 {
			write(a, "x")
		}
		synctest.Wait()
		got := len(b.stop())
		c.So(got, ShouldBeBetween, 700, 800)
		c.So(m.Stats().Lost, ShouldEqual, 1000-got)
	})
	inBubble(t, "Duplicates are delivered and counted in addition to sent datagrams", MemoryConfig{Link: Link{Duplicate: 1}}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		write(a, "one", "two")
		synctest.Wait()
		c.So(texts(b.stop()), ShouldResemble, []string{"one", "one", "two", "two"})
		c.So(m.Stats(), ShouldResemble, MemoryStats{Sent: 2, Bytes: 6, Duplicated: 2, Delivered: 4})
	})
	inBubble(t, "Reordered datagrams arrive after later ones", MemoryConfig{Seed: 3, Link: Link{Delay: 5 * time.Millisecond, Reorder: 0.1}}, func(c C, _ *MemoryNetwork, a Conn, b *collector) {
		for i := range 100 {
			write(a, fmt.Sprintf("%03d", i))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		got := texts(b.stop())
		c.So(len(got), ShouldEqual, 100)
		var late int
		for i := 1; i < len(got); i++ {
			if got[i] < got[i-1] {
				late++
			}
		}
		c.So(late, ShouldBeBetween, 0, 30)
	})
	inBubble(t, "A cut drops datagrams in both directions and in flight, until it is healed", MemoryConfig{Link: Link{Delay: time.Second}}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		write(a, "in flight")
		m.Cut("west", "east")
		write(a, "during")
		time.Sleep(time.Minute)
		m.Heal("east", "west")
		write(a, "after")
		time.Sleep(time.Minute)
		c.So(texts(b.stop()), ShouldResemble, []string{"after"})
		c.So(m.Stats().Cut, ShouldEqual, 2)
	})
	inBubble(t, "A one-way cut does not affect the other direction", MemoryConfig{}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		m.CutOneWay("west", "east")
		write(a, "one")
		synctest.Wait()
		c.So(texts(b.stop()), ShouldResemble, []string{"one"})
	})
	inBubble(t, "A paused reader receives its datagrams when it is resumed", MemoryConfig{}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		m.Pause(addrB)
		write(a, "one")
		time.Sleep(time.Minute)
		write(a, "two")
		m.Resume(addrB)
		synctest.Wait()
		c.So(b.stop(), ShouldResemble, []arrival{{"one", time.Minute}, {"two", time.Minute}})
	})
	inBubble(t, "A paused writer blocks until it is resumed", MemoryConfig{}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		m.Pause(addrA)
		time.AfterFunc(time.Minute, func() { m.Resume(addrA) })
		write(a, "one")
		synctest.Wait()
		c.So(b.stop(), ShouldResemble, []arrival{{"one", time.Minute}})
	})
	inBubble(t, "A full queue drops further datagrams", MemoryConfig{QueueLen: 2}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		m.Pause(addrB)
		write(a, "one", "two", "three")
		m.Resume(addrB)
		synctest.Wait()
		c.So(texts(b.stop()), ShouldResemble, []string{"one", "two"})
		c.So(m.Stats().QueueFull, ShouldEqual, 1)
	})
	inBubble(t, "A datagram to an address without a Conn is dropped and counted", MemoryConfig{}, func(c C, m *MemoryNetwork, a Conn, b *collector) {
		b.stop()
		write(a, "one")
		c.So(m.Stats().NoReceiver, ShouldEqual, 1)
	})
}

func TestMemoryIsDeterministicForASeed(t *testing.T) {
	link := Link{Delay: 5 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.1, Duplicate: 0.1, Reorder: 0.1}
	run := func(seed uint64) []arrival {
		var got []arrival
		inBubble(t, "", MemoryConfig{Seed: seed, Link: link}, func(_ C, _ *MemoryNetwork, a Conn, b *collector) {
			for i := range 200 {
				write(a, fmt.Sprint(i))
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
			got = b.stop()
		})
		return got
	}
	first, second, other := run(7), run(7), run(8)
	Convey("Two runs with the same seed are identical, and runs with different seeds are not", t, func() {
		So(first, ShouldResemble, second)
		So(first, ShouldNotResemble, other)
	})
}

func TestMemoryConns(t *testing.T) {
	Convey("An in-memory network", t, func() {
		m := NewMemoryNetwork(MemoryConfig{})
		Convey("picks a free port for port 0", func() {
			first := listen(m, netip.MustParseAddrPort("10.0.0.1:0"))
			second := listen(m, netip.MustParseAddrPort("10.0.0.1:0"))
			So(first.LocalAddr().Port(), ShouldNotEqual, 0)
			So(first.LocalAddr(), ShouldNotResemble, second.LocalAddr())
		})
		Convey("refuses to listen on an unspecified address", func() {
			_, err := m.Listen(netip.MustParseAddrPort("0.0.0.0:7000"))
			So(err, ShouldNotBeNil)
		})
		Convey("distributes the senders over several Conns of one address", func() {
			conns := []Conn{listen(m, addrB), listen(m, addrB)}
			for i := range 64 {
				write(listen(m, netip.AddrPortFrom(addrA.Addr(), uint16(1000+i))), "x")
			}
			for _, c := range conns {
				n, err := c.ReadBatch(newBatch(64, 8))
				So(err, ShouldBeNil)
				So(n, ShouldBeGreaterThan, 0)
			}
		})
		Convey("returns net.ErrClosed from all calls on a closed Conn", func() {
			c := listen(m, addrA)
			So(c.Close(), ShouldBeNil)
			_, readErr := c.ReadBatch(newBatch(1, 8))
			_, writeErr := c.WriteBatch(newBatch(1, 8))
			for _, err := range []error{readErr, writeErr, c.Close()} {
				So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
			}
		})
	})
}
