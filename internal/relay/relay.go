package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	// DefaultBatch is the number of datagrams read at once.
	DefaultBatch = 64
	// DefaultBufferSize is the space for one datagram in bytes.
	DefaultBufferSize = 1501
)

// Config holds the settings of a Relay.
type Config struct {
	// Network opens the socket.
	Network udpio.Network
	// Listen is the address that datagrams come to.
	Listen netip.AddrPort
	// To is the address that all datagrams go to.
	To netip.AddrPort
	// Batch is the number of datagrams read at once. 0 means DefaultBatch.
	Batch int
	// BufferSize is the space for one datagram in bytes. 0 means DefaultBufferSize.
	BufferSize int
}

// Relay passes datagrams on from one socket.
type Relay struct {
	conn udpio.Conn
	to   netip.AddrPort
	ms   []udpio.Message
	// dropped counts datagrams that the system did not take.
	dropped uint64
}

// New opens the relay's socket.
func New(cfg Config) (*Relay, error) {
	if cfg.Batch == 0 {
		cfg.Batch = DefaultBatch
	}
	if cfg.BufferSize == 0 {
		cfg.BufferSize = DefaultBufferSize
	}
	conn, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("open relay: %w", err)
	}
	r := &Relay{conn: conn, to: cfg.To, ms: make([]udpio.Message, cfg.Batch)}
	for i := range r.ms {
		r.ms[i].Buf = make([]byte, cfg.BufferSize)
	}
	return r, nil
}

// Addr returns the address that datagrams come to.
func (r *Relay) Addr() netip.AddrPort {
	return r.conn.LocalAddr()
}

// Run passes datagrams on until Close. Other errors end it too.
func (r *Relay) Run() error {
	for {
		n, err := r.conn.ReadBatch(r.ms)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read relay: %w", err)
		}
		r.forward(r.ms[:n])
	}
}

func (r *Relay) forward(ms []udpio.Message) {
	for i := range ms {
		ms[i].Addr = r.to
	}
	sent, _ := r.conn.WriteBatch(ms)
	r.dropped += uint64(len(ms) - sent)
}

// Close ends Run.
func (r *Relay) Close() error {
	return r.conn.Close()
}
