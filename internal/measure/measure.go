package measure

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/packet"
)

const (
	batchSize  = 64
	bufferSize = 2048
	// timestampSize is the size in bytes of the send time at the start of the payload.
	timestampSize = 8

	// lossTimeout is the time without any arrival after which all packets in flight count as lost.
	lossTimeout = 200 * time.Millisecond
	// burstInterval is the interval between two bursts while the delay is measured.
	burstInterval = time.Millisecond
	// settleTime is the pause before each measurement.
	settleTime = 50 * time.Millisecond

	maxDelay     = 10 * time.Second
	delayDigits  = 3
	callerPort   = 40000
	callerPrefix = 10 << 24
)

// Forwarder is one forwarder to measure.
type Forwarder struct {
	Name string
	// Via is the address at which the forwarder receives packets.
	Via netip.AddrPort
	// PID is the process ID of the forwarder.
	PID int
}

// Config holds the settings of a run.
type Config struct {
	// Network opens the source and the sink.
	Network udpio.Network
	// Forwarders are the forwarders to compare. They take turns.
	Forwarders []Forwarder
	// Sink is the address that all forwarders send to.
	Sink netip.AddrPort
	// Service is the destination of the inner packets.
	Service netip.AddrPort
	// Flows is the number of flows to which the packets belong.
	Flows int
	// Payload is the size of the TCP payload of each packet in bytes; at least 8.
	Payload int
	// Window is the number of packets in flight while the rate is measured.
	Window int
	// Rate is the number of packets per second while the delay is measured.
	Rate int
	// Round is the duration of each measurement in a turn: one for the rate and one for the delay.
	Round time.Duration
	// Rounds is the number of turns of each forwarder.
	Rounds int
}

// Result holds the measurements of one forwarder.
type Result struct {
	Forwarder Forwarder
	// Packets and Lost are the numbers of received and lost packets while the rate was measured.
	Packets, Lost int64
	// Elapsed and CPU are the wall-clock time and the forwarder's CPU time of the rate measurement.
	Elapsed, CPU time.Duration
	// Delay is the time from sending a packet to its arrival at the sink, in nanoseconds, at the configured
	// rate.
	Delay *hdrhistogram.Histogram
}

// PerSecond returns the packets received per second of wall-clock time.
func (r *Result) PerSecond() float64 {
	return float64(r.Packets) / r.Elapsed.Seconds()
}

// PerCore returns the packets received per second of the forwarder's CPU time.
func (r *Result) PerCore() float64 {
	return float64(r.Packets) / r.CPU.Seconds()
}

// Run measures all forwarders.
func Run(cfg Config) ([]*Result, error) {
	s, err := newSession(cfg)
	if err != nil {
		return nil, err
	}
	defer s.close()
	results := make([]*Result, len(cfg.Forwarders))
	for i, f := range cfg.Forwarders {
		results[i] = &Result{Forwarder: f, Delay: newHistogram()}
		if err := s.openFlows(f); err != nil {
			return nil, err
		}
	}
	for range cfg.Rounds {
		for _, r := range results {
			if err := s.measureRate(r); err != nil {
				return nil, err
			}
			if err := s.measureDelay(r); err != nil {
				return nil, err
			}
		}
	}
	return results, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxDelay), delayDigits)
}

// session holds the source, the sink and the packets of a run.
type session struct {
	cfg        Config
	start      time.Time
	source     udpio.Conn
	sink       udpio.Conn
	packets    [][]byte
	nextPacket int
	outBatch   []udpio.Message

	// received counts the packets that arrived at the sink.
	received atomic.Int64
	arrived  chan struct{}
	done     chan struct{}

	mu sync.Mutex
	// delays records the delay of every arriving packet. It is nil while delays are not recorded.
	delays *hdrhistogram.Histogram
}

func newSession(cfg Config) (*session, error) {
	if cfg.Payload < timestampSize {
		return nil, fmt.Errorf("payload of %d bytes is too small: the minimum is %d", cfg.Payload, timestampSize)
	}
	sink, err := cfg.Network.Listen(cfg.Sink)
	if err != nil {
		return nil, fmt.Errorf("open sink socket: %w", err)
	}
	source, err := cfg.Network.Listen(netip.AddrPortFrom(cfg.Sink.Addr(), 0))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open source socket: %w", err), sink.Close())
	}
	s := &session{
		cfg:      cfg,
		start:    time.Now(),
		source:   source,
		sink:     sink,
		packets:  flowPackets(cfg, packet.ACK),
		outBatch: make([]udpio.Message, batchSize),
		arrived:  make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	go s.read()
	return s, nil
}

func (s *session) close() {
	s.source.Close()
	s.sink.Close()
	<-s.done
}

// flowPackets returns one packet for each flow.
func flowPackets(cfg Config, flags packet.Flags) [][]byte {
	packets := make([][]byte, cfg.Flows)
	payload := make([]byte, cfg.Payload)
	for i := range packets {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], callerPrefix|uint32(i+1))
		src := netip.AddrPortFrom(netip.AddrFrom4(ip), callerPort)
		packets[i] = packet.AppendTCP(nil, src, cfg.Service, flags, 1, 1, payload)
	}
	return packets
}

// read receives packets at the sink until it is closed.
func (s *session) read() {
	defer close(s.done)
	in := make([]udpio.Message, batchSize)
	for i := range in {
		in[i].Buf = make([]byte, bufferSize)
	}
	for {
		n, err := s.sink.ReadBatch(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.record(in[:n])
		s.received.Add(int64(n))
		select {
		case s.arrived <- struct{}{}:
		default:
		}
	}
}

// recordInto starts recording delays in h, or stops recording if h is nil.
func (s *session) recordInto(h *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = h
}

// record records the delay of every packet of a batch.
func (s *session) record(in []udpio.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delays == nil {
		return
	}
	now := time.Since(s.start)
	for _, m := range in {
		timestamp := m.Buf[m.N-s.cfg.Payload:]
		sent := time.Duration(binary.BigEndian.Uint64(timestamp))
		s.delays.RecordValue(int64(now - sent))
	}
}

// send sends one packet of each of the next n flows. The payload contains the send time.
func (s *session) send(via netip.AddrPort, packets [][]byte, n int) error {
	now := uint64(time.Since(s.start))
	for i := range n {
		p := packets[s.nextPacket%len(packets)]
		s.nextPacket++
		binary.BigEndian.PutUint64(p[len(p)-s.cfg.Payload:], now)
		s.outBatch[i] = udpio.Message{Buf: p, N: len(p), Addr: via}
	}
	if _, err := s.source.WriteBatch(s.outBatch[:n]); err != nil {
		return fmt.Errorf("send to %v: %w", via, err)
	}
	return nil
}

// awaitArrivals waits until the sink has received n packets more than before, or until no packet has arrived
// for lossTimeout. It returns the number of packets received since before.
func (s *session) awaitArrivals(before, n int64) int64 {
	timer := time.NewTimer(lossTimeout)
	defer timer.Stop()
	for {
		got := s.received.Load() - before
		if got >= n {
			return got
		}
		select {
		case <-s.arrived:
			timer.Reset(lossTimeout)
		case <-timer.C:
			return s.received.Load() - before
		}
	}
}

// openFlows sends a SYN for every flow, so that the forwarder assigns a target to each.
func (s *session) openFlows(f Forwarder) error {
	syns := flowPackets(s.cfg, packet.SYN)
	before := s.received.Load()
	for sent := 0; sent < len(syns); {
		n := min(batchSize, len(syns)-sent)
		s.nextPacket = sent
		if err := s.send(f.Via, syns, n); err != nil {
			return err
		}
		sent += n
		if got := s.awaitArrivals(before, int64(sent)); got < int64(sent) {
			return fmt.Errorf("open flows through %s at %v: only %d of %d packets arrived", f.Name, f.Via, got, sent)
		}
	}
	return nil
}

// measureRate keeps a window of packets in flight for the duration of one round.
func (s *session) measureRate(r *Result) error {
	time.Sleep(settleTime)
	window := int64(max(s.cfg.Window, batchSize))
	before := s.received.Load()
	cpu, err := cpuTime(r.Forwarder.PID)
	if err != nil {
		return err
	}
	begin := time.Now()
	var sent, lost int64
	for time.Since(begin) < s.cfg.Round {
		if err := s.send(r.Forwarder.Via, s.packets, batchSize); err != nil {
			return err
		}
		sent += batchSize
		want := sent - window + batchSize - lost
		if got := s.awaitArrivals(before, want); got < want {
			lost = sent - got
		}
	}
	got := s.awaitArrivals(before, sent-lost)
	r.Elapsed += time.Since(begin)
	after, err := cpuTime(r.Forwarder.PID)
	if err != nil {
		return err
	}
	r.CPU += after - cpu
	r.Packets += got
	r.Lost += sent - got
	return nil
}

// measureDelay sends bursts of packets at the configured rate for the duration of one round.
func (s *session) measureDelay(r *Result) error {
	time.Sleep(settleTime)
	burst := max(1, min(batchSize, s.cfg.Rate*int(burstInterval)/int(time.Second)))
	s.recordInto(r.Delay)
	defer s.recordInto(nil)
	ticker := time.NewTicker(burstInterval)
	defer ticker.Stop()
	before := s.received.Load()
	var sent int64
	for begin := time.Now(); time.Since(begin) < s.cfg.Round; <-ticker.C {
		if err := s.send(r.Forwarder.Via, s.packets, burst); err != nil {
			return err
		}
		sent += int64(burst)
	}
	s.awaitArrivals(before, sent)
	return nil
}
