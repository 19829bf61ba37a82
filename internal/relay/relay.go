package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/fireflypin/fireflypin/internal/udpio"
)

const (
	// DefaultBatch is the default maximum number of datagrams per batch.
	DefaultBatch = 64
	// DefaultBufferSize is the default buffer size for one datagram in bytes.
	DefaultBufferSize = 1501
)

// Config holds the settings of a Relay.
type Config struct {
	// Network opens the socket.
	Network udpio.Network
	// Listen is the address at which datagrams are received.
	Listen netip.AddrPort
	// Destination is the address to which all datagrams are sent.
	Destination netip.AddrPort
	// Batch is the maximum number of datagrams per batch. 0 means DefaultBatch.
	Batch int
	// BufferSize is the buffer size for one datagram in bytes. 0 means DefaultBufferSize.
	BufferSize int
}

// Relay forwards datagrams that arrive at a socket.
type Relay struct {
	conn        udpio.Conn
	destination netip.AddrPort
	messages    []udpio.Message
	// dropped counts the datagrams that could not be sent.
	dropped uint64
}

// New returns a relay with an open socket.
func New(cfg Config) (*Relay, error) {
	if cfg.Batch == 0 {
		cfg.Batch = DefaultBatch
	}
	if cfg.BufferSize == 0 {
		cfg.BufferSize = DefaultBufferSize
	}
	conn, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("open relay socket: %w", err)
	}
	r := &Relay{conn: conn, destination: cfg.Destination, messages: make([]udpio.Message, cfg.Batch)}
	for i := range r.messages {
		r.messages[i].Buf = make([]byte, cfg.BufferSize)
	}
	return r, nil
}

// Addr returns the address at which datagrams are received.
func (r *Relay) Addr() netip.AddrPort {
	return r.conn.LocalAddr()
}

// Run forwards datagrams until Close is called. It returns nil after Close, and otherwise the read error.
func (r *Relay) Run() error {
	for {
		n, err := r.conn.ReadBatch(r.messages)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read relay socket: %w", err)
		}
		r.forward(r.messages[:n])
	}
}

func (r *Relay) forward(messages []udpio.Message) {
	for i := range messages {
		messages[i].Addr = r.destination
	}
	sent, _ := r.conn.WriteBatch(messages)
	r.dropped += uint64(len(messages) - sent)
}

// Close closes the socket, which ends Run.
func (r *Relay) Close() error {
	return r.conn.Close()
}
