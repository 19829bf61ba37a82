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

// removedRetention is how long a removed item is kept for daemons that start. It is longer than the lifetime of a flow,
// because these daemons still have to handle the flows of removed targets.
const removedRetention = 75 * time.Second

// storedItem is an item in the replica.
type storedItem struct {
	Item
	// removedAt is when the removal was received; zero for an item that is not removed.
	removedAt time.Time
	// previousValue is the value at the previous revision, for deltas. It is kept only for large values.
	previousValue    []byte
	previousRevision uint64
	// cachedValue and cachedDelta are the compressed value and delta, computed when first requested.
	cachedValue, cachedDelta []byte
}

// packedValue returns the compressed value. It caches the result.
func (s *storedItem) packedValue() []byte {
	if s.cachedValue == nil {
		s.cachedValue = pack(s.Value)
	}
	return s.cachedValue
}

// packedDelta returns the compressed delta from the previous value, or nil if there is no previous value. It caches the
// result.
func (s *storedItem) packedDelta() []byte {
	if s.cachedDelta == nil && s.previousValue != nil {
		s.cachedDelta = diff(s.previousValue, s.Value)
	}
	return s.cachedDelta
}

// replica is the daemon's replica of the published items. It keeps removed items for a while.
type replica struct {
	items map[string]*storedItem
	// digest is the XOR of the hashes of all items that are not removed.
	digest uint64
	// highestRevision is the highest revision of any item that was ever in the replica.
	highestRevision uint64
	// completeRevision is the revision up to which the replica contains every change.
	completeRevision uint64
	// synced is true once the replica has been complete up to some revision.
	synced bool
}

func newReplica() *replica {
	return &replica{items: make(map[string]*storedItem)}
}

// apply adds or updates an item and reports whether it is newer than the replica's version of it. An unknown item at or
// below the complete revision has been removed since, and is ignored.
func (r *replica) apply(now time.Time, it Item) bool {
	previous := r.items[it.Key]
	if previous == nil && r.synced && it.Revision <= r.completeRevision && !it.Removed {
		return false
	}
	if previous != nil && it.Revision <= previous.Revision {
		return false
	}
	next := &storedItem{Item: it}
	if previous != nil && !it.Removed && len(previous.Value) > largeValueBytes {
		next.previousValue, next.previousRevision = previous.Value, previous.Revision
	}
	if it.Removed {
		next.removedAt = now
		if previous != nil && len(it.Value) == 0 {
			next.Value = previous.Value
		}
	}
	if previous != nil && !previous.Removed {
		r.digest ^= digestOf(previous.Version())
	}
	if !it.Removed {
		r.digest ^= digestOf(next.Version())
	}
	r.items[it.Key] = next
	r.highestRevision = max(r.highestRevision, it.Revision)
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

// applyFullState applies a full state of the platform that contains every change up to completeRevision, and returns
// the items that changed. published holds the versions of all published items: other items are removed unless their
// revision is above completeRevision.
func (r *replica) applyFullState(now time.Time, completeRevision uint64, items []Item, published []Version) []Item {
	if r.synced && completeRevision < r.completeRevision {
		return r.applyAll(now, items)
	}
	changes := r.applyAll(now, items)
	isPublished := make(map[string]bool, len(published))
	for _, v := range published {
		isPublished[v.Key] = true
	}
	for key, s := range r.items {
		if s.Removed || isPublished[key] || s.Revision > completeRevision {
			continue
		}
		removal := Item{Key: key, Revision: completeRevision, Removed: true}
		if s.Revision == completeRevision {
			removal.Revision++
		}
		if r.apply(now, removal) {
			changes = append(changes, r.items[key].Item)
		}
	}
	r.markComplete(completeRevision)
	return changes
}

// applyAll applies items and returns those that changed the replica.
func (r *replica) applyAll(now time.Time, items []Item) []Item {
	var changes []Item
	for _, it := range items {
		if r.apply(now, it) {
			changes = append(changes, r.items[it.Key].Item)
		}
	}
	return changes
}

// markComplete records that the replica contains every change up to a revision.
func (r *replica) markComplete(revision uint64) {
	r.synced = true
	r.completeRevision = max(r.completeRevision, revision)
}

// published returns the versions of all items that are not removed.
func (r *replica) published() []Version {
	out := make([]Version, 0, len(r.items))
	for _, s := range r.items {
		if !s.Removed {
			out = append(out, s.Version())
		}
	}
	return out
}

// versions returns the versions of all items, including removed ones.
func (r *replica) versions() []Version {
	out := make([]Version, 0, len(r.items))
	for _, s := range r.items {
		out = append(out, s.Version())
	}
	return out
}

// largeValueBytes is the size in bytes above which a value is sent compressed or as a delta.
const largeValueBytes = 1000

// resolve returns a packed item with its value. It returns an error when the replica does not hold the base revision of
// the delta or the packed data is invalid.
func (r *replica) resolve(it Item) (Item, error) {
	if len(it.Packed) == 0 {
		return it, nil
	}
	var value []byte
	var err error
	if it.Base == 0 {
		value, err = unpack(it.Packed)
	} else {
		base := r.items[it.Key]
		if base == nil || base.Revision != it.Base {
			return it, errDelta
		}
		value, err = patch(base.Value, it.Packed)
	}
	it.Value, it.Packed, it.Base = value, nil, 0
	return it, err
}

// resolveAll returns the items that are newer than those in the replica, with their values, and one of the newer items
// whose value is still missing, or nil if there is none.
func (r *replica) resolveAll(items []Item) (resolved []Item, unresolved *Item) {
	for _, it := range items {
		if current := r.items[it.Key]; current != nil && current.Revision >= it.Revision {
			continue
		}
		it, err := r.resolve(it)
		if it.Withheld || err != nil {
			unresolved = &it
			continue
		}
		resolved = append(resolved, it)
	}
	return resolved, unresolved
}

// itemFor returns the item as it is sent to a daemon that holds it at heldRevision, which is 0 if the daemon does not
// hold it.
func (s *storedItem) itemFor(heldRevision uint64) Item {
	it := s.Item
	if len(it.Value) <= largeValueBytes {
		return it
	}
	it.Value = nil
	if heldRevision != 0 && heldRevision == s.previousRevision {
		it.Packed, it.Base = s.packedDelta(), heldRevision
		return it
	}
	it.Packed = s.packedValue()
	return it
}

// missingItems returns the items that are missing or outdated in a replica with the given versions.
func (r *replica) missingItems(held []Version) []Item {
	heldRevisions := make(map[string]uint64, len(held))
	for _, v := range held {
		heldRevisions[v.Key] = v.Revision
	}
	var out []Item
	for key, s := range r.items {
		if heldRevisions[key] < s.Revision {
			out = append(out, s.itemFor(heldRevisions[key]))
		}
	}
	return out
}

// removeExpired drops the items that were removed more than removedRetention ago.
func (r *replica) removeExpired(now time.Time) {
	for key, s := range r.items {
		if s.Removed && now.Sub(s.removedAt) > removedRetention {
			delete(r.items, key)
		}
	}
}
