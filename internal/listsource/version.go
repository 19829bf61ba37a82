package listsource

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Version names one text of a list. Versions are totally ordered, so that daemons which meet texts in
// different orders settle on the same one, also where two texts carry one revision.
type Version struct {
	Revision uint64
	// Size is the length of the text in bytes. Between texts of one revision the longer one counts as the
	// newer, so that a text that was cut never wins over the whole.
	Size uint32
	// Sum is the XXH64 of the text.
	Sum uint64
}

// VersionOf returns the version of a text.
func VersionOf(revision uint64, body []byte) Version {
	return Version{Revision: revision, Size: uint32(len(body)), Sum: xxhash.Sum64(body)}
}

// Compare returns -1, 0 or 1 as v is older than, the same as or newer than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Size, o.Size), cmp.Compare(v.Sum, o.Sum))
}

// Digest holds the version of each list that a daemon holds, by lists.Kind; zero for none.
type Digest [3]Version

// Revisions returns the revisions of a digest.
func (d Digest) Revisions() model.Revisions {
	return model.Revisions{
		Customers: d[lists.KindCustomers].Revision,
		Plans:     d[lists.KindPlans].Revision,
		Machines:  d[lists.KindMachines].Revision,
	}
}

// DigestOf returns the digest of a peer that told its revisions alone.
func DigestOf(r model.Revisions) Digest {
	return Digest{{Revision: r.Customers}, {Revision: r.Plans}, {Revision: r.Machines}}
}

// AppendTo appends the encoded digest to dst, at most 69 bytes.
func (d Digest) AppendTo(dst []byte) []byte {
	for _, v := range d {
		dst = binary.AppendUvarint(dst, v.Revision)
		dst = binary.AppendUvarint(dst, uint64(v.Size))
		dst = binary.BigEndian.AppendUint64(dst, v.Sum)
	}
	return dst
}

// DecodeDigest reads an encoded digest. It returns false for bytes that are none.
func DecodeDigest(b []byte) (Digest, bool) {
	var d Digest
	for i := range d {
		revision, n := binary.Uvarint(b)
		if n <= 0 {
			return Digest{}, false
		}
		b = b[n:]
		size, n := binary.Uvarint(b)
		if n <= 0 || size > lists.MaxBytes || len(b) < n+8 {
			return Digest{}, false
		}
		d[i] = Version{Revision: revision, Size: uint32(size), Sum: binary.BigEndian.Uint64(b[n:])}
		b = b[n+8:]
	}
	return d, len(b) == 0
}
