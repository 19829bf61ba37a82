package flowtag

import "github.com/cespare/xxhash/v2"

// Tag identifies a target: the highest 3 bits hold the version of the encoding, the others a hash of the target's
// name.
type Tag uint32

// None is the tag of a packet whose flow has no target yet.
const None Tag = 0

const (
	// Version is the version of the encoding for new flows. A release that changes the encoding uses the next version
	// and keeps decoding this one, so that both releases can run side by side.
	Version = 1

	versionShift = 29
	hashMask     = 1<<versionShift - 1
	// tagsPerTarget is the number of tags that a target claims. The second is used if another target holds the first.
	tagsPerTarget = 2
)

// tagSalts holds the salts from which a target's tags are hashed, in order of preference.
var tagSalts = [tagsPerTarget]string{"tag/", "tag2/"}

// Version returns the version of the encoding.
func (t Tag) Version() int {
	return int(t >> versionShift)
}

// candidateTags returns the tags that a target of this name may have. A target that restarts under its name keeps
// them and so receives, and responds to, packets of flows that it lost in the restart.
func candidateTags(name string) [tagsPerTarget]Tag {
	var tags [tagsPerTarget]Tag
	for i, salt := range tagSalts {
		hash := Tag(xxhash.Sum64String(salt+name)) & hashMask
		tags[i] = Version<<versionShift | hash
	}
	return tags
}
