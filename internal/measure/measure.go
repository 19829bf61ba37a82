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
	// markSize is the send time at the start of the payload.
	markSize = 8

	// lostAfter is the wait without any arrival after which packets on their way count as lost.
	lostAfter = 200 * time.Millisecond
	// pace is the time between two bursts of paced packets.
	pace = time.Millisecond
	// settle is the wait between two rounds.
	settle = 50 * time.Millisecond

	maxDelay     = 10 * time.Second
	delayDigits  = 3
	callerPort   = 40000
	callerPrefix = 10 << 24
)

// Path is one forwarder to measure.
type Path struct {
	Name string
	// Via is where the forwarder takes packets.
	Via netip.AddrPort
	// PID is the forwarder's process.
	PID int
}

// Config holds the settings of a run.
type Config struct {
	// Network opens the source and the sink.
	Network udpio.Network
	// Paths take turns.
	Paths []Path
	// Sink is the address that all forwarders send to.
	Sink netip.AddrPort
	// Service is the destination of the inner packets.
	Service netip.AddrPort
	// Flows is the number of flows that packets belong to.
	Flows int
	// Payload is the TCP payload of each packet in bytes, 8 or more.
	Payload int
	// Window is the number of packets on their way while the rate is measured.
	Window int
	// Rate is the packets per second while the delay is measured.
	Rate int
	// Round is the length of one path's turn, for the rate and for the delay.
	Round time.Duration
	// Rounds is the number of turns of each path.
	Rounds int
}

// Result is what was measured of one path.
type Result struct {
	Path Path
	// Packets is the number of packets received while the rate was measured, Lost those that were not.
	Packets, Lost int64
	// Elapsed and CPU are the wall and processor time of these packets.
	Elapsed, CPU time.Duration
	// Delay is from the write of a packet to its read at the sink, in nanoseconds, at the paced rate.
	Delay *hdrhistogram.Histogram
}

// PerSecond returns the packets received in a second.
func (r *Result) PerSecond() float64 {
	return float64(r.Packets) / r.Elapsed.Seconds()
}

// PerCore returns the packets received for a second of the forwarder's processor time.
func (r *Result) PerCore() float64 {
	return float64(r.Packets) / r.CPU.Seconds()
}

// Run measures all paths.
func Run(cfg Config) ([]*Result, error) {
	s, err := newSession(cfg)
	if err != nil {
		return nil, err
	}
	defer s.close()
	results := make([]*Result, len(cfg.Paths))
	for i, p := range cfg.Paths {
		results[i] = &Result{Path: p, Delay: newHistogram()}
		if err := s.open(p); err != nil {
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
	cfg     Config
	start   time.Time
	source  udpio.Conn
	sink    udpio.Conn
	packets [][]byte
	next    int
	out     []udpio.Message

	// received counts arrivals.
	received atomic.Int64
	arrived  chan struct{}
	done     chan struct{}

	mu sync.Mutex
	// delays takes the delay of every arrival; nil while none are recorded.
	delays *hdrhistogram.Histogram
}

func newSession(cfg Config) (*session, error) {
	if cfg.Payload < markSize {
		return nil, fmt.Errorf("measure with a payload of %d bytes: less than %d", cfg.Payload, markSize)
	}
	sink, err := cfg.Network.Listen(cfg.Sink)
	if err != nil {
		return nil, fmt.Errorf("open the sink: %w", err)
	}
	source, err := cfg.Network.Listen(netip.AddrPortFrom(cfg.Sink.Addr(), 0))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open the source: %w", err), sink.Close())
	}
	s := &session{
		cfg:     cfg,
		start:   time.Now(),
		source:  source,
		sink:    sink,
		packets: flowPackets(cfg, packet.ACK),
		out:     make([]udpio.Message, batchSize),
		arrived: make(chan struct{}, 1),
		done:    make(chan struct{}),
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

// read takes packets at the sink until it is closed.
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

// recordInto starts to record delays in h, or stops where h is nil.
func (s *session) recordInto(h *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = h
}

// record notes the delay of every packet of a batch.
func (s *session) record(in []udpio.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delays == nil {
		return
	}
	now := time.Since(s.start)
	for _, m := range in {
		mark := m.Buf[m.N-s.cfg.Payload:]
		sent := time.Duration(binary.BigEndian.Uint64(mark))
		s.delays.RecordValue(int64(now - sent))
	}
}

// send writes n packets of the next flows, marked with the time.
func (s *session) send(via netip.AddrPort, packets [][]byte, n int) error {
	now := uint64(time.Since(s.start))
	for i := range n {
		p := packets[s.next%len(packets)]
		s.next++
		binary.BigEndian.PutUint64(p[len(p)-s.cfg.Payload:], now)
		s.out[i] = udpio.Message{Buf: p, N: len(p), Addr: via}
	}
	if _, err := s.source.WriteBatch(s.out[:n]); err != nil {
		return fmt.Errorf("send to %v: %w", via, err)
	}
	return nil
}

// awaitArrivals waits until the sink has received n packets more than before, or nothing comes any more.
// It returns how many came.
func (s *session) awaitArrivals(before, n int64) int64 {
	timer := time.NewTimer(lostAfter)
	defer timer.Stop()
	for {
		got := s.received.Load() - before
		if got >= n {
			return got
		}
		select {
		case <-s.arrived:
			timer.Reset(lostAfter)
		case <-timer.C:
			return s.received.Load() - before
		}
	}
}

// open sends the first packet of every flow, so that the forwarder places it.
func (s *session) open(p Path) error {
	syns := flowPackets(s.cfg, packet.SYN)
	before := s.received.Load()
	for sent := 0; sent < len(syns); {
		n := min(batchSize, len(syns)-sent)
		s.next = sent
		if err := s.send(p.Via, syns, n); err != nil {
			return err
		}
		sent += n
		if got := s.awaitArrivals(before, int64(sent)); got < int64(sent) {
			return fmt.Errorf("open flows through %s at %v: %d of %d packets arrived", p.Name, p.Via, got, sent)
		}
	}
	return nil
}

// measureRate keeps a window of packets on their way for one round.
func (s *session) measureRate(r *Result) error {
	time.Sleep(settle)
	window := int64(max(s.cfg.Window, batchSize))
	before := s.received.Load()
	cpu, err := processorTime(r.Path.PID)
	if err != nil {
		return err
	}
	begin := time.Now()
	var sent, lost int64
	for time.Since(begin) < s.cfg.Round {
		if err := s.send(r.Path.Via, s.packets, batchSize); err != nil {
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
	after, err := processorTime(r.Path.PID)
	if err != nil {
		return err
	}
	r.CPU += after - cpu
	r.Packets += got
	r.Lost += sent - got
	return nil
}

// measureDelay sends bursts at the configured rate for one round.
func (s *session) measureDelay(r *Result) error {
	time.Sleep(settle)
	burst := max(1, min(batchSize, s.cfg.Rate*int(pace)/int(time.Second)))
	s.recordInto(r.Delay)
	defer s.recordInto(nil)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	before := s.received.Load()
	var sent int64
	for begin := time.Now(); time.Since(begin) < s.cfg.Round; <-ticker.C {
		if err := s.send(r.Path.Via, s.packets, burst); err != nil {
			return err
		}
		sent += int64(burst)
	}
	s.awaitArrivals(before, sent)
	return nil
}
