package news

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A published text may be hundreds of kilobytes long while each change affects only a few lines. A delta is a list of
// operations that build the new text from the previous one. Each operation copies a run of pieces from the old text
// or inserts new bytes. The delta ends with a checksum of the new text and is compressed as a whole.

const (
	// pieceDelimiter is the last byte of each piece of a text: the end of an object in JSON and in YAML flow style.
	pieceDelimiter = '}'
	// maxTextBytes is the maximum size of an unpacked text. It is above the platform's largest value.
	maxTextBytes = 8 << 20
	// checksumBytes is the length of the checksum at the end of a delta.
	checksumBytes = 8
)

// errDelta is returned for a delta that is malformed or was made for another text, and for a text above maxTextBytes.
var errDelta = errors.New("delta is malformed or does not apply to the current text")

// pieces splits a text after each pieceDelimiter byte.
func pieces(text []byte) [][]byte {
	var out [][]byte
	for len(text) > 0 {
		n := bytes.IndexByte(text, pieceDelimiter) + 1
		if n == 0 {
			n = len(text)
		}
		out = append(out, text[:n])
		text = text[n:]
	}
	return out
}

// diff returns the compressed delta that turns the text from into the text to.
func diff(from, to []byte) []byte {
	old, updated := pieces(from), pieces(to)
	indexByHash := make(map[uint64]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		indexByHash[xxhash.Sum64(old[i])] = i
	}
	var out []byte
	for i := 0; i < len(updated); {
		at, found := indexByHash[xxhash.Sum64(updated[i])]
		run := 0
		for found && i+run < len(updated) && at+run < len(old) && bytes.Equal(old[at+run], updated[i+run]) {
			run++
		}
		if run > 0 {
			out = appendCopy(out, at, run)
			i += run
			continue
		}
		out = appendInsert(out, updated[i])
		i++
	}
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(to))
	return pack(out)
}

// appendCopy appends the operation that copies run pieces of the old text, starting at the piece with index at:
// the two numbers as varints.
func appendCopy(out []byte, at, run int) []byte {
	out = binary.AppendUvarint(out, uint64(run))
	return binary.AppendUvarint(out, uint64(at))
}

// appendInsert appends the operation that inserts new bytes: a zero, the length and the bytes.
func appendInsert(out, text []byte) []byte {
	out = binary.AppendUvarint(out, 0)
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// patch returns the new text that a compressed delta builds from the text from. It returns an error that wraps
// errDelta when the delta was made for another text.
func patch(from, delta []byte) ([]byte, error) {
	operations, err := unpack(delta)
	if err != nil {
		return nil, err
	}
	if len(operations) < checksumBytes {
		return nil, errDelta
	}
	checksum := binary.BigEndian.Uint64(operations[len(operations)-checksumBytes:])
	operations = operations[:len(operations)-checksumBytes]
	old := pieces(from)
	var text []byte
	for len(operations) > 0 {
		if text, operations, err = applyOperation(text, operations, old); err != nil {
			return nil, err
		}
	}
	if xxhash.Sum64(text) != checksum {
		return nil, errDelta
	}
	return text, nil
}

// applyOperation applies the first of the operations. It returns the extended text and the remaining operations.
func applyOperation(text, operations []byte, old [][]byte) (extended, rest []byte, err error) {
	run, n := binary.Uvarint(operations)
	if n <= 0 {
		return nil, nil, errDelta
	}
	arg, m := binary.Uvarint(operations[n:])
	if m <= 0 {
		return nil, nil, errDelta
	}
	operations = operations[n+m:]
	if run == 0 {
		if arg > uint64(len(operations)) {
			return nil, nil, errDelta
		}
		return append(text, operations[:arg]...), operations[arg:], nil
	}
	count := uint64(len(old))
	if arg > count || run > count-arg {
		return nil, nil, errDelta
	}
	for _, p := range old[arg : arg+run] {
		text = append(text, p...)
	}
	if len(text) > maxTextBytes {
		return nil, nil, errDelta
	}
	return text, operations, nil
}

// compressors pools compressors, each of which uses about 1 MB of memory.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // cannot happen: BestSpeed is a valid level
	}
	return w
}}

// pack returns the DEFLATE-compressed text.
func pack(text []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(text) // writing to a bytes.Buffer cannot fail
	_ = w.Close()
	return out.Bytes()
}

// unpack reverses pack. It returns an error for invalid data and for a text above maxTextBytes.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack %d compressed bytes: %w", len(packed), err)
	}
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("unpack %d compressed bytes: %w", len(packed), errDelta)
	}
	return text, nil
}
