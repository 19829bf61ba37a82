package udpio

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	loopback4 = netip.MustParseAddrPort("127.0.0.1:0")
	loopback6 = netip.MustParseAddrPort("[::1]:0")
)

func newBatch(n, size int) []Message {
	ms := make([]Message, n)
	for i := range ms {
		ms[i].Buf = make([]byte, size)
	}
	return ms
}

func fill(m *Message, to netip.AddrPort, data string) {
	m.N = copy(m.Buf, data)
	m.Addr = to
}

// listen opens a Conn that is closed at the end of the test.
func listen(n Network, addr netip.AddrPort) Conn {
	c, err := n.Listen(addr)
	So(err, ShouldBeNil)
	Reset(func() { c.Close() })
	return c
}

// readAll reads n datagrams and returns their texts and senders in the order of arrival.
func readAll(c Conn, n int) (texts []string, from []netip.AddrPort) {
	ms := newBatch(n, 64)
	for len(texts) < n {
		got, err := c.ReadBatch(ms[:n-len(texts)])
		So(err, ShouldBeNil)
		for _, m := range ms[:got] {
			texts = append(texts, string(m.Buf[:m.N]))
			from = append(from, m.Addr)
		}
	}
	return texts, from
}

func TestSystemConn(t *testing.T) {
	configs := []struct {
		name string
		cfg  Config
	}{
		{"batched calls", Config{}},
		{"single calls", Config{ForceSingleCalls: true}},
		{"batched calls, several workers", Config{Workers: 2}},
		{"single calls, shared socket", Config{Workers: 2, ForceSingleCalls: true, ForceSharedSocket: true}},
	}
	for _, c := range configs {
		for _, addr := range []netip.AddrPort{loopback4, loopback6} {
			Convey("With "+c.name+" on "+addr.Addr().String(), t, func() {
				network := System(c.cfg)
				a, b := listen(network, addr), listen(network, addr)

				Convey("datagrams arrive complete and with their sender's address", func() {
					ms := newBatch(3, 64)
					fill(&ms[0], b.LocalAddr(), "one")
					fill(&ms[1], b.LocalAddr(), "")
					fill(&ms[2], b.LocalAddr(), "three")
					n, err := a.WriteBatch(ms)
					So(err, ShouldBeNil)
					So(n, ShouldEqual, 3)
					texts, from := readAll(b, 3)
					So(texts, ShouldResemble, []string{"one", "", "three"})
					So(from, ShouldResemble, []netip.AddrPort{a.LocalAddr(), a.LocalAddr(), a.LocalAddr()})
				})
				Convey("a datagram longer than the buffer is truncated", func() {
					ms := newBatch(1, 64)
					fill(&ms[0], b.LocalAddr(), "longer than the buffer")
					_, err := a.WriteBatch(ms)
					So(err, ShouldBeNil)
					short := newBatch(1, 6)
					_, err = b.ReadBatch(short)
					So(err, ShouldBeNil)
					So(string(short[0].Buf[:short[0].N]), ShouldEqual, "longer")
				})
				Convey("a refused message does not stop the others", func() {
					other := loopback6
					if addr == loopback6 {
						other = netip.MustParseAddrPort("[ff02::1]:0")
					}
					ms := newBatch(3, 64)
					fill(&ms[0], b.LocalAddr(), "one")
					fill(&ms[1], other, "two")
					fill(&ms[2], b.LocalAddr(), "three")
					n, err := a.WriteBatch(ms)
					So(n, ShouldEqual, 2)
					So(err, ShouldNotBeNil)
					texts, _ := readAll(b, 2)
					So(texts, ShouldResemble, []string{"one", "three"})
				})
				Convey("an empty batch does nothing", func() {
					n, err := a.ReadBatch(nil)
					So(n, ShouldEqual, 0)
					So(err, ShouldBeNil)
					n, err = a.WriteBatch(nil)
					So(n, ShouldEqual, 0)
					So(err, ShouldBeNil)
				})
				Convey("Close unblocks a waiting read", func() {
					done := make(chan error)
					go func() {
						_, err := a.ReadBatch(newBatch(1, 64))
						done <- err
					}()
					So(a.Close(), ShouldBeNil)
					So(errors.Is(<-done, net.ErrClosed), ShouldBeTrue)
				})
				Convey("reading and writing allocate nothing", func() {
					ms := newBatch(4, 64)
					ping := func() {
						for i := range ms {
							fill(&ms[i], b.LocalAddr(), "ping")
						}
						if n, err := a.WriteBatch(ms); n != len(ms) || err != nil {
							panic(err)
						}
						for remaining := len(ms); remaining > 0; {
							n, err := b.ReadBatch(ms[:remaining])
							if err != nil {
								panic(err)
							}
							remaining -= n
						}
					}
					So(testing.AllocsPerRun(100, ping), ShouldEqual, 0)
				})
			})
		}
	}
}

func TestDualStackSocket(t *testing.T) {
	Convey("A socket on the unspecified IPv6 address exchanges IPv4 datagrams and reports senders as plain IPv4", t, func() {
		network := System(Config{})
		dualStack := listen(network, netip.MustParseAddrPort("[::]:0"))
		ipv4Only := listen(network, loopback4)
		ms := newBatch(1, 64)
		fill(&ms[0], netip.AddrPortFrom(loopback4.Addr(), dualStack.LocalAddr().Port()), "there")
		_, err := ipv4Only.WriteBatch(ms)
		So(err, ShouldBeNil)
		texts, from := readAll(dualStack, 1)
		So(texts, ShouldResemble, []string{"there"})
		So(from, ShouldResemble, []netip.AddrPort{ipv4Only.LocalAddr()})

		fill(&ms[0], ipv4Only.LocalAddr(), "back")
		_, err = dualStack.WriteBatch(ms)
		So(err, ShouldBeNil)
		texts, _ = readAll(ipv4Only, 1)
		So(texts, ShouldResemble, []string{"back"})
	})
}

func TestWorkersOfOneAddress(t *testing.T) {
	for _, shared := range []bool{false, true} {
		name := "with SO_REUSEPORT"
		if shared {
			name = "with a shared socket"
		}
		Convey("Two workers on one address read all datagrams of many senders "+name, t, func() {
			const senders = 32
			network := System(Config{Workers: 2, ForceSharedSocket: shared})
			first := listen(network, loopback4)
			second := listen(network, first.LocalAddr())
			So(second.LocalAddr(), ShouldResemble, first.LocalAddr())

			got := make(chan string, senders)
			done := make(chan error, 2)
			for _, c := range []Conn{first, second} {
				go func() { done <- readUntilClosed(c, got) }()
			}
			want := make(map[string]bool)
			for i := range senders {
				text := string(rune('A' + i))
				want[text] = true
				ms := newBatch(1, 8)
				fill(&ms[0], first.LocalAddr(), text)
				_, err := listen(System(Config{}), loopback4).WriteBatch(ms)
				So(err, ShouldBeNil)
			}
			for range senders {
				delete(want, <-got)
			}
			So(want, ShouldBeEmpty)
			first.Close()
			second.Close()
			for range 2 {
				So(errors.Is(<-done, net.ErrClosed), ShouldBeTrue)
			}
		})
	}
}

func readUntilClosed(c Conn, got chan<- string) error {
	ms := newBatch(4, 8)
	for {
		n, err := c.ReadBatch(ms)
		if err != nil {
			return err
		}
		for _, m := range ms[:n] {
			got <- string(bytes.Clone(m.Buf[:m.N]))
		}
	}
}

func TestSecondListenFailsWithOneWorker(t *testing.T) {
	Convey("With one worker, a second Listen on the address fails with an error that names the address", t, func() {
		network := System(Config{})
		c := listen(network, loopback4)
		_, err := network.Listen(c.LocalAddr())
		So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, c.LocalAddr().String())
	})
}

func TestFallbacksAreReportedOnce(t *testing.T) {
	Convey("Each fallback is reported once, whatever the number of Conns", t, func() {
		var reports []FallbackReport
		network := System(Config{
			Workers:           2,
			ForceSingleCalls:  true,
			ForceSharedSocket: true,
			OnFallback:        func(r FallbackReport) { reports = append(reports, r) },
		})
		listen(network, loopback4)
		listen(network, loopback4)
		So(reports, ShouldResemble, []FallbackReport{{FallbackSharedSocket, errForcedBySettings}, {FallbackSingleCalls, errForcedBySettings}})
		So(FallbackSharedSocket.String(), ShouldEqual, "shared_socket")
		So(FallbackSingleCalls.String(), ShouldEqual, "single_calls")
	})
	Convey("No fallback is reported if the system refuses nothing", t, func() {
		var reports []FallbackReport
		network := System(Config{Workers: 2, OnFallback: func(r FallbackReport) { reports = append(reports, r) }})
		listen(network, loopback4)
		So(reports, ShouldBeEmpty)
	})
	Convey("Only a setsockopt error leads to the shared socket", t, func() {
		So(isSetsockoptError(&net.OpError{Err: os.NewSyscallError("setsockopt", syscall.EPERM)}), ShouldBeTrue)
		So(isSetsockoptError(&net.OpError{Err: os.NewSyscallError("bind", syscall.EACCES)}), ShouldBeFalse)
		So(isSetsockoptError(nil), ShouldBeFalse)
	})
}

// benchmarkBatch writes and reads batches of 64 datagrams over loopback. One operation is one datagram.
func benchmarkBatch(b *testing.B, cfg Config) {
	const batch = 64
	network := System(cfg)
	from, err := network.Listen(loopback4)
	if err != nil {
		b.Fatal(err)
	}
	defer from.Close()
	to, err := network.Listen(loopback4)
	if err != nil {
		b.Fatal(err)
	}
	defer to.Close()
	ms := newBatch(batch, 256)
	b.ReportAllocs()
	b.ResetTimer()
	for range (b.N + batch - 1) / batch {
		for i := range ms {
			ms[i].N, ms[i].Addr = 100, to.LocalAddr()
		}
		if _, err := from.WriteBatch(ms); err != nil {
			b.Fatal(err)
		}
		for remaining := batch; remaining > 0; {
			n, err := to.ReadBatch(ms[:remaining])
			if err != nil {
				b.Fatal(err)
			}
			remaining -= n
		}
	}
}

func BenchmarkBatchedCalls(b *testing.B) { benchmarkBatch(b, Config{}) }
func BenchmarkSingleCalls(b *testing.B)  { benchmarkBatch(b, Config{ForceSingleCalls: true}) }
