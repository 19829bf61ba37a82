package consent

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/flow"
	"github.com/fireflypin/fireflypin/model"
)

// Question asks whether the receiver has received later packets of flows than the sender.
type Question struct {
	// ID is returned in the answer.
	ID    uint64
	Flows []flow.LastPacket
}

// Answer answers a Question.
type Answer struct {
	ID uint64
	// Reach is how long the sender has known all packets that it received.
	Reach time.Duration
	// InZone is the number of live daemons of the asker's zone that the sender knows, with the asker and itself.
	InZone int
	// Later is true for each flow of the question of which the sender received a later packet.
	Later []bool
}

// The layouts, big-endian. Question: ID (8 bytes), then for each flow its hash (8), Ack (4) and Since in ms (4). Answer: ID
// (8), Reach in ms (4), InZone (4), then one byte for each flow, 1 for later.
const (
	idBytes     = 8
	flowBytes   = 16
	answerBytes = idBytes + 8
)

// AppendTo appends the encoded question to dst.
func (q *Question) AppendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, q.ID)
	for _, f := range q.Flows {
		dst = binary.BigEndian.AppendUint64(dst, uint64(f.Flow))
		dst = binary.BigEndian.AppendUint32(dst, f.Ack)
		dst = binary.BigEndian.AppendUint32(dst, millis(f.Since))
	}
	return dst
}

// DecodeQuestion decodes the body of a question. It returns errkind.PeerMalformed for an invalid body.
func DecodeQuestion(body []byte) (Question, errkind.Kind) {
	if len(body) < idBytes+flowBytes || (len(body)-idBytes)%flowBytes != 0 || len(body) > idBytes+MaxFlows*flowBytes {
		return Question{}, errkind.PeerMalformed
	}
	q := Question{ID: binary.BigEndian.Uint64(body)}
	for rest := body[idBytes:]; len(rest) > 0; rest = rest[flowBytes:] {
		q.Flows = append(q.Flows, flow.LastPacket{
			Flow:  model.FlowHash(binary.BigEndian.Uint64(rest)),
			Ack:   binary.BigEndian.Uint32(rest[8:]),
			Since: time.Duration(binary.BigEndian.Uint32(rest[12:])) * time.Millisecond,
		})
	}
	return q, errkind.None
}

// AppendTo appends the encoded answer to dst.
func (a *Answer) AppendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint64(dst, a.ID)
	dst = binary.BigEndian.AppendUint32(dst, millis(a.Reach))
	dst = binary.BigEndian.AppendUint32(dst, uint32(a.InZone))
	for _, later := range a.Later {
		dst = append(dst, boolByte(later))
	}
	return dst
}

// DecodeAnswer decodes the body of an answer. It returns errkind.PeerMalformed for an invalid body.
func DecodeAnswer(body []byte) (Answer, errkind.Kind) {
	if len(body) <= answerBytes || len(body) > answerBytes+MaxFlows {
		return Answer{}, errkind.PeerMalformed
	}
	a := Answer{
		ID:     binary.BigEndian.Uint64(body),
		Reach:  time.Duration(binary.BigEndian.Uint32(body[8:])) * time.Millisecond,
		InZone: int(binary.BigEndian.Uint32(body[12:])),
	}
	for _, b := range body[answerBytes:] {
		if b > 1 {
			return Answer{}, errkind.PeerMalformed
		}
		a.Later = append(a.Later, b == 1)
	}
	return a, errkind.None
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
