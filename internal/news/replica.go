package news

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is a published item, or the removal of one.
type Item struct {
	Key string
	// Revision is the platform's revision of the item's last change.
	Revision uint64
	// Value is the published text. For a removed item it is the last text, if known.
	Value   []byte
	Removed bool
	// Withheld is true when the value was too large for the datagram that announced the item.
	Withheld bool
	// Size is the size of the response to a fetch of a withheld value, in bytes.
	Size int
	// Packed is the compressed value, or if Base is not 0 the compressed delta from the value at revision Base. Value
	// is empty in both cases.
	Packed []byte
	Base   uint64
}

// Version identifies a state of an item by its key and revision.
type Version struct {
	Key      string
	Revision uint64
}

// endedFor is how long a removed item is kept for daemons that start. It is longer than the lifetime of a flow, because
// these daemons still have to handle the flows of removed targets.
const endedFor = 75 * time.Second

// held is an item in the replica.
type held struct {
	Item
	// ended is when the removal was received; zero for an item that is not removed.
	ended time.Time
	// before is the value at the previous revision, for deltas. It is kept only for large values.
	before         []byte
	beforeRevision uint64
	// whole and delta are the compressed value and delta, computed when first requested.
	whole, delta []byte
}

// packedWhole returns the compressed value. It caches the result.
func (h *held) packedWhole() []byte {
	if h.whole == nil {
		h.whole = pack(h.Value)
	}
	return h.whole
}

// packedDelta returns the compressed delta from the previous value, or nil if there is no previous value. It caches the
// result.
func (h *held) packedDelta() []byte {
	if h.delta == nil && h.before != nil {
		h.delta = diff(h.before, h.Value)
	}
	return h.delta
}

// replica is the daemon's replica of the published items. It keeps removed items for a while.
type replica struct {
	items map[string]*held
	// digest is the XOR of the hashes of all items that are not removed.
	digest uint64
	// highest is the highest revision of any item that was ever in the replica.
	highest uint64
	// complete is the revision up to which the replica contains every change.
	complete uint64
	// filled is true once the replica has been complete up to some revision.
	filled bool
}

func newReplica() *replica {
	return &replica{items: make(map[string]*held)}
}

// apply adds or updates an item and reports whether it is newer than the replica. An unknown item at or below the
// complete revision has been removed since, and is ignored.
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

// Version returns the item's key and revision.
func (it *Item) Version() Version {
	return Version{Key: it.Key, Revision: it.Revision}
}

// digestOf hashes a version. The digest of a set of versions is the XOR of their hashes.
func digestOf(v Version) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(v.Key)
	var rev [8]byte
	binary.BigEndian.PutUint64(rev[:], v.Revision)
	d.Write(rev[:])
	return d.Sum64()
}

// reset applies a full state of the platform that contains every change up to revision complete, and returns the items
// that changed. Items that are missing from standing, the versions of all published items, are removed unless their
// revision is above complete.
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

// applyAll applies items and returns those that changed the replica.
func (r *replica) applyAll(now time.Time, items []Item) []Item {
	var news []Item
	for _, it := range items {
		if r.apply(now, it) {
			news = append(news, r.items[it.Key].Item)
		}
	}
	return news
}

// completeTo records that the replica contains every change up to a revision.
func (r *replica) completeTo(revision uint64) {
	r.filled = true
	r.complete = max(r.complete, revision)
}

// standing returns the versions of all items that are not removed.
func (r *replica) standing() []Version {
	out := make([]Version, 0, len(r.items))
	for _, h := range r.items {
		if !h.Removed {
			out = append(out, h.Version())
		}
	}
	return out
}

// versions returns the versions of all items, including removed ones.
func (r *replica) versions() []Version {
	out := make([]Version, 0, len(r.items))
	for _, h := range r.items {
		out = append(out, h.Version())
	}
	return out
}

// largeBytes is the size in bytes above which a value is sent compressed or as a delta.
const largeBytes = 1000

// open returns a packed item with its value. It returns an error when the replica does not hold the base revision of
// the delta, or the packed data is invalid.
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

// openAll returns the items that are newer than the replica, with their values, and one of the newer items whose value
// is still missing, or nil if there is none.
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

// brief returns the item as it is sent to a daemon that holds revision have of it, or 0 if it holds none.
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

// lacking returns the items that are missing or outdated in a replica with the given versions.
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

// forget drops the items that were removed more than endedFor ago.
func (r *replica) forget(now time.Time) {
	for key, h := range r.items {
		if h.Removed && now.Sub(h.ended) > endedFor {
			delete(r.items, key)
		}
	}
}
