package news

// maxDatagramBytes is the maximum size of the items in a datagram, in bytes: an Ethernet frame less protocol
// headers, key ids and authentication codes.
const maxDatagramBytes = 1200

// itemOverhead is the maximum encoded size of an item besides its key and value, in bytes.
const itemOverhead = 32

// maxPackFactor is the highest factor by which fittingCount tries to increase the number of items in a datagram through
// compression. Texts of the same structure compress to about a quarter.
const maxPackFactor = 4

// packIntoDatagrams distributes items over datagrams. Large values are withheld, and the receivers that need them fetch
// them.
func (e *Engine) packIntoDatagrams(items []Item) []Datagram {
	prepared := make([]Item, 0, len(items))
	for _, it := range items {
		prepared = append(prepared, e.forDatagram(it))
	}
	var out []Datagram
	for len(prepared) > 0 {
		n := fittingCount(prepared)
		out = append(out, Datagram{Items: prepared[:n]})
		prepared = prepared[n:]
	}
	return out
}

// fittingCount returns the number of leading items that one datagram can hold, at least one.
func fittingCount(items []Item) int {
	count, size := 0, 0
	for _, it := range items {
		size += unpackedSize([]Item{it})
		if size > maxDatagramBytes {
			break
		}
		count++
	}
	count = max(count, 1)
	for factor := maxPackFactor; factor > 1 && count < len(items); factor-- {
		n := min(count*factor, len(items))
		if len(packItems(items[:n])) <= maxDatagramBytes {
			return n
		}
	}
	return count
}

// forDatagram returns an item as it is sent in a datagram: with its value, with a delta, or with neither when both are
// too large.
func (e *Engine) forDatagram(it Item) Item {
	if it.Removed {
		it.Value = nil
	}
	s := e.replica.items[it.Key]
	if s == nil || len(it.Value) <= e.cfg.MaxItemBytes && !s.unchanged {
		return it
	}
	delta := s.packedDelta()
	it.Value = nil
	switch {
	case delta == nil:
		it.Withheld, it.Size = true, len(s.packedValue())
	case len(delta) <= e.cfg.MaxItemBytes:
		it.Packed, it.Base = delta, s.previousRevision
	default:
		it.Withheld, it.Size = true, len(delta)
	}
	return it
}
