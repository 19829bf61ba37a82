package wire

import (
	"encoding/binary"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// HopMeta precedes the packet in a KindHop datagram.
type HopMeta struct {
	// Hops is the number of daemons that the packet has passed.
	Hops uint8
	// FromTarget is true for an answer on its way to the caller.
	FromTarget bool
	// Known is true for a flow that the sender has known since before the present partition.
	Known bool
	// Delegated is true when the sender owns the flow but does not know it: the receiver decides, as the
	// flow's former owner.
	Delegated bool
	// Declined is true when the sender was asked to decide and does not know the flow either.
	Declined bool
	// Former identifies the run of the owner whose log last covered the flow at the sender; 0 for none.
	Former uint32
}

const (
	hopFromTarget = 0
	hopKnown      = 1
	hopDelegated  = 2
	hopFormer     = 3
	hopDeclined   = 4
	hopFlagsEnd   = 32

	hopFormerBytes = 4
)

// hopMetaBytes is the length of an encoded HopMeta without its Former.
const hopMetaBytes = 2

// AppendTo appends the encoded meta to dst.
func (m HopMeta) AppendTo(dst []byte) []byte {
	flags := boolBit(m.FromTarget, hopFromTarget) | boolBit(m.Known, hopKnown) | boolBit(m.Delegated, hopDelegated) |
		boolBit(m.Declined, hopDeclined)
	if m.Former == 0 {
		return append(dst, m.Hops, flags)
	}
	dst = append(dst, m.Hops, flags|1<<hopFormer)
	return binary.BigEndian.AppendUint32(dst, m.Former)
}

// DecodeHop splits the body of a KindHop datagram; the packet aliases body.
func DecodeHop(body []byte) (HopMeta, []byte, errkind.Kind) {
	if len(body) < hopMetaBytes || body[1] >= hopFlagsEnd {
		return HopMeta{}, nil, errkind.PeerMalformed
	}
	meta := HopMeta{
		Hops:       body[0],
		FromTarget: body[1]&(1<<hopFromTarget) != 0,
		Known:      body[1]&(1<<hopKnown) != 0,
		Delegated:  body[1]&(1<<hopDelegated) != 0,
		Declined:   body[1]&(1<<hopDeclined) != 0,
	}
	rest := body[hopMetaBytes:]
	if body[1]&(1<<hopFormer) == 0 {
		return meta, rest, errkind.None
	}
	if len(rest) < hopFormerBytes {
		return HopMeta{}, nil, errkind.PeerMalformed
	}
	meta.Former = binary.BigEndian.Uint32(rest)
	return meta, rest[hopFormerBytes:], errkind.None
}

// RumourState is what a rumour tells of a machine.
type RumourState uint8

// The states. At the same incarnation and epoch a later one outweighs an earlier one, except that
// the first three come from the machine itself and never contradict each other.
const (
	// RumourNotReady is a machine that answers but decides nothing yet.
	RumourNotReady RumourState = iota
	// RumourReady is a machine that owns flows.
	RumourReady
	// RumourLeaving is a machine in a planned stop.
	RumourLeaving
	// RumourHeard vouches for a suspected machine: the sender heard from it itself a moment ago.
	RumourHeard
	// RumourSuspect asks the receiver whether it has heard from the machine; the machine itself answers.
	RumourSuspect
	// RumourDead is a machine of which its zone heard nothing for too long.
	RumourDead
	// RumourLeft is a machine that ended its planned stop.
	RumourLeft

	rumourStateEnd
)

// Rumour is a piece of news about a machine.
type Rumour struct {
	Machine     model.MachineID
	Incarnation uint64
	// Epoch grows within an incarnation whenever the machine changes what it tells of itself, or
	// refutes a suspicion.
	Epoch uint32
	State RumourState
}

// SectionID tells the payload sections of a heartbeat apart.
type SectionID uint8

// The sections of a heartbeat.
const (
	// SectionLimits summarises use of customers' limits.
	SectionLimits SectionID = 1
	// SectionHealth carries results of target probes.
	SectionHealth SectionID = 2
	// SectionLists carries digests of published documents.
	SectionLists SectionID = 3
)

// Section is an opaque payload of another package.
type Section struct {
	ID SectionID
	// Data aliases the datagram after Decode.
	Data []byte
}

// Heartbeat tells that its sender is here, and what it knows. Sender and incarnation are in the
// envelope.
type Heartbeat struct {
	// Ready is true when the sender may own flows.
	Ready bool
	// Leaving is true from the start of the sender's planned stop.
	Leaving bool
	// Left is true in the last heartbeats of a planned stop: everything is handed over.
	Left bool
	// Pull asks the receiver for the state of its zone at once.
	Pull bool
	// Epoch is the sender's own; see Rumour.
	Epoch     uint32
	Revisions model.Revisions
	// View is a digest of the members of the sender's zone that the sender holds to be here.
	View     uint64
	Rumours  []Rumour
	Sections []Section
}

const (
	heartbeatReady   = 0
	heartbeatLeaving = 1
	heartbeatLeft    = 2
	heartbeatPull    = 3
)

// AppendTo appends the encoded heartbeat to dst.
func (h *Heartbeat) AppendTo(dst []byte) []byte {
	dst = append(dst, boolBit(h.Ready, heartbeatReady)|boolBit(h.Leaving, heartbeatLeaving)|
		boolBit(h.Left, heartbeatLeft)|boolBit(h.Pull, heartbeatPull))
	dst = binary.AppendUvarint(dst, uint64(h.Epoch))
	dst = binary.AppendUvarint(dst, h.Revisions.Customers)
	dst = binary.AppendUvarint(dst, h.Revisions.Plans)
	dst = binary.AppendUvarint(dst, h.Revisions.Machines)
	dst = binary.BigEndian.AppendUint64(dst, h.View)
	dst = binary.AppendUvarint(dst, uint64(len(h.Rumours)))
	for _, r := range h.Rumours {
		dst = r.appendTo(dst)
	}
	for _, s := range h.Sections {
		dst = append(dst, byte(s.ID))
		dst = binary.AppendUvarint(dst, uint64(len(s.Data)))
		dst = append(dst, s.Data...)
	}
	return dst
}

// Decode replaces h by the heartbeat in a body and reuses the memory of its slices. Sections alias
// the body.
func (h *Heartbeat) Decode(body []byte) errkind.Kind {
	d := decoder{rest: body}
	flags := d.byte()
	h.Ready = flags&(1<<heartbeatReady) != 0
	h.Leaving = flags&(1<<heartbeatLeaving) != 0
	h.Left = flags&(1<<heartbeatLeft) != 0
	h.Pull = flags&(1<<heartbeatPull) != 0
	h.Epoch = d.uvarint32()
	h.Revisions.Customers = d.uvarint()
	h.Revisions.Plans = d.uvarint()
	h.Revisions.Machines = d.uvarint()
	h.View = d.uint64()
	h.Rumours = h.Rumours[:0]
	for n := d.count(minRumourBytes); n > 0 && !d.failed; n-- {
		h.Rumours = append(h.Rumours, d.rumour())
	}
	h.Sections = h.Sections[:0]
	for !d.failed && len(d.rest) > 0 {
		id := SectionID(d.byte())
		h.Sections = append(h.Sections, Section{ID: id, Data: d.bytes(d.uvarint())})
	}
	return d.kind()
}

// minRumourBytes is the length of the shortest encoded rumour.
const minRumourBytes = 7

func (r Rumour) appendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(r.Machine))
	dst = append(dst, byte(r.State))
	dst = binary.AppendUvarint(dst, r.Incarnation)
	return binary.AppendUvarint(dst, uint64(r.Epoch))
}

func (d *decoder) rumour() Rumour {
	r := Rumour{
		Machine:     model.MachineID(d.uint32()),
		State:       RumourState(d.byte()),
		Incarnation: d.uvarint(),
		Epoch:       d.uvarint32(),
	}
	if r.State >= rumourStateEnd || r.Machine == 0 {
		d.failed = true
	}
	return r
}

// Record is one entry of an owner's exception log.
type Record struct {
	Hash model.FlowHash
	// Target is where the flow goes; 0 with Remove.
	Target model.TargetID
	// Remove is true when the flow is no exception any more.
	Remove bool
	// Settled is true with Remove when the flow goes on and its target has become its default one; else
	// the flow is over.
	Settled bool
}

// LogBatch carries consecutive records of an owner's exception log to one receiver.
type LogBatch struct {
	// OwnerIncarnation is the incarnation under which the owner numbers its log.
	OwnerIncarnation uint64
	// FirstSeq is the sequence number of Records[0].
	FirstSeq uint64
	// NextSeq is the number that the owner's next record gets. It is above
	// FirstSeq + len(Records) when more batches follow.
	NextSeq uint64
	// Generation is the one that the owner's defaults came from after the last record of the batch.
	Generation model.Generation
	// Echo is the newest LogAck.Mark of the receiver that the owner had seen when it built the batch.
	// It proves to the receiver how fresh the batch is.
	Echo uint64
	// Complete is true when the log names every exception among the flows that the owner had when it
	// received the echoed mark. It is false while the owner is still taking over flows of others.
	Complete bool
	// Owners is a digest of the owners in the sender's view. The echo holds for a receiver with the same
	// view alone: by another view the sender may not know yet that it owns a flow.
	Owners  uint32
	Records []Record
}

// A record ends in a reference to its target: recordRemove, recordSettled, recordNewTarget with the id
// after it, or recordFirstTarget plus the index of an id that appeared earlier in the batch.
const (
	recordRemove      = 0
	recordNewTarget   = 1
	recordFirstTarget = 2
	recordSettled     = 255

	minRecordBytes = 9
	// maxBatchTargets bounds the ids that a batch refers back to.
	maxBatchTargets = 126
)

// AppendTo appends the encoded batch to dst.
func (b *LogBatch) AppendTo(dst []byte) []byte {
	dst = binary.AppendUvarint(dst, b.OwnerIncarnation)
	dst = binary.AppendUvarint(dst, b.FirstSeq)
	dst = binary.AppendUvarint(dst, b.NextSeq-b.FirstSeq)
	dst = binary.AppendUvarint(dst, b.Generation.Plans)
	dst = binary.AppendUvarint(dst, b.Generation.Machines)
	dst = binary.AppendUvarint(dst, b.Echo)
	dst = append(dst, boolBit(b.Complete, 0))
	dst = binary.BigEndian.AppendUint32(dst, b.Owners)
	dst = binary.AppendUvarint(dst, uint64(len(b.Records)))
	var known targetIndex
	for _, r := range b.Records {
		dst = binary.BigEndian.AppendUint64(dst, uint64(r.Hash))
		dst = known.appendReference(dst, r)
	}
	return dst
}

// Decode replaces b by the batch in a body and reuses the memory of its records.
func (b *LogBatch) Decode(body []byte) errkind.Kind {
	d := decoder{rest: body}
	b.OwnerIncarnation = d.uvarint()
	b.FirstSeq = d.uvarint()
	b.NextSeq = b.FirstSeq + d.uvarint()
	b.Generation.Plans = d.uvarint()
	b.Generation.Machines = d.uvarint()
	b.Echo = d.uvarint()
	flags := d.byte()
	if flags > 1 {
		d.failed = true
	}
	b.Complete = flags == 1
	b.Owners = d.uint32()
	b.Records = b.Records[:0]
	n := d.count(minRecordBytes)
	if b.NextSeq < b.FirstSeq || b.NextSeq-b.FirstSeq < uint64(n) {
		d.failed = true
	}
	var known targetIndex
	for ; n > 0 && !d.failed; n-- {
		r := Record{Hash: model.FlowHash(d.uint64())}
		known.decodeReference(&d, &r)
		b.Records = append(b.Records, r)
	}
	return d.end()
}

// targetIndex holds the target ids of a batch in the order of their first use.
type targetIndex struct {
	ids [maxBatchTargets]model.TargetID
	n   int
}

func (t *targetIndex) appendReference(dst []byte, r Record) []byte {
	if r.Settled {
		return append(dst, recordSettled)
	}
	if r.Remove {
		return append(dst, recordRemove)
	}
	for i, id := range t.ids[:t.n] {
		if id == r.Target {
			return append(dst, byte(recordFirstTarget+i))
		}
	}
	t.add(r.Target)
	dst = append(dst, recordNewTarget)
	return binary.BigEndian.AppendUint32(dst, uint32(r.Target))
}

func (t *targetIndex) decodeReference(d *decoder, r *Record) {
	switch ref := d.byte(); {
	case ref == recordRemove:
		r.Remove = true
	case ref == recordSettled:
		r.Remove, r.Settled = true, true
	case ref == recordNewTarget:
		r.Target = model.TargetID(d.uint32())
		t.add(r.Target)
	case int(ref)-recordFirstTarget < t.n:
		r.Target = t.ids[ref-recordFirstTarget]
	default:
		d.failed = true
	}
}

// add remembers an id while there is room; later new ids are always spelt out.
func (t *targetIndex) add(id model.TargetID) {
	if t.n < maxBatchTargets {
		t.ids[t.n] = id
		t.n++
	}
}

// LogAck tells an owner how far its log was applied.
type LogAck struct {
	// OwnerIncarnation is the incarnation of the log.
	OwnerIncarnation uint64
	// Seq says that all records with lower numbers are applied.
	Seq uint64
	// Mark is the acknowledging daemon's own, growing number; the owner echoes the newest it has seen.
	Mark uint64
	// NeedSnapshot is true when the log can't be continued from the next batch.
	NeedSnapshot bool
}

// AppendTo appends the encoded acknowledgement to dst.
func (a *LogAck) AppendTo(dst []byte) []byte {
	dst = append(dst, boolBit(a.NeedSnapshot, 0))
	dst = binary.AppendUvarint(dst, a.OwnerIncarnation)
	dst = binary.AppendUvarint(dst, a.Seq)
	return binary.AppendUvarint(dst, a.Mark)
}

// Decode replaces a by the acknowledgement in a body.
func (a *LogAck) Decode(body []byte) errkind.Kind {
	d := decoder{rest: body}
	flags := d.byte()
	if flags > 1 {
		d.failed = true
	}
	a.NeedSnapshot = flags == 1
	a.OwnerIncarnation = d.uvarint()
	a.Seq = d.uvarint()
	a.Mark = d.uvarint()
	return d.end()
}

// AppendBundled appends one message to the body of a KindBundle datagram, so that several messages
// to one receiver share a header and a code.
func AppendBundled(dst []byte, kind Kind, message []byte) []byte {
	dst = append(dst, byte(kind))
	dst = binary.AppendUvarint(dst, uint64(len(message)))
	return append(dst, message...)
}

// EachMessage calls fn for each message of a datagram: the only one, or each of a bundle. Messages
// before a malformed one are passed on.
func EachMessage(env Envelope, fn func(kind Kind, message []byte)) errkind.Kind {
	if env.Kind != KindBundle {
		fn(env.Kind, env.Body)
		return errkind.None
	}
	d := decoder{rest: env.Body}
	for len(d.rest) > 0 {
		kind := Kind(d.byte())
		message := d.bytes(d.uvarint())
		if d.failed || kind == 0 || kind >= KindBundle {
			return errkind.PeerMalformed
		}
		fn(kind, message)
	}
	return errkind.None
}

func boolBit(b bool, bit uint) byte {
	if b {
		return 1 << bit
	}
	return 0
}
