package wire

import (
	"encoding/binary"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

// ForwardMeta precedes the packet in a KindForward datagram.
type ForwardMeta struct {
	// Hops is the number of daemons that the packet has passed.
	Hops uint8
	// FromTarget is true for a packet from a target to the caller.
	FromTarget bool
	// KnownBeforePartition is true if the sender first saw the flow before the current network partition began.
	KnownBeforePartition bool
	// Delegated is true if the sender owns the flow but has no state for it. The receiver, as the flow's
	// previous owner, has to route the packet.
	Delegated bool
	// Declined is true if the packet was delegated to the sender, and the sender has no state for the flow
	// either.
	Declined bool
	// CoveringOwner identifies the owner and incarnation whose exception log last covered the flow at the sender
	// or, before any did, to which the sender forwarded the flow's SYN; 0 for none.
	CoveringOwner uint32
}

const (
	forwardFromTarget           = 0
	forwardKnownBeforePartition = 1
	forwardDelegated            = 2
	forwardCoveringOwner        = 3
	forwardDeclined             = 4
	forwardFlagsEnd             = 32

	coveringOwnerBytes = 4
)

// forwardMetaBytes is the length of an encoded ForwardMeta without the optional CoveringOwner field.
const forwardMetaBytes = 2

// AppendTo appends the encoded ForwardMeta to dst.
func (m ForwardMeta) AppendTo(dst []byte) []byte {
	flags := boolBit(m.FromTarget, forwardFromTarget) | boolBit(m.KnownBeforePartition, forwardKnownBeforePartition) | boolBit(m.Delegated, forwardDelegated) |
		boolBit(m.Declined, forwardDeclined)
	if m.CoveringOwner == 0 {
		return append(dst, m.Hops, flags)
	}
	dst = append(dst, m.Hops, flags|1<<forwardCoveringOwner)
	return binary.BigEndian.AppendUint32(dst, m.CoveringOwner)
}

// DecodeForward splits the body of a KindForward datagram into its ForwardMeta and the packet. The packet is a subslice
// of body. It returns errkind.PeerMalformed for an invalid body.
func DecodeForward(body []byte) (ForwardMeta, []byte, errkind.Kind) {
	if len(body) < forwardMetaBytes || body[1] >= forwardFlagsEnd {
		return ForwardMeta{}, nil, errkind.PeerMalformed
	}
	meta := ForwardMeta{
		Hops:                 body[0],
		FromTarget:           body[1]&(1<<forwardFromTarget) != 0,
		KnownBeforePartition: body[1]&(1<<forwardKnownBeforePartition) != 0,
		Delegated:            body[1]&(1<<forwardDelegated) != 0,
		Declined:             body[1]&(1<<forwardDeclined) != 0,
	}
	rest := body[forwardMetaBytes:]
	if body[1]&(1<<forwardCoveringOwner) == 0 {
		return meta, rest, errkind.None
	}
	if len(rest) < coveringOwnerBytes {
		return ForwardMeta{}, nil, errkind.PeerMalformed
	}
	meta.CoveringOwner = binary.BigEndian.Uint32(rest)
	return meta, rest[coveringOwnerBytes:], errkind.None
}

// GossipState is the state of a machine in a gossip update.
type GossipState uint8

// The states. At the same incarnation and epoch, a later state overrides an earlier one. The first three
// are published by the machine itself, so that they never conflict with each other at the same epoch.
const (
	// GossipNotReady is a machine that responds but must not own flows yet.
	GossipNotReady GossipState = iota
	// GossipReady is a machine that owns flows.
	GossipReady
	// GossipDraining is a machine that is draining before a planned stop.
	GossipDraining
	// GossipConfirmedAlive confirms a suspected machine as alive: the sender recently received a message from it.
	GossipConfirmedAlive
	// GossipSuspect is a suspected machine. A receiver that recently received a message from it replies with
	// GossipConfirmedAlive. The suspected machine refutes the suspicion itself.
	GossipSuspect
	// GossipFailed is a failed machine: its zone received no message from it for too long.
	GossipFailed
	// GossipLeft is a machine that completed its planned stop.
	GossipLeft

	gossipStateEnd
)

// GossipUpdate is an update about the state of one machine.
type GossipUpdate struct {
	Machine     model.MachineID
	Incarnation uint64
	// Epoch increases within an incarnation each time the machine changes its published state or refutes a
	// suspicion.
	Epoch uint32
	State GossipState
}

// SectionID identifies a payload section of a heartbeat.
type SectionID uint8

// The sections of a heartbeat.
const (
	// SectionLimits carries the usage of customers' limits.
	SectionLimits SectionID = 1
	// SectionHealth carries the results of target probes.
	SectionHealth SectionID = 2
	// SectionLists carries the digest of the published lists that the sender holds.
	SectionLists SectionID = 3
)

// Section is a heartbeat payload of another package. This package does not interpret it.
type Section struct {
	ID SectionID
	// Data is a subslice of the datagram after Decode.
	Data []byte
}

// Heartbeat signals that its sender is alive and carries gossip. The sender's id and incarnation are in the
// Envelope.
type Heartbeat struct {
	// Ready is true if the sender may own flows.
	Ready bool
	// Draining is true from the start of the sender's planned stop.
	Draining bool
	// Left is true in the last heartbeats of a planned stop, after the sender has handed over all its flows.
	Left bool
	// Pull requests that the receiver sends the state of its zone immediately.
	Pull bool
	// Epoch is the sender's own epoch; see GossipUpdate.Epoch.
	Epoch     uint32
	Revisions model.Revisions
	// ViewDigest is a digest of the members of the sender's zone that the sender considers reachable.
	ViewDigest    uint64
	GossipUpdates []GossipUpdate
	Sections      []Section
}

const (
	heartbeatReady    = 0
	heartbeatDraining = 1
	heartbeatLeft     = 2
	heartbeatPull     = 3
)

// AppendTo appends the encoded heartbeat to dst.
func (h *Heartbeat) AppendTo(dst []byte) []byte {
	dst = append(dst, boolBit(h.Ready, heartbeatReady)|boolBit(h.Draining, heartbeatDraining)|
		boolBit(h.Left, heartbeatLeft)|boolBit(h.Pull, heartbeatPull))
	dst = binary.AppendUvarint(dst, uint64(h.Epoch))
	dst = binary.AppendUvarint(dst, h.Revisions.Customers)
	dst = binary.AppendUvarint(dst, h.Revisions.Plans)
	dst = binary.AppendUvarint(dst, h.Revisions.Machines)
	dst = binary.BigEndian.AppendUint64(dst, h.ViewDigest)
	dst = binary.AppendUvarint(dst, uint64(len(h.GossipUpdates)))
	for _, r := range h.GossipUpdates {
		dst = r.appendTo(dst)
	}
	for _, s := range h.Sections {
		dst = append(dst, byte(s.ID))
		dst = binary.AppendUvarint(dst, uint64(len(s.Data)))
		dst = append(dst, s.Data...)
	}
	return dst
}

// Decode replaces h with the heartbeat encoded in body and reuses the memory of h's slices. The data of the
// sections are subslices of body. It returns errkind.PeerMalformed for an invalid body.
func (h *Heartbeat) Decode(body []byte) errkind.Kind {
	d := decoder{rest: body}
	flags := d.byte()
	h.Ready = flags&(1<<heartbeatReady) != 0
	h.Draining = flags&(1<<heartbeatDraining) != 0
	h.Left = flags&(1<<heartbeatLeft) != 0
	h.Pull = flags&(1<<heartbeatPull) != 0
	h.Epoch = d.uvarint32()
	h.Revisions.Customers = d.uvarint()
	h.Revisions.Plans = d.uvarint()
	h.Revisions.Machines = d.uvarint()
	h.ViewDigest = d.uint64()
	h.GossipUpdates = h.GossipUpdates[:0]
	for n := d.count(minGossipUpdateBytes); n > 0 && !d.failed; n-- {
		h.GossipUpdates = append(h.GossipUpdates, d.gossipUpdate())
	}
	h.Sections = h.Sections[:0]
	for !d.failed && len(d.rest) > 0 {
		id := SectionID(d.byte())
		h.Sections = append(h.Sections, Section{ID: id, Data: d.bytes(d.uvarint())})
	}
	return d.kind()
}

// minGossipUpdateBytes is the length of the shortest encoded gossip update.
const minGossipUpdateBytes = 7

func (r GossipUpdate) appendTo(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(r.Machine))
	dst = append(dst, byte(r.State))
	dst = binary.AppendUvarint(dst, r.Incarnation)
	return binary.AppendUvarint(dst, uint64(r.Epoch))
}

func (d *decoder) gossipUpdate() GossipUpdate {
	r := GossipUpdate{
		Machine:     model.MachineID(d.uint32()),
		State:       GossipState(d.byte()),
		Incarnation: d.uvarint(),
		Epoch:       d.uvarint32(),
	}
	if r.State >= gossipStateEnd || r.Machine == 0 {
		d.failed = true
	}
	return r
}

// Record is one entry of an owner's exception log. An exception is a flow whose target is not its default
// target.
type Record struct {
	Hash model.FlowHash
	// Target is the flow's target, or 0 if Remove is true.
	Target model.TargetID
	// Remove is true if the flow is no longer an exception.
	Remove bool
	// BecameDefault qualifies Remove: it is true if the flow continues and its target has become its default
	// target, and false if the flow has ended.
	BecameDefault bool
}

// LogBatch carries consecutive records of an owner's exception log to one receiver.
type LogBatch struct {
	// OwnerIncarnation is the owner's incarnation. Sequence numbers are only valid within it.
	OwnerIncarnation uint64
	// FirstSeq is the sequence number of Records[0].
	FirstSeq uint64
	// NextSeq is the sequence number of the owner's next record. It is greater than
	// FirstSeq + len(Records) if more batches follow.
	NextSeq uint64
	// Generation is the generation that defines the owner's default targets after the last record of the
	// batch.
	Generation model.Generation
	// EchoedMark is the highest LogAck.Mark that the owner had received from the receiver when it built the batch.
	// It proves to the receiver how current the batch is.
	EchoedMark uint64
	// Complete is true if the log contains every exception among the flows that the owner had when it
	// received the mark in EchoedMark. It is false while the owner is still taking over flows of other daemons.
	Complete bool
	// OwnersDigest is a digest of the owners in the sender's membership view. EchoedMark is only valid for a receiver
	// with the same digest: with another view, the sender may not know yet that it owns a flow.
	OwnersDigest uint32
	Records      []Record
}

// The encoding of a record ends with a reference to its target: recordRemove, recordBecameDefault,
// recordNewTarget followed by the target id, or recordFirstTarget plus the index of a target id that
// occurred earlier in the batch.
const (
	recordRemove        = 0
	recordNewTarget     = 1
	recordFirstTarget   = 2
	recordBecameDefault = 255

	minRecordBytes = 9
	// maxBatchTargets is the maximum number of target ids in a batch that later records can refer to.
	maxBatchTargets = 126
)

// AppendTo appends the encoded batch to dst.
func (b *LogBatch) AppendTo(dst []byte) []byte {
	dst = binary.AppendUvarint(dst, b.OwnerIncarnation)
	dst = binary.AppendUvarint(dst, b.FirstSeq)
	dst = binary.AppendUvarint(dst, b.NextSeq-b.FirstSeq)
	dst = binary.AppendUvarint(dst, b.Generation.Plans)
	dst = binary.AppendUvarint(dst, b.Generation.Machines)
	dst = binary.AppendUvarint(dst, b.EchoedMark)
	dst = append(dst, boolBit(b.Complete, 0))
	dst = binary.BigEndian.AppendUint32(dst, b.OwnersDigest)
	dst = binary.AppendUvarint(dst, uint64(len(b.Records)))
	var known targetIndex
	for _, r := range b.Records {
		dst = binary.BigEndian.AppendUint64(dst, uint64(r.Hash))
		dst = known.appendReference(dst, r)
	}
	return dst
}

// Decode replaces b with the batch encoded in body and reuses the memory of b.Records. It returns
// errkind.PeerMalformed for an invalid body.
func (b *LogBatch) Decode(body []byte) errkind.Kind {
	d := decoder{rest: body}
	b.OwnerIncarnation = d.uvarint()
	b.FirstSeq = d.uvarint()
	b.NextSeq = b.FirstSeq + d.uvarint()
	b.Generation.Plans = d.uvarint()
	b.Generation.Machines = d.uvarint()
	b.EchoedMark = d.uvarint()
	flags := d.byte()
	if flags > 1 {
		d.failed = true
	}
	b.Complete = flags == 1
	b.OwnersDigest = d.uint32()
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
	return d.finish()
}

// targetIndex lists the target ids of a batch in the order of their first use.
type targetIndex struct {
	ids [maxBatchTargets]model.TargetID
	n   int
}

func (t *targetIndex) appendReference(dst []byte, r Record) []byte {
	if r.BecameDefault {
		return append(dst, recordBecameDefault)
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
	case ref == recordBecameDefault:
		r.Remove, r.BecameDefault = true, true
	case ref == recordNewTarget:
		r.Target = model.TargetID(d.uint32())
		t.add(r.Target)
	case int(ref)-recordFirstTarget < t.n:
		r.Target = t.ids[ref-recordFirstTarget]
	default:
		d.failed = true
	}
}

// add appends an id unless the index is full. Ids beyond that are written in full each time.
func (t *targetIndex) add(id model.TargetID) {
	if t.n < maxBatchTargets {
		t.ids[t.n] = id
		t.n++
	}
}

// LogAck acknowledges the records of an owner's exception log that the sender has applied.
type LogAck struct {
	// OwnerIncarnation is the owner's incarnation that the log belongs to.
	OwnerIncarnation uint64
	// Seq is the sequence number after the last applied record: all records below it are applied.
	Seq uint64
	// Mark is the increasing counter of the acknowledging daemon. LogBatch.EchoedMark returns the highest Mark that
	// the owner has received.
	Mark uint64
	// NeedSnapshot is true if the sender needs a snapshot because it cannot apply the next batch.
	NeedSnapshot bool
}

// AppendTo appends the encoded acknowledgement to dst.
func (a *LogAck) AppendTo(dst []byte) []byte {
	dst = append(dst, boolBit(a.NeedSnapshot, 0))
	dst = binary.AppendUvarint(dst, a.OwnerIncarnation)
	dst = binary.AppendUvarint(dst, a.Seq)
	return binary.AppendUvarint(dst, a.Mark)
}

// Decode replaces a with the acknowledgement encoded in body. It returns errkind.PeerMalformed for an
// invalid body.
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
	return d.finish()
}

// AppendBundled appends one message to the body of a KindBundle datagram, in which several messages to one
// receiver share a header and a MAC.
func AppendBundled(dst []byte, kind Kind, message []byte) []byte {
	dst = append(dst, byte(kind))
	dst = binary.AppendUvarint(dst, uint64(len(message)))
	return append(dst, message...)
}

// EachMessage calls fn for each message of a bundle, or once for any other datagram. It returns
// errkind.PeerMalformed for a malformed bundle, after fn was called for the messages before the fault.
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
