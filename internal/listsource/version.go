package listsource

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/model"
)

// Version identifies one document of a list. Versions are totally ordered, so that daemons that receive
// documents in different orders converge on the same one, even if two documents have the same revision.
type Version struct {
	Revision uint64
	// Size is the length of the document in bytes. Of two documents with the same revision, the longer one
	// is considered newer, so that a truncated document never replaces the complete one.
	Size uint32
	// Sum is the XXH64 checksum of the document.
	Sum uint64
}

// VersionOf returns the version of a document.
func VersionOf(revision uint64, body []byte) Version {
	return Version{Revision: revision, Size: uint32(len(body)), Sum: xxhash.Sum64(body)}
}

// Compare returns -1, 0 or 1 as v is older than, the same as or newer than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Size, o.Size), cmp.Compare(v.Sum, o.Sum))
}

// Digest contains the versions of the lists that a daemon holds, indexed by lists.Kind; zero for none.
type Digest [3]Version

// Revisions returns the revisions of a digest.
func (d Digest) Revisions() model.Revisions {
	return model.Revisions{
		Customers: d[lists.KindCustomers].Revision,
		Plans:     d[lists.KindPlans].Revision,
		Machines:  d[lists.KindMachines].Revision,
	}
}

// DigestOf returns a digest that contains only revisions, without sizes and checksums.
func DigestOf(r model.Revisions) Digest {
	return Digest{{Revision: r.Customers}, {Revision: r.Plans}, {Revision: r.Machines}}
}

// AppendTo appends the encoded digest to dst. The encoding takes at most 69 bytes.
func (d Digest) AppendTo(dst []byte) []byte {
	for _, v := range d {
		dst = binary.AppendUvarint(dst, v.Revision)
		dst = binary.AppendUvarint(dst, uint64(v.Size))
		dst = binary.BigEndian.AppendUint64(dst, v.Sum)
	}
	return dst
}

// DecodeDigest decodes a digest. It returns false if b is not a valid encoding.
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
