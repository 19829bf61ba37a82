package news

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// After the platform has returned from an older copy, what it publishes may be older than what is in force: writes that
// it had acknowledged are missing until their writers repeat them. A hold keeps an item in force in place of the
// published one for that time. Which mistakes each hold avoids is in docs/design/store-return.md.

// Kind is what an item describes, as far as holds depend on it.
type Kind uint8

// The kinds of items. KindOther is never held.
const (
	KindOther Kind = iota
	KindConfig
	KindTarget
	KindZoneDrain
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"other", "config", "target", "zone_drain"}[k]
}

// Facts is what holds depend on in an item.
type Facts struct {
	Kind Kind
	// Version is the version of a configuration, which never decreases.
	Version uint64
	// StartedAt is the start of a target's process, and Sequence the target's count of the writes of its registration
	// since then; 0 if unknown. Both never decrease from one write to the next.
	StartedAt time.Time
	Sequence  uint64
	Draining  bool
	// Usable is false for an item that cannot be parsed.
	Usable bool
}

const (
	// missingTargetHold is how long a target that is missing from the copy stays in force. Registrations that the
	// platform lost are back within two seconds of its return if the target lives.
	missingTargetHold = 2500 * time.Millisecond
	// endedTargetHold is how long a target that was draining or had ended is not taken back from the copy: three of the
	// platform's heartbeats of 1.2 s, after which the registration of a target that does not renew it is removed, and the
	// time until the removal is known.
	endedTargetHold = 5 * time.Second
	// operatorHold is how long a drain of a zone that differs from the copy stands, and how long a configuration that is
	// higher than the copy's is expected again: the operators' writes are repeated as soon as the platform is back.
	operatorHold = 5 * time.Second
)

// Kept is an item of an earlier era that is in force in place of the published one.
type Kept struct {
	Item
	// Remaining is how much longer it is kept.
	Remaining time.Duration
}

// hold is the state of a held item.
type hold struct {
	kept   Item
	kind   Kind
	until  time.Time
	length time.Duration
	// expired is true for a configuration that was not written again in time. It stays in force, as no lower version
	// may replace it in the lifetime of a process.
	expired bool
}

// holds decides which of the published items are in force.
type holds struct {
	describe func(Item) Facts
	byKey    map[string]*hold
	// digest is a hash over the keys and positions of all items held in this era, also of those that are not held any
	// more, so that equal knowledge has equal digests.
	digest uint64
	seen   map[Version]bool
	// knownRevision is the highest revision that this daemon knew of in the era before. An item with a higher one was
	// written after all that is held, whether in the copy or since.
	knownRevision uint64
}

func newHolds(describe func(Item) Facts) *holds {
	return &holds{describe: describe, byKey: make(map[string]*hold), seen: make(map[Version]bool)}
}

// beginEra begins an era: it forgets which items were held in earlier ones. The holds themselves stay, and their time
// begins anew, as the writers have to write again once more.
func (h *holds) beginEra(now time.Time, knownRevision uint64) {
	h.knownRevision = knownRevision
	h.digest, h.seen = 0, make(map[Version]bool)
	for _, held := range h.byKey {
		held.until = now.Add(held.length)
		h.note(held.kept)
	}
}

func (h *holds) note(it Item) {
	if v := it.Version(); !h.seen[v] {
		h.seen[v] = true
		h.digest ^= digestOf(v, 0)
	}
}

// replaced decides about an item that replaces another one in the replica. It returns the new item as it is put in force
// and true if it is, and the hold that began or ended, if any.
func (h *holds) replaced(now time.Time, was replacement, next Item) (inForce Item, ok bool, report *Held) {
	held := h.byKey[next.Key]
	inEffect := was.previous
	if held != nil {
		inEffect = &held.kept
	}
	if inEffect == nil || inEffect.Era == next.Era || h.describe == nil {
		return next, true, nil
	}
	if held != nil && was.previous != nil && was.previous.Removed && next.Removed {
		// Another daemon has found that the item is missing, too.
		return next, false, nil
	}
	facts := h.describe(*inEffect)
	length, older := holdFor(facts, h.describe(next), inEffect.Removed, next.Removed)
	rewritten := was.rewritten || !next.Removed && next.Revision > h.knownRevision
	if older && (!rewritten || facts.Kind == KindConfig) {
		if held != nil && was.rewritten {
			return next, false, nil
		}
		return next, false, h.begin(now, *inEffect, facts.Kind, next.Position(), length)
	}
	if held == nil {
		return next, !sameContent(*inEffect, next), nil
	}
	delete(h.byKey, next.Key)
	return afterHold(held.kept, next), !sameContent(held.kept, next), &Held{Key: next.Key, Kind: held.kind, Kept: held.kept.Position(), Published: next.Position(), Event: HoldWrittenAgain}
}

// begin begins or renews a hold.
func (h *holds) begin(now time.Time, kept Item, kind Kind, published Position, length time.Duration) *Held {
	event := HoldBegan
	if h.byKey[kept.Key] != nil {
		event = HoldRenewed
	}
	h.byKey[kept.Key] = &hold{kept: kept, kind: kind, until: now.Add(length), length: length}
	h.note(kept)
	return &Held{Key: kept.Key, Kind: kind, Kept: kept.Position(), Published: published, For: length, Event: event}
}

// learn decides about an item that another daemon keeps in force. current is this daemon's published item of that key,
// which may be nil. It returns whether the kept item is to be put in force here, too.
func (h *holds) learn(now time.Time, kept Kept, current *storedItem, synced bool) (inForce bool, report *Held) {
	if h.describe == nil || h.seen[kept.Version()] || current == nil && !synced {
		return false, nil
	}
	h.note(kept.Item)
	published := Item{Key: kept.Key, Removed: true, Era: kept.Era + 1}
	if current != nil && (!current.Removed || current.Era > kept.Era || !current.Position().Before(kept.Position())) {
		published = current.Item
	}
	facts := h.describe(kept.Item)
	length, older := holdFor(facts, h.describe(published), kept.Removed, published.Removed)
	switch held := h.byKey[kept.Key]; {
	case published.Era <= kept.Era || !older:
		return false, nil
	case current != nil && current.rewritten && facts.Kind != KindConfig:
		return false, nil
	case held != nil && !held.kept.Position().Before(kept.Position()):
		return false, nil
	case current != nil && !current.lineage.Before(kept.Position()):
		return false, nil
	}
	return true, h.begin(now, kept.Item, facts.Kind, published.Position(), min(length, kept.Remaining))
}

// afterHold returns an item as it is put in force after a hold. The end of an item is that of the one in force: a target
// that was draining has not ended without notice.
func afterHold(kept, next Item) Item {
	if next.Removed {
		next.Value = kept.Value
	}
	return next
}

// expire ends the holds whose time was over when the platform last confirmed the replica, and returns them in the order
// of their keys. A daemon that the platform does not reach cannot know what was written again, and keeps its holds.
func (h *holds) expire(confirmed time.Time) []*Held {
	var ended []*Held
	for key, held := range h.byKey {
		if held.expired || confirmed.Before(held.until) {
			continue
		}
		ended = append(ended, &Held{Key: key, Kind: held.kind, Kept: held.kept.Position(), Event: HoldExpired, kept: held.kept})
		if held.kind == KindConfig {
			held.expired = true
			continue
		}
		delete(h.byKey, key)
	}
	slices.SortFunc(ended, func(a, b *Held) int { return cmp.Compare(a.Key, b.Key) })
	return ended
}

// kept returns the items that are held, for another daemon.
func (h *holds) kept(now time.Time) []Kept {
	var out []Kept
	for _, held := range h.byKey {
		out = append(out, Kept{Item: held.kept, Remaining: max(held.until.Sub(now), 0)})
	}
	return out
}

// holdFor reports whether a published item is older than the one in force, and for how long the latter is held then.
func holdFor(inForce, published Facts, ended, missing bool) (length time.Duration, older bool) {
	switch inForce.Kind {
	case KindConfig:
		return operatorHold, inForce.Usable && (missing || !published.Usable || published.Version < inForce.Version)
	case KindZoneDrain:
		return operatorHold, ended != missing
	case KindTarget:
		return holdTarget(inForce, published, ended, missing)
	default:
		return 0, false
	}
}

// holdTarget is holdFor for targets.
func holdTarget(inForce, published Facts, ended, missing bool) (length time.Duration, older bool) {
	switch {
	case missing:
		return missingTargetHold, !ended && inForce.Usable
	case !published.Usable:
		return 0, false
	case !inForce.Usable:
		return endedTargetHold, ended
	case !published.StartedAt.Equal(inForce.StartedAt):
		return endedTargetHold, published.StartedAt.Before(inForce.StartedAt)
	case published.Sequence != inForce.Sequence:
		return endedTargetHold, published.Sequence < inForce.Sequence && (ended || inForce.Draining && !published.Draining)
	default:
		return endedTargetHold, ended || inForce.Draining && !published.Draining
	}
}

// sameContent reports whether two items differ in nothing but their positions.
func sameContent(a, b Item) bool {
	return a.Removed == b.Removed && (a.Removed || bytes.Equal(a.Value, b.Value))
}
