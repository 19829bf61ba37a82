package news

// maxDatagramBytes bounds the items of a datagram: what an Ethernet frame takes, less headers, keys and codes.
const maxDatagramBytes = 1200

// itemOverhead is the most that an item takes besides its key and value.
const itemOverhead = 32

// pack spreads items over datagrams. Large values are withheld and fetched by those who want them.
func (e *Engine) pack(items []Item) []Datagram {
	var out []Datagram
	var d Datagram
	size := 0
	for _, it := range items {
		it = e.forDatagram(it)
		bytes := len(it.Key) + len(it.Value) + len(it.Packed) + itemOverhead
		if size+bytes > maxDatagramBytes && size > 0 {
			out = append(out, d)
			d, size = Datagram{}, 0
		}
		d.Items = append(d.Items, it)
		size += bytes
	}
	return append(out, d)
}

// forDatagram returns an item with its value, with a delta, or with neither where both are too large.
func (e *Engine) forDatagram(it Item) Item {
	if it.Removed {
		it.Value = nil
	}
	h := e.board.items[it.Key]
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
