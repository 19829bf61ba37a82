package news

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Item is a published item, or the removal of one.
type Item struct {
	Key string
	// Era and Revision are the position of the item's last change. In each era an item has at least the position at
	// which the platform published it in that era.
	Era, Revision uint64
	// Created is the revision in Era at which the platform created the item, 0 if unknown. An item that was removed and
	// written again was created again.
	Created uint64
	// Value is the published text. For a removed item it is the last text, if known.
	Value   []byte
	Removed bool
	// Withheld is true when the value was too large for the datagram that announced the item.
	Withheld bool
	// Size is the size of the response to a fetch of a withheld value, in bytes.
	Size int
	// Packed is the compressed value, or if Base is not 0 the compressed delta from the value at revision Base. Value
	// is empty in both cases. The delta ends with a checksum of the value, which detects a base of another era.
	Packed []byte
	Base   uint64
}

// Version identifies a state of an item by its key and position.
type Version struct {
	Key           string
	Era, Revision uint64
}

// Position returns the position of the version.
func (v Version) Position() Position {
	return Position{Era: v.Era, Revision: v.Revision}
}

// removedRetention is how long a removed item is kept for daemons that start. It is longer than the lifetime of a flow,
// because these daemons still have to handle the flows of removed targets.
const removedRetention = 75 * time.Second

// storedItem is an item in the replica.
type storedItem struct {
	Item
	// removedAt is when the removal was received; zero for an item that is not removed.
	removedAt time.Time
	// rewritten is true if the item was written in its era, and is not from the copy that the era began with. It may be
	// false for an item that was written before this daemon knew the copy.
	rewritten bool
	// lineage is the position of the item of the last earlier era that it replaced.
	lineage Position
	// unchanged is true if the item has only been given a position in a new era.
	unchanged bool
	// previousValue is the value at the previous revision, for deltas. It is kept only for large and unchanged values.
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
	// digest is the XOR of the hashes of all items that are not removed, relative to the era of complete.
	digest uint64
	// highest is the highest position of any item that was ever in the replica.
	highest Position
	// complete is the position up to which the replica contains every change.
	complete Position
	// synced is true once the replica has been complete up to some position.
	synced bool
	// replaced describes what the last changes replaced, in the order of the changes.
	replaced []replacement
}

// replacement is what a change of an item replaced.
type replacement struct {
	// previous is the item of before; nil for a new key.
	previous *Item
	// rewritten is as in storedItem.
	rewritten bool
}

func newReplica() *replica {
	return &replica{items: make(map[string]*storedItem)}
}

// apply adds or updates an item and reports whether it is newer than the replica's version of it. An item at or below the
// complete position that the replica does not hold in that era has been removed since, and is ignored.
func (r *replica) apply(now time.Time, it Item) bool {
	previous := r.items[it.Key]
	if (previous == nil || previous.Era < it.Era) && r.synced && !r.complete.Before(it.Position()) && !it.Removed {
		return false
	}
	if previous != nil && !previous.Position().Before(it.Position()) {
		return false
	}
	if it.Created == 0 && previous != nil && previous.Era == it.Era && !previous.Removed {
		it.Created = previous.Created
	}
	next := &storedItem{Item: it}
	next.rewritten = previous != nil && previous.Era == it.Era || r.synced && r.complete.Era == it.Era
	next.unchanged = previous != nil && unchangedInNewEra(previous, it)
	if previous != nil && !it.Removed && (len(previous.Value) > largeValueBytes || next.unchanged) {
		next.previousValue, next.previousRevision = previous.Value, previous.Revision
	}
	if it.Removed {
		next.removedAt = now
		if previous != nil && len(it.Value) == 0 {
			next.Value = previous.Value
		}
	}
	if previous != nil && !previous.Removed {
		r.digest ^= digestOf(previous.Version(), r.complete.Era)
	}
	if !it.Removed {
		r.digest ^= digestOf(next.Version(), r.complete.Era)
	}
	was := replacement{rewritten: next.rewritten}
	if previous != nil {
		was.previous = &previous.Item
		next.lineage = previous.lineage
		if previous.Era < it.Era {
			next.lineage = previous.Position()
		}
	}
	r.replaced = append(r.replaced, was)
	r.items[it.Key] = next
	r.highest = later(r.highest, it.Position())
	return true
}

// minReferenceBytes is the size in bytes above which an unchanged value of a new era is sent as a delta.
const minReferenceBytes = 64

// unchangedInNewEra reports whether a new era of the platform has left the value of an item as it was. Load pattern: all
// items get new positions when an era begins, and a zone's reader sends them to all daemons of its zone.
func unchangedInNewEra(previous *storedItem, it Item) bool {
	return previous.Era != it.Era && !previous.Removed && !it.Removed && len(it.Value) > minReferenceBytes && bytes.Equal(previous.Value, it.Value)
}

// Version returns the item's key and position.
func (it *Item) Version() Version {
	return Version{Key: it.Key, Era: it.Era, Revision: it.Revision}
}

// Position returns the item's position.
func (it *Item) Position() Position {
	return Position{Era: it.Era, Revision: it.Revision}
}

// digestOf hashes a version, with its era relative to that of the replica: daemons that do not know eras compute the
// same digest of a complete replica. The digest of a set of versions is the XOR of their hashes.
func digestOf(v Version, replicaEra uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(v.Key)
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], v.Revision)
	d.Write(number[:])
	if v.Era != replicaEra {
		binary.BigEndian.PutUint64(number[:], v.Era-replicaEra)
		d.Write(number[:])
	}
	return d.Sum64()
}

// digestIn returns the digest relative to an era.
func (r *replica) digestIn(era uint64) uint64 {
	if era == r.complete.Era {
		return r.digest
	}
	var digest uint64
	for _, s := range r.items {
		if !s.Removed {
			digest ^= digestOf(s.Version(), era)
		}
	}
	return digest
}

// applyFullState applies a full state of the platform that contains every change up to complete, and returns the items
// that changed. published holds the versions of all published items: other items are removed unless their position is
// after complete.
func (r *replica) applyFullState(now time.Time, complete Position, items []Item, published []Version) []Item {
	if r.synced && complete.Before(r.complete) {
		return r.applyAll(now, items)
	}
	changes := r.applyAll(now, items)
	isPublished := make(map[string]bool, len(published))
	for _, v := range published {
		isPublished[v.Key] = true
	}
	for key, s := range r.items {
		if s.Removed || isPublished[key] || complete.Before(s.Position()) {
			continue
		}
		removal := Item{Key: key, Era: complete.Era, Revision: complete.Revision, Removed: true}
		if s.Position() == complete {
			removal.Revision++
		}
		if r.apply(now, removal) {
			changes = append(changes, r.items[key].Item)
		}
	}
	r.markComplete(complete)
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

// markComplete records that the replica contains every change up to a position.
func (r *replica) markComplete(complete Position) {
	r.synced = true
	if r.complete.Era < complete.Era {
		r.digest = r.digestIn(complete.Era)
	}
	r.complete = later(r.complete, complete)
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
		if current := r.items[it.Key]; current != nil && !current.Position().Before(it.Position()) {
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

// itemFor returns the item as it is sent to a daemon that holds it at the revision heldRevision of any era, which is 0 if
// the daemon does not hold it.
func (s *storedItem) itemFor(heldRevision uint64) Item {
	it := s.Item
	if len(it.Value) <= largeValueBytes && (!s.unchanged || heldRevision != s.previousRevision) {
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
	heldPositions := make(map[string]Position, len(held))
	for _, v := range held {
		heldPositions[v.Key] = v.Position()
	}
	var out []Item
	for key, s := range r.items {
		if heldPositions[key].Before(s.Position()) {
			out = append(out, s.itemFor(heldPositions[key].Revision))
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
