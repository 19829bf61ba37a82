package wire

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/fireflypin/fireflypin/model"
)

// Kind is the type of a datagram or of a bundled message.
type Kind uint8

// The kinds of datagrams.
const (
	// KindForward forwards a packet of a caller or a target to the owner of its flow: a ForwardMeta, then the packet.
	KindForward Kind = 1
	// KindHeartbeat carries a Heartbeat.
	KindHeartbeat Kind = 2
	// KindLogBatch carries a LogBatch.
	KindLogBatch Kind = 3
	// KindLogAck carries a LogAck.
	KindLogAck Kind = 4
	// KindBundle carries several messages; see AppendBundled.
	KindBundle Kind = 5
	// KindItemGossip carries gossip between daemons about published items.
	KindItemGossip Kind = 6
	// KindFlowQuestion asks whether the receiver received later packets of flows than the sender.
	KindFlowQuestion Kind = 7
	// KindFlowAnswer answers a KindFlowQuestion.
	KindFlowAnswer Kind = 8

	kindEnd Kind = 9
)

// AnyReceiver is the receiver id of a datagram that is sealed once and sent to several receivers.
const AnyReceiver model.MachineID = 0

const (
	version = 1

	keyIDOffset       = 1
	kindOffset        = 2
	senderOffset      = 3
	incarnationOffset = 7
	counterOffset     = 15

	directedBit = 0x80

	// HeaderBytes is the length of the header of a datagram.
	HeaderBytes = 23
	// MACBytes is the length of the message authentication code of a datagram.
	MACBytes = 16
	// Overhead is the number of bytes that sealing adds to a body.
	Overhead = HeaderBytes + MACBytes
)

// Envelope is an authenticated datagram.
type Envelope struct {
	Kind   Kind
	Sender model.MachineID
	// Incarnation identifies the process that ran on the sender. Each restart has a higher incarnation.
	Incarnation uint64
	// Counter increases with each datagram of one incarnation.
	Counter uint64
	// Body is a subslice of the datagram.
	Body []byte
}

// Counter numbers the datagrams of one process. All sealers of a process share one Counter. It is safe for
// concurrent use.
type Counter struct {
	last atomic.Uint64
}

// Next returns a number greater than all previous ones. The first is 1.
func (c *Counter) Next() uint64 {
	return c.last.Add(1)
}

// NewIncarnation returns the incarnation of a process that starts at now, in milliseconds since the Unix epoch.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())
}

// mustBeDirected reports whether datagrams of this kind are valid only if they are sealed for one receiver.
func (k Kind) mustBeDirected() bool {
	return k != KindHeartbeat && k != KindItemGossip && k != KindFlowQuestion
}

func appendHeader(dst []byte, keyID, kind byte, sender model.MachineID, incarnation, counter uint64) []byte {
	dst = append(dst, version, keyID, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(sender))
	dst = binary.BigEndian.AppendUint64(dst, incarnation)
	return binary.BigEndian.AppendUint64(dst, counter)
}

func decodeHeader(b []byte) Envelope {
	return Envelope{
		Kind:        Kind(b[kindOffset] &^ directedBit),
		Sender:      model.MachineID(binary.BigEndian.Uint32(b[senderOffset:])),
		Incarnation: binary.BigEndian.Uint64(b[incarnationOffset:]),
		Counter:     binary.BigEndian.Uint64(b[counterOffset:]),
		Body:        b[HeaderBytes : len(b)-MACBytes],
	}
}
