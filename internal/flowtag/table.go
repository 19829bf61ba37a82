package flowtag

import "github.com/fireflypin/fireflypin/model"

// Table finds targets by tag and tags by target. It is immutable.
type Table struct {
	targets map[Tag]*model.Target
	tags    map[model.TargetID]Tag
}

// NewTable returns the table of published targets and of former ones, whose open flows go on.
func NewTable(published, former []*model.Target) *Table {
	t := &Table{
		targets: make(map[Tag]*model.Target, names*(len(published)+len(former))),
		tags:    make(map[model.TargetID]Tag, len(published)),
	}
	for _, target := range published {
		t.claim(target)
	}
	for _, target := range former {
		t.claim(target)
	}
	for _, target := range published {
		t.name(target)
	}
	return t
}

func (t *Table) claim(target *model.Target) {
	for _, tag := range claims(target.Name) {
		if holder := t.targets[tag]; holder == nil || older(target, holder) {
			t.targets[tag] = target
		}
	}
}

// name notes the first tag that is the target's alone.
func (t *Table) name(target *model.Target) {
	for _, tag := range claims(target.Name) {
		if t.targets[tag] == target {
			t.tags[target.ID] = tag
			return
		}
	}
}

// Target returns the target that a tag names, or nil for a tag that nobody here knows.
func (t *Table) Target(tag Tag) *model.Target {
	return t.targets[tag]
}

// Tag returns the tag for new flows of a published target, or None where older targets hold all that it
// claims; such a target takes no new flows.
func (t *Table) Tag(id model.TargetID) Tag {
	return t.tags[id]
}
