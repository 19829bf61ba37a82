package news

// maxDatagramBytes bounds the items of a datagram: what an Ethernet frame takes, less headers, keys and codes.
const maxDatagramBytes = 1200

// itemOverhead is the most that an item takes besides its key and value.
const itemOverhead = 32

// mostPacked is how many times more items a datagram is tried to hold compressed: texts of one form shrink to
// about a quarter.
const mostPacked = 4

// pack spreads items over datagrams. Large values are withheld and fetched by those who want them.
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

// fitting returns how many of the first items one datagram takes.
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

// forDatagram returns an item with its value, with a delta, or with neither where both are too large.
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
