package wire

import (
	"bytes"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fireflypin/fireflypin/internal/proptest"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/model"
)

func drawHeartbeat(t *rapid.T) Heartbeat {
	h := Heartbeat{
		Ready:      rapid.Bool().Draw(t, "ready"),
		Draining:   rapid.Bool().Draw(t, "draining"),
		Left:       rapid.Bool().Draw(t, "left"),
		Pull:       rapid.Bool().Draw(t, "pull"),
		Epoch:      rapid.Uint32().Draw(t, "epoch"),
		ViewDigest: rapid.Uint64().Draw(t, "view digest"),
		Revisions: model.Revisions{
			Customers: rapid.Uint64().Draw(t, "customers"),
			Plans:     rapid.Uint64().Draw(t, "plans"),
			Machines:  rapid.Uint64().Draw(t, "machines"),
		},
	}
	for range rapid.IntRange(0, 5).Draw(t, "updates") {
		h.GossipUpdates = append(h.GossipUpdates, GossipUpdate{
			Machine:     model.MachineID(rapid.Uint32Range(1, 1<<32-1).Draw(t, "machine")),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Epoch:       rapid.Uint32().Draw(t, "update epoch"),
			State:       GossipState(rapid.IntRange(0, int(gossipStateEnd)-1).Draw(t, "state")),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "sections") {
		h.Sections = append(h.Sections, Section{
			ID:   SectionID(rapid.Byte().Draw(t, "section")),
			Data: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "data"),
		})
	}
	return h
}

func drawBatch(t *rapid.T) LogBatch {
	b := LogBatch{
		OwnerIncarnation: rapid.Uint64().Draw(t, "incarnation"),
		FirstSeq:         rapid.Uint64Range(0, 1<<60).Draw(t, "seq"),
		Generation:       model.Generation{Plans: rapid.Uint64().Draw(t, "plans"), Machines: rapid.Uint64().Draw(t, "machines")},
		EchoedMark:       rapid.Uint64().Draw(t, "echoed mark"),
		OwnersDigest:     rapid.Uint32().Draw(t, "owners"),
	}
	for range rapid.IntRange(0, 300).Draw(t, "records") {
		r := Record{Hash: model.FlowHash(rapid.Uint64().Draw(t, "hash")), Remove: rapid.Bool().Draw(t, "remove")}
		r.BecameDefault = r.Remove && rapid.Bool().Draw(t, "became default")
		if !r.Remove {
			r.Target = model.TargetID(rapid.Uint32Range(1, 200).Draw(t, "target"))
		}
		b.Records = append(b.Records, r)
	}
	b.NextSeq = b.FirstSeq + uint64(len(b.Records)) + rapid.Uint64Range(0, 99).Draw(t, "rest")
	return b
}

func TestMessageRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		h, gotH := drawHeartbeat(t), Heartbeat{}
		if kind := gotH.Decode(h.AppendTo(nil)); kind != errkind.None || !sameHeartbeat(h, gotH) {
			t.Fatalf("%v: sent %+v, got %+v", kind, h, gotH)
		}
		b, gotB := drawBatch(t), LogBatch{}
		if kind := gotB.Decode(b.AppendTo(nil)); kind != errkind.None || !sameBatch(b, gotB) {
			t.Fatalf("%v: sent %+v, got %+v", kind, b, gotB)
		}
		a, gotA := LogAck{OwnerIncarnation: rapid.Uint64().Draw(t, "i"), Seq: rapid.Uint64().Draw(t, "s"), Mark: rapid.Uint64().Draw(t, "m"), NeedSnapshot: rapid.Bool().Draw(t, "n")}, LogAck{}
		if kind := gotA.Decode(a.AppendTo(nil)); kind != errkind.None || a != gotA {
			t.Fatalf("%v: sent %+v, got %+v", kind, a, gotA)
		}
	})
}

func sameHeartbeat(a, b Heartbeat) bool {
	return bytes.Equal(a.AppendTo(nil), b.AppendTo(nil)) && a.Ready == b.Ready && a.Draining == b.Draining &&
		a.Left == b.Left && a.Pull == b.Pull && a.Epoch == b.Epoch && a.Revisions == b.Revisions && a.ViewDigest == b.ViewDigest &&
		(len(a.GossipUpdates) == 0 || reflect.DeepEqual(a.GossipUpdates, b.GossipUpdates)) &&
		(len(a.Sections) == 0 || reflect.DeepEqual(a.Sections, b.Sections))
}

func sameBatch(a, b LogBatch) bool {
	same := len(a.Records) == len(b.Records) && (len(a.Records) == 0 || reflect.DeepEqual(a.Records, b.Records))
	a.Records, b.Records = nil, nil
	return same && reflect.DeepEqual(a, b)
}

func TestDecodeRejectsTruncatedMessages(t *testing.T) {
	Convey("A truncated message is malformed, except that a heartbeat may lack whole sections", t, func() {
		b := LogBatch{OwnerIncarnation: 7, FirstSeq: 3, NextSeq: 5, Records: []Record{{Hash: 1, Target: 2}, {Hash: 9, Remove: true}}}
		data := b.AppendTo(nil)
		for n := range data {
			So(new(LogBatch).Decode(data[:n]), ShouldEqual, errkind.PeerMalformed)
		}
		So(new(LogBatch).Decode(append(data, 0)), ShouldEqual, errkind.PeerMalformed)

		data = (&LogAck{OwnerIncarnation: 1 << 40, Seq: 300, Mark: 5}).AppendTo(nil)
		for n := range data {
			So(new(LogAck).Decode(data[:n]), ShouldEqual, errkind.PeerMalformed)
		}

		data = (&Heartbeat{GossipUpdates: []GossipUpdate{{Machine: 1, Incarnation: 2, Epoch: 3, State: GossipFailed}}}).AppendTo(nil)
		for n := range data {
			So(new(Heartbeat).Decode(data[:n]), ShouldEqual, errkind.PeerMalformed)
		}
	})
	Convey("Inconsistent fields are malformed", t, func() {
		short := LogBatch{FirstSeq: 1, NextSeq: 1, Records: []Record{{Hash: 1, Target: 2}}}
		So(new(LogBatch).Decode(short.AppendTo(nil)), ShouldEqual, errkind.PeerMalformed)
		overflow := LogBatch{FirstSeq: 1<<64 - 1, NextSeq: 3}
		So(new(LogBatch).Decode(overflow.AppendTo(nil)), ShouldEqual, errkind.PeerMalformed)
		noMachine := Heartbeat{GossipUpdates: []GossipUpdate{{Machine: 0}}}
		So(new(Heartbeat).Decode(noMachine.AppendTo(nil)), ShouldEqual, errkind.PeerMalformed)
		invalidState := Heartbeat{GossipUpdates: []GossipUpdate{{Machine: 1, State: gossipStateEnd}}}
		So(new(Heartbeat).Decode(invalidState.AppendTo(nil)), ShouldEqual, errkind.PeerMalformed)
	})
}

func TestRecordEncodingSize(t *testing.T) {
	Convey("A batch of 20 records for 14 targets takes less than 12 bytes per record", t, func() {
		b := LogBatch{OwnerIncarnation: 1 << 40, FirstSeq: 1000, NextSeq: 1020}
		for i := range 20 {
			b.Records = append(b.Records, Record{Hash: model.FlowHash(i), Target: model.TargetID(1 + i%14)})
		}
		So(len(b.AppendTo(nil))-len((&LogBatch{OwnerIncarnation: 1 << 40, FirstSeq: 1000, NextSeq: 1020}).AppendTo(nil)), ShouldBeLessThan, 12*20)
	})
}

func TestBundles(t *testing.T) {
	type message struct {
		kind Kind
		body string
	}
	each := func(env Envelope) (got []message, kind errkind.Kind) {
		kind = EachMessage(env, func(k Kind, b []byte) { got = append(got, message{k, string(b)}) })
		return got, kind
	}
	Convey("A bundle contains several messages; any other datagram is one message", t, func() {
		body := AppendBundled(nil, KindLogBatch, []byte("batch"))
		body = AppendBundled(body, KindLogAck, nil)
		got, kind := each(Envelope{Kind: KindBundle, Body: body})
		So(kind, ShouldEqual, errkind.None)
		So(got, ShouldResemble, []message{{KindLogBatch, "batch"}, {KindLogAck, ""}})
		got, kind = each(Envelope{Kind: KindLogAck, Body: []byte("ack")})
		So(kind, ShouldEqual, errkind.None)
		So(got, ShouldResemble, []message{{KindLogAck, "ack"}})
	})
	Convey("A nested bundle and a truncated bundle are malformed", t, func() {
		_, kind := each(Envelope{Kind: KindBundle, Body: AppendBundled(nil, KindBundle, nil)})
		So(kind, ShouldEqual, errkind.PeerMalformed)
		_, kind = each(Envelope{Kind: KindBundle, Body: AppendBundled(nil, KindForward, []byte("ab"))[:3]})
		So(kind, ShouldEqual, errkind.PeerMalformed)
	})
}

func TestForwardedPackets(t *testing.T) {
	Convey("Encoding and decoding a forwarded packet preserves its metadata and the packet", t, func() {
		for _, want := range []ForwardMeta{
			{Hops: 3},
			{Hops: 3, FromTarget: true},
			{Hops: 1, KnownBeforePartition: true},
			{Hops: 2, Delegated: true},
			{Hops: 2, KnownBeforePartition: true, Delegated: true},
			{Hops: 1, CoveringOwner: 0xdeadbeef},
			{Hops: 2, Declined: true, CoveringOwner: 1},
		} {
			meta, packet, kind := DecodeForward(append(want.AppendTo(nil), "packet"...))
			So(kind, ShouldEqual, errkind.None)
			So(meta, ShouldResemble, want)
			So(string(packet), ShouldEqual, "packet")
		}
	})
	Convey("A truncated forwarded packet or one with an unknown flag is malformed", t, func() {
		_, _, kind := DecodeForward([]byte{1})
		So(kind, ShouldEqual, errkind.PeerMalformed)
		_, _, kind = DecodeForward(ForwardMeta{CoveringOwner: 7}.AppendTo(nil)[:5])
		So(kind, ShouldEqual, errkind.PeerMalformed)
		for flags := forwardFlagsEnd; flags < 256; flags++ {
			_, _, kind = DecodeForward([]byte{1, byte(flags)})
			So(kind, ShouldEqual, errkind.PeerMalformed)
		}
	})
}

// FuzzOpen passes arbitrary datagrams and bodies to the decoders. They must not panic, and a decoded message must
// be the same after it is encoded and decoded again.
func FuzzOpen(f *testing.F) {
	sealer, _ := testPair(f)
	heartbeat := Heartbeat{Ready: true, GossipUpdates: []GossipUpdate{{Machine: 4, Incarnation: 9, Epoch: 1, State: GossipFailed}}, Sections: []Section{{ID: 1, Data: []byte("abc")}}}
	batch := LogBatch{FirstSeq: 1, NextSeq: 3, Records: []Record{{Hash: 5, Target: 6}, {Hash: 7, Target: 6}}}
	f.Add(sealer.AppendSealed(nil, AnyReceiver, KindHeartbeat, heartbeat.AppendTo(nil)))
	f.Add(sealer.AppendSealed(nil, bob, KindBundle, AppendBundled(nil, KindLogBatch, batch.AppendTo(nil))))
	f.Add(heartbeat.AppendTo(nil))
	f.Add(batch.AppendTo(nil))
	f.Add((&LogAck{Seq: 1}).AppendTo(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, opener := testPair(t)
		_, _ = opener.Open(data)
		_ = EachMessage(Envelope{Kind: KindBundle, Body: data}, func(Kind, []byte) {})
		_, _, _ = DecodeForward(data)
		var h, h2 Heartbeat
		if h.Decode(data) == errkind.None && (h2.Decode(h.AppendTo(nil)) != errkind.None || !sameHeartbeat(h, h2)) {
			t.Fatalf("heartbeat %+v decodes to %+v after encoding it again", h, h2)
		}
		var b, b2 LogBatch
		if b.Decode(data) == errkind.None && (b2.Decode(b.AppendTo(nil)) != errkind.None || !sameBatch(b, b2)) {
			t.Fatalf("batch %+v decodes to %+v after encoding it again", b, b2)
		}
		var a, a2 LogAck
		if a.Decode(data) == errkind.None && (a2.Decode(a.AppendTo(nil)) != errkind.None || a != a2) {
			t.Fatalf("ack %+v decodes to %+v after encoding it again", a, a2)
		}
	})
}
