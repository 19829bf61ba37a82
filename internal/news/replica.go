package news

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is one published item, or the end of one.
type Item struct {
	Key string
	// Revision is the platform's revision of the item's last change.
	Revision uint64
	// Value is the published text; of an item that ended the last one, where it is known.
	Value   []byte
	Removed bool
	// Withheld is true where the value was too large for the message that told of the item.
	Withheld bool
	// Size is what a fetch of a withheld value carries, in bytes.
	Size int
	// Packed is the compressed value, or with Base the compressed delta from the value of that revision. Value
	// is empty then.
	Packed []byte
	Base   uint64
}

// Version names a state of an item.
type Version struct {
	Key      string
	Revision uint64
}

// endedFor is how long the end of an item is told to daemons that start: longer than a flow lives, since they
// steer the flows of targets that ended.
const endedFor = 75 * time.Second

// held is an item with the time at which it ended.
type held struct {
	Item
	ended time.Time
	// before is the value of the revision before, for deltas; kept for large values alone.
	before         []byte
	beforeRevision uint64
	// whole and delta are the compressed forms of the value, made when they are first asked for.
	whole, delta []byte
}

// packedWhole returns the compressed value.
func (h *held) packedWhole() []byte {
	if h.whole == nil {
		h.whole = pack(h.Value)
	}
	return h.whole
}

// packedDelta returns the compressed delta from the value before, or nil where there is none.
func (h *held) packedDelta() []byte {
	if h.delta == nil && h.before != nil {
		h.delta = diff(h.before, h.Value)
	}
	return h.delta
}

// replica is the daemon's copy of the published items.
type replica struct {
	items map[string]*held
	// digest sums up the items that stand.
	digest uint64
	// highest is the highest revision of an item that was ever held.
	highest uint64
	// complete is the revision up to which every change is in the copy.
	complete uint64
	// filled is true once the copy was complete for some revision.
	filled bool
}

func newReplica() *replica {
	return &replica{items: make(map[string]*held)}
}

// apply takes an item and reports whether it is news.
func (r *replica) apply(now time.Time, it Item) bool {
	was := r.items[it.Key]
	if was == nil && r.filled && it.Revision <= r.complete && !it.Removed {
		return false
	}
	if was != nil && it.Revision <= was.Revision {
		return false
	}
	next := &held{Item: it}
	if was != nil && !it.Removed && len(was.Value) > largeBytes {
		next.before, next.beforeRevision = was.Value, was.Revision
	}
	if it.Removed {
		next.ended = now
		if was != nil && len(it.Value) == 0 {
			next.Value = was.Value
		}
	}
	if was != nil && !was.Removed {
		r.digest ^= digestOf(was.Version())
	}
	if !it.Removed {
		r.digest ^= digestOf(next.Version())
	}
	r.items[it.Key] = next
	r.highest = max(r.highest, it.Revision)
	return true
}

// Version returns the item's name and revision.
func (it *Item) Version() Version {
	return Version{Key: it.Key, Revision: it.Revision}
}

// digestOf hashes a version; the digest of a set is the exclusive or of its members.
func digestOf(v Version) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(v.Key)
	var rev [8]byte
	binary.BigEndian.PutUint64(rev[:], v.Revision)
	d.Write(rev[:])
	return d.Sum64()
}

// reset takes a whole view of the platform that knows of every change up to complete, and returns the news.
// Items that it does not name and that are not newer have ended.
func (r *replica) reset(now time.Time, complete uint64, items []Item, standing []Version) []Item {
	if r.filled && complete < r.complete {
		return r.applyAll(now, items)
	}
	news := r.applyAll(now, items)
	stands := make(map[string]bool, len(standing))
	for _, v := range standing {
		stands[v.Key] = true
	}
	for key, h := range r.items {
		if h.Removed || stands[key] || h.Revision > complete {
			continue
		}
		gone := Item{Key: key, Revision: complete, Removed: true}
		if h.Revision == complete {
			gone.Revision++
		}
		if r.apply(now, gone) {
			news = append(news, r.items[key].Item)
		}
	}
	r.completeTo(complete)
	return news
}

func (r *replica) applyAll(now time.Time, items []Item) []Item {
	var news []Item
	for _, it := range items {
		if r.apply(now, it) {
			news = append(news, r.items[it.Key].Item)
		}
	}
	return news
}

// completeTo notes that every change up to a revision is in the copy.
func (r *replica) completeTo(revision uint64) {
	r.filled = true
	r.complete = max(r.complete, revision)
}

// standing names the items that stand.
func (r *replica) standing() []Version {
	out := make([]Version, 0, len(r.items))
	for _, h := range r.items {
		if !h.Removed {
			out = append(out, h.Version())
		}
	}
	return out
}

// versions names all items, ended ones among them.
func (r *replica) versions() []Version {
	out := make([]Version, 0, len(r.items))
	for _, h := range r.items {
		out = append(out, h.Version())
	}
	return out
}

// largeBytes is the size from which a value is sent compressed or as a delta.
const largeBytes = 1000

// open turns a packed item into one with its value. It returns false where the base is not held.
func (r *replica) open(it Item) (Item, error) {
	if len(it.Packed) == 0 {
		return it, nil
	}
	var value []byte
	var err error
	if it.Base == 0 {
		value, err = unpack(it.Packed)
	} else {
		was := r.items[it.Key]
		if was == nil || was.Revision != it.Base {
			return it, errDelta
		}
		value, err = patch(was.Value, it.Packed)
	}
	it.Value, it.Packed, it.Base = value, nil, 0
	return it, err
}

// openAll returns those of the items that are newer than what is held, with their values, and one of those whose
// value is still lacking; nil where there is none.
func (r *replica) openAll(items []Item) (opened []Item, lacking *Item) {
	for _, it := range items {
		if was := r.items[it.Key]; was != nil && was.Revision >= it.Revision {
			continue
		}
		it, err := r.open(it)
		if it.Withheld || err != nil {
			lacking = &it
			continue
		}
		opened = append(opened, it)
	}
	return opened, lacking
}

// brief returns an item as it is sent to a copy that holds a revision of it; 0 for none.
func (h *held) brief(have uint64) Item {
	it := h.Item
	if len(it.Value) <= largeBytes {
		return it
	}
	it.Value = nil
	if have != 0 && have == h.beforeRevision {
		it.Packed, it.Base = h.packedDelta(), have
		return it
	}
	it.Packed = h.packedWhole()
	return it
}

// lacking returns the items that a copy with the given versions lacks.
func (r *replica) lacking(have []Version) []Item {
	known := make(map[string]uint64, len(have))
	for _, v := range have {
		known[v.Key] = v.Revision
	}
	var out []Item
	for key, h := range r.items {
		if known[key] < h.Revision {
			out = append(out, h.brief(known[key]))
		}
	}
	return out
}

// forget drops ended items that are over.
func (r *replica) forget(now time.Time) {
	for key, h := range r.items {
		if h.Removed && now.Sub(h.ended) > endedFor {
			delete(r.items, key)
		}
	}
}
