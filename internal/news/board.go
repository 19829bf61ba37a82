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
}

// board is the daemon's copy of the published items.
type board struct {
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

func newBoard() *board {
	return &board{items: make(map[string]*held)}
}

// apply takes an item and reports whether it is news.
func (b *board) apply(now time.Time, it Item) bool {
	was := b.items[it.Key]
	if was == nil && b.filled && it.Revision <= b.complete && !it.Removed {
		return false
	}
	if was != nil && it.Revision <= was.Revision {
		return false
	}
	next := &held{Item: it}
	if it.Removed {
		next.ended = now
		if was != nil && len(it.Value) == 0 {
			next.Value = was.Value
		}
	}
	if was != nil && !was.Removed {
		b.digest ^= digestOf(was.Version())
	}
	if !it.Removed {
		b.digest ^= digestOf(next.Version())
	}
	b.items[it.Key] = next
	b.highest = max(b.highest, it.Revision)
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
func (b *board) reset(now time.Time, complete uint64, items []Item, standing []Version) []Item {
	if b.filled && complete < b.complete {
		return b.applyAll(now, items)
	}
	news := b.applyAll(now, items)
	stands := make(map[string]bool, len(standing))
	for _, v := range standing {
		stands[v.Key] = true
	}
	for key, h := range b.items {
		if h.Removed || stands[key] || h.Revision > complete {
			continue
		}
		gone := Item{Key: key, Revision: complete, Removed: true}
		if h.Revision == complete {
			gone.Revision++
		}
		if b.apply(now, gone) {
			news = append(news, b.items[key].Item)
		}
	}
	b.completeTo(complete)
	return news
}

func (b *board) applyAll(now time.Time, items []Item) []Item {
	var news []Item
	for _, it := range items {
		if b.apply(now, it) {
			news = append(news, b.items[it.Key].Item)
		}
	}
	return news
}

// completeTo notes that every change up to a revision is in the copy.
func (b *board) completeTo(revision uint64) {
	b.filled = true
	b.complete = max(b.complete, revision)
}

// standing names the items that stand.
func (b *board) standing() []Version {
	out := make([]Version, 0, len(b.items))
	for _, h := range b.items {
		if !h.Removed {
			out = append(out, h.Version())
		}
	}
	return out
}

// versions names all items, ended ones among them.
func (b *board) versions() []Version {
	out := make([]Version, 0, len(b.items))
	for _, h := range b.items {
		out = append(out, h.Version())
	}
	return out
}

// lacking returns the items that a copy with the given versions lacks.
func (b *board) lacking(have []Version) []Item {
	known := make(map[string]uint64, len(have))
	for _, v := range have {
		known[v.Key] = v.Revision
	}
	var out []Item
	for key, h := range b.items {
		if known[key] < h.Revision {
			out = append(out, h.Item)
		}
	}
	return out
}

// forget drops ended items that are over.
func (b *board) forget(now time.Time) {
	for key, h := range b.items {
		if h.Removed && now.Sub(h.ended) > endedFor {
			delete(b.items, key)
		}
	}
}
