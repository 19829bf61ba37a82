package standin

import (
	"net/netip"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/packet"
)

// outbox collects the datagrams that a state machine sends in response to one event.
type outbox struct {
	datagrams []Datagram
}

func (o *outbox) add(to netip.AddrPort, data []byte) {
	o.datagrams = append(o.datagrams, Datagram{Addr: to, Data: data})
}

// take returns the collected datagrams and empties the outbox.
func (o *outbox) take() []Datagram {
	out := o.datagrams
	o.datagrams = nil
	return out
}

// decoded is a decoded inner packet.
type decoded struct {
	meta    packet.Meta
	payload []byte
}

// decode decodes an inner packet. It returns false for a malformed packet, which a kernel would drop.
func decode(dec *packet.Decoder, data []byte) (decoded, bool) {
	var p decoded
	if kind := dec.Decode(data, &p.meta); kind != errkind.None {
		return p, false
	}
	end := p.meta.Len
	p.payload = data[end-p.meta.PayloadLen : end]
	return p, true
}

func (p decoded) segment() segment {
	return segment{flags: p.meta.Flags, seq: p.meta.Seq, ack: p.meta.Ack, payload: p.payload}
}
