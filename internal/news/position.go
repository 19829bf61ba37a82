package news

import (
	"cmp"
	"fmt"
)

// Position is a point in the platform's history. Revisions are ordered within an era only: when the platform returns
// from an older copy of its data, a new era begins, in which the revisions after the copy are given out again. Era 0 is
// that of a platform that reports none.
type Position struct {
	Era, Revision uint64
}

// Compare returns a negative number if p is before q, a positive one if it is after q, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}

// String returns the era and the revision, or the revision alone in era 0.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(p.Revision)
	}
	return fmt.Sprintf("%d/%d", p.Era, p.Revision)
}

// later returns the later of two positions.
func later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
