package flowtag

import (
	"github.com/samber/lo"

	"github.com/fireflypin/fireflypin/model"
)

// Table finds targets by tag and tags by target. It is immutable.
type Table struct {
	// holders holds the target of each tag; nil for one whose claimants cannot be told apart.
	holders map[Tag]*model.Target
	tags    map[model.TargetID]Tag
}

// NewTable returns the table of the published targets and of previous ones: targets that are no longer published but
// whose open flows continue.
func NewTable(published, previous []*model.Target) *Table {
	t := &Table{
		holders: make(map[Tag]*model.Target, tagsPerTarget*(len(published)+len(previous))),
		tags:    make(map[model.TargetID]Tag, len(published)),
	}
	shared := make(map[Tag][]*model.Target)
	for _, targets := range [][]*model.Target{published, previous} {
		for _, target := range targets {
			t.claim(target, shared)
		}
	}
	for tag, claimants := range shared {
		t.holders[tag] = holderOf(claimants)
	}
	for _, target := range published {
		t.assignTag(target)
	}
	return t
}

// claim enters a target as the holder of its candidate tags, and in shared where another target claims one, too.
func (t *Table) claim(target *model.Target, shared map[Tag][]*model.Target) {
	for _, tag := range candidateTags(target.Name) {
		switch holder := t.holders[tag]; {
		case holder == nil:
			t.holders[tag] = target
		case holder.Name == target.Name:
		case shared[tag] == nil:
			shared[tag] = []*model.Target{holder, target}
		default:
			shared[tag] = append(shared[tag], target)
		}
	}
}

// holderOf returns the one of the claimants of a tag that has priority over all others, or nil if there is none.
func holderOf(claimants []*model.Target) *model.Target {
	for _, a := range claimants {
		if lo.EveryBy(claimants, func(b *model.Target) bool { return a == b || hasPriority(a, b) }) {
			return a
		}
	}
	return nil
}

// assignTag assigns to a target the first of its candidate tags that it holds.
func (t *Table) assignTag(target *model.Target) {
	for _, tag := range candidateTags(target.Name) {
		if t.holders[tag] == target {
			t.tags[target.ID] = tag
			return
		}
	}
}

// Target returns the target of a tag, or nil if the tag is unknown or it is not certain whose it is.
func (t *Table) Target(tag Tag) *model.Target {
	return t.holders[tag]
}

// Tag returns the tag for new flows of a published target, or None if it holds none of the tags that it claims; such a
// target gets no new flows.
func (t *Table) Tag(id model.TargetID) Tag {
	return t.tags[id]
}
