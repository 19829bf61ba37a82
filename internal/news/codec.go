package news

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/fireflypin/fireflypin/internal/news/newspb"
)

// Encode returns the protobuf encoding of the datagram. It compresses the items when they would not fit otherwise.
func (d Datagram) Encode() ([]byte, error) {
	msg := &newspb.Datagram{Asks: d.Asks, Absent: d.Absent}
	if unpackedSize(d.Items) > maxDatagramBytes {
		msg.PackedItems = packItems(d.Items)
	} else {
		msg.Items = lo.Map(d.Items, func(it Item, _ int) *newspb.Item { return encodeItem(it) })
	}
	for _, m := range d.Members {
		if p := encodeMember(m); p != nil {
			msg.Members = append(msg.Members, p)
		}
	}
	if h := d.Heartbeat; h != nil {
		msg.Heartbeat = &newspb.Heartbeat{
			Zone:       h.Zone,
			IntervalMs: uint32(h.Interval.Milliseconds()),
			Highest:    h.Highest,
			Complete:   h.Complete,
			Digest:     h.Digest,
			Era:        h.Era,
			Kept:       h.Kept,
			AgeMs:      uint32(h.Age.Milliseconds()),
			Reads:      h.Reads,
			Failing:    h.Failing,
			Leaving:    h.Leaving,
			LinkMbps:   h.Link,
			Reports: lo.Map(h.Reports, func(r Report, _ int) *newspb.Report {
				return &newspb.Report{Kind: uint32(r.Kind), Data: r.Data}
			}),
		}
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encode gossip datagram: %w", err)
	}
	return data, nil
}

// Decode parses an encoded datagram.
func Decode(data []byte) (Datagram, error) {
	var msg newspb.Datagram
	if err := proto.Unmarshal(data, &msg); err != nil {
		return Datagram{}, fmt.Errorf("decode gossip datagram: %w", err)
	}
	if len(msg.PackedItems) > 0 {
		items, err := unpackItems(msg.PackedItems)
		if err != nil {
			return Datagram{}, err
		}
		msg.Items = items
	}
	d := Datagram{
		Items:   lo.Map(msg.Items, func(it *newspb.Item, _ int) Item { return decodeItem(it) }),
		Members: lo.Map(msg.Members, func(m *newspb.Member, _ int) Member { return decodeMember(m) }),
		Asks:    msg.Asks,
		Absent:  msg.Absent,
	}
	if h := msg.Heartbeat; h != nil {
		d.Heartbeat = &Heartbeat{
			Zone:     h.Zone,
			Interval: time.Duration(h.IntervalMs) * time.Millisecond,
			Highest:  h.Highest,
			Complete: h.Complete,
			Digest:   h.Digest,
			Era:      h.Era,
			Kept:     h.Kept,
			Age:      time.Duration(h.AgeMs) * time.Millisecond,
			Reads:    h.Reads,
			Failing:  h.Failing,
			Leaving:  h.Leaving,
			Link:     h.LinkMbps,
			Reports: lo.Map(h.Reports, func(r *newspb.Report, _ int) Report {
				return Report{Kind: ReportKind(r.GetKind()), Data: r.GetData()}
			}),
		}
	}
	return d, nil
}

// unpackedSize returns the approximate encoded size of items without compression, in bytes.
func unpackedSize(items []Item) int {
	size := 0
	for _, it := range items {
		size += len(it.Key) + len(it.Value) + len(it.Packed) + itemOverhead
	}
	return size
}

// packItems returns the compressed encoding of items.
func packItems(items []Item) []byte {
	list := &newspb.ItemList{Items: lo.Map(items, func(it Item, _ int) *newspb.Item { return encodeItem(it) })}
	data, err := proto.Marshal(list)
	if err != nil {
		// A key that is not valid UTF-8 cannot be marshalled. The oversized result keeps the items from being
		// packed, and Encode returns the error.
		return make([]byte, maxDatagramBytes+1)
	}
	return pack(data)
}

// unpackItems reverses packItems.
func unpackItems(packed []byte) ([]*newspb.Item, error) {
	data, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var list newspb.ItemList
	if err := proto.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode packed items: %w", err)
	}
	return list.Items, nil
}

func encodeItem(it Item) *newspb.Item {
	return &newspb.Item{
		Key:      it.Key,
		Revision: it.Revision,
		Value:    it.Value,
		Removed:  it.Removed,
		Withheld: it.Withheld,
		Packed:   it.Packed,
		Base:     it.Base,
		Size:     uint32(it.Size),
		Era:      it.Era,
		Created:  it.Created,
	}
}

func decodeItem(it *newspb.Item) Item {
	return Item{
		Key:      it.GetKey(),
		Revision: it.GetRevision(),
		Value:    it.GetValue(),
		Removed:  it.GetRemoved(),
		Withheld: it.GetWithheld(),
		Packed:   it.GetPacked(),
		Base:     it.GetBase(),
		Size:     int(it.GetSize()),
		Era:      it.GetEra(),
		Created:  it.GetCreated(),
	}
}

// encodeMember returns nil for a member that has no IPv4 address.
func encodeMember(m Member) *newspb.Member {
	a := m.Addr.Addr().Unmap()
	if !a.Is4() {
		return nil
	}
	b := a.As4()
	return &newspb.Member{Ip: binary.BigEndian.Uint32(b[:]), Port: uint32(m.Addr.Port()), Zone: m.Zone, LinkMbps: m.Link}
}

func decodeMember(m *newspb.Member) Member {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], m.GetIp())
	return Member{Addr: netip.AddrPortFrom(netip.AddrFrom4(b), uint16(m.GetPort())), Zone: m.GetZone(), Link: m.GetLinkMbps()}
}

func encodeVersions(vs []Version) []*newspb.ItemVersion {
	return lo.Map(vs, func(v Version, _ int) *newspb.ItemVersion {
		return &newspb.ItemVersion{Key: v.Key, Revision: v.Revision, Era: v.Era}
	})
}

func decodeVersions(vs []*newspb.ItemVersion) []Version {
	return lo.Map(vs, func(v *newspb.ItemVersion, _ int) Version {
		return Version{Key: v.GetKey(), Revision: v.GetRevision(), Era: v.GetEra()}
	})
}

func encodeKept(kept []Kept) []*newspb.KeptItem {
	return lo.Map(kept, func(k Kept, _ int) *newspb.KeptItem {
		if len(k.Value) > largeValueBytes {
			k.Packed, k.Value = pack(k.Value), nil
		}
		return &newspb.KeptItem{Item: encodeItem(k.Item), RemainingMs: uint32(k.Remaining.Milliseconds())}
	})
}

func decodeKept(kept []*newspb.KeptItem) []Kept {
	return lo.Map(kept, func(k *newspb.KeptItem, _ int) Kept {
		return Kept{Item: decodeItem(k.GetItem()), Remaining: time.Duration(k.GetRemainingMs()) * time.Millisecond}
	})
}
