package flowtag

import "github.com/fireflypin/fireflypin/model"

// Table finds targets by tag and tags by target. It is immutable.
type Table struct {
	targets map[Tag]*model.Target
	tags    map[model.TargetID]Tag
}

// NewTable returns the table of the published targets and of previous ones: targets that are no longer published but
// whose open flows continue.
func NewTable(published, previous []*model.Target) *Table {
	t := &Table{
		targets: make(map[Tag]*model.Target, tagsPerTarget*(len(published)+len(previous))),
		tags:    make(map[model.TargetID]Tag, len(published)),
	}
	for _, target := range published {
		t.claim(target)
	}
	for _, target := range previous {
		t.claim(target)
	}
	for _, target := range published {
		t.assignTag(target)
	}
	return t
}

// claim gives a target each of its candidate tags that no target with priority holds.
func (t *Table) claim(target *model.Target) {
	for _, tag := range candidateTags(target.Name) {
		if holder := t.targets[tag]; holder == nil || hasPriority(target, holder) {
			t.targets[tag] = target
		}
	}
}

// assignTag assigns to a target the first of its candidate tags that it holds.
func (t *Table) assignTag(target *model.Target) {
	for _, tag := range candidateTags(target.Name) {
		if t.targets[tag] == target {
			t.tags[target.ID] = tag
			return
		}
	}
}

// Target returns the target of a tag, or nil if the tag is unknown.
func (t *Table) Target(tag Tag) *model.Target {
	return t.targets[tag]
}

// Tag returns the tag for new flows of a published target, or None if older targets hold all tags that it claims;
// such a target gets no new flows.
func (t *Table) Tag(id model.TargetID) Tag {
	return t.tags[id]
}
