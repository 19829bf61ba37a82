package news

// maxDatagramBytes is the maximum size of the items in a datagram, in bytes: an Ethernet frame less protocol
// headers, key ids and authentication codes.
const maxDatagramBytes = 1200

// itemOverhead is the maximum encoded size of an item besides its key and value, in bytes.
const itemOverhead = 32

// mostPacked is the highest factor by which fitting tries to increase the number of items in a datagram through
// compression. Texts of the same structure compress to about a quarter.
const mostPacked = 4

// pack distributes items over datagrams. Large values are withheld, and the receivers that need them fetch them.
func (e *Engine) pack(items []Item) []Datagram {
	ready := make([]Item, 0, len(items))
	for _, it := range items {
		ready = append(ready, e.forDatagram(it))
	}
	var out []Datagram
	for len(ready) > 0 {
		n := fitting(ready)
		out = append(out, Datagram{Items: ready[:n]})
		ready = ready[n:]
	}
	return out
}

// fitting returns the number of leading items that one datagram can hold, at least one.
func fitting(items []Item) int {
	plain, size := 0, 0
	for _, it := range items {
		size += plainBytes([]Item{it})
		if size > maxDatagramBytes {
			break
		}
		plain++
	}
	plain = max(plain, 1)
	for times := mostPacked; times > 1 && plain < len(items); times-- {
		n := min(plain*times, len(items))
		if len(packItems(items[:n])) <= maxDatagramBytes {
			return n
		}
	}
	return plain
}

// forDatagram returns an item as it is sent in a datagram: with its value, with a delta, or with neither when both are
// too large.
func (e *Engine) forDatagram(it Item) Item {
	if it.Removed {
		it.Value = nil
	}
	h := e.replica.items[it.Key]
	if len(it.Value) <= e.cfg.MaxItemBytes || h == nil {
		return it
	}
	it.Value = nil
	delta := h.packedDelta()
	switch {
	case delta == nil:
		it.Withheld, it.Size = true, len(h.packedWhole())
	case len(delta) <= e.cfg.MaxItemBytes:
		it.Packed, it.Base = delta, h.beforeRevision
	default:
		it.Withheld, it.Size = true, len(delta)
	}
	return it
}
