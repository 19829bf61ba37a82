package flowtag

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/model"
)

// Tag names a target: a version in the highest bits, a hash of the target's name in the others.
type Tag uint32

// None is the tag of a packet whose flow has no target yet.
const None Tag = 0

const (
	// Version is the version of the encoding that new flows get. A release that changes the encoding takes
	// the next one and goes on reading this one, so that both can run side by side.
	Version = 1

	versionShift = 29
	hashMask     = 1<<versionShift - 1
	// names is the number of tags that a target claims; the second is used where the first is another's.
	names = 2
)

// nameSalt tells the tags of one target apart.
var nameSalt = [names]string{"tag/", "tag2/"}

// Version returns the version of the encoding.
func (t Tag) Version() int {
	return int(t >> versionShift)
}

// claims returns the tags that a target of this name may be known by. A target that starts again under its
// name keeps them: it answers for the flows that it no longer holds.
func claims(name string) [names]Tag {
	var all [names]Tag
	for i, salt := range nameSalt {
		hash := Tag(xxhash.Sum64String(salt+name)) & hashMask
		all[i] = Version<<versionShift | hash
	}
	return all
}

// older reports whether target a has the better claim to a tag. A target of unknown age comes last.
func older(a, b *model.Target) bool {
	if !a.Born.Equal(b.Born) {
		if a.Born.IsZero() || b.Born.IsZero() {
			return b.Born.IsZero()
		}
		return a.Born.Before(b.Born)
	}
	return a.Name < b.Name
}
