package wire

import (
	"encoding/binary"
	"math"

	"github.com/fireflypin/fireflypin/errkind"
)

// decoder reads the fields of a message in sequence. After the first missing or malformed field, failed
// stays true and all further reads return zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) bytes(n uint64) []byte {
	if d.failed || n > uint64(len(d.rest)) {
		d.failed = true
		return nil
	}
	b := d.rest[:n:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) byte() byte {
	if b := d.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) uint64() uint64 {
	if b := d.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) uvarint32() uint32 {
	v := d.uvarint()
	if v > math.MaxUint32 {
		d.failed = true
		return 0
	}
	return uint32(v)
}

// count reads the number of elements that follow. Each element takes at least size bytes, so a number that
// cannot fit into the rest of the message is malformed.
func (d *decoder) count(size int) int {
	n := d.uvarint()
	if n > uint64(len(d.rest)/size) {
		d.failed = true
		return 0
	}
	return int(n)
}

func (d *decoder) kind() errkind.Kind {
	if d.failed {
		return errkind.PeerMalformed
	}
	return errkind.None
}

// finish returns the result of decoding a message that must have no bytes after its last field.
func (d *decoder) finish() errkind.Kind {
	if len(d.rest) > 0 {
		d.failed = true
	}
	return d.kind()
}
