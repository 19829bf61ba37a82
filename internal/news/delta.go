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

// A published text that grows to hundreds of kilobytes changes by a few lines at a time. A delta is a list of
// steps that build the new text from the one before: each takes a run of the old text's pieces, or brings new
// bytes. It ends with a sum of the new text, and is packed as a whole.

const (
	// pieceEnd ends a piece of a text: objects of JSON and YAML flow style end with it.
	pieceEnd = '}'
	// maxTextBytes bounds what is unpacked: the platform's largest value with room to spare.
	maxTextBytes = 8 << 20
	// sumBytes is the length of the sum at the end of a delta.
	sumBytes = 8
)

// errDelta is returned for a delta that does not fit the old text.
var errDelta = errors.New("the delta does not fit the text that is held")

// pieces splits a text after each pieceEnd.
func pieces(text []byte) [][]byte {
	var out [][]byte
	for len(text) > 0 {
		n := bytes.IndexByte(text, pieceEnd) + 1
		if n == 0 {
			n = len(text)
		}
		out = append(out, text[:n])
		text = text[n:]
	}
	return out
}

// diff returns the packed delta from an old text to a new one.
func diff(from, to []byte) []byte {
	old, fresh := pieces(from), pieces(to)
	where := make(map[uint64]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		where[xxhash.Sum64(old[i])] = i
	}
	var out []byte
	for i := 0; i < len(fresh); {
		at, found := where[xxhash.Sum64(fresh[i])]
		run := 0
		for found && i+run < len(fresh) && at+run < len(old) && bytes.Equal(old[at+run], fresh[i+run]) {
			run++
		}
		if run > 0 {
			out = appendTake(out, at, run)
			i += run
			continue
		}
		out = appendBring(out, fresh[i])
		i++
	}
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(to))
	return pack(out)
}

// appendTake appends the step that takes a run of pieces.
func appendTake(out []byte, at, run int) []byte {
	out = binary.AppendUvarint(out, uint64(run))
	return binary.AppendUvarint(out, uint64(at))
}

// appendBring appends the step that brings new bytes.
func appendBring(out, text []byte) []byte {
	out = binary.AppendUvarint(out, 0)
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// patch returns the new text that a packed delta builds from an old one.
func patch(from, delta []byte) ([]byte, error) {
	steps, err := unpack(delta)
	if err != nil {
		return nil, err
	}
	if len(steps) < sumBytes {
		return nil, errDelta
	}
	sum := binary.BigEndian.Uint64(steps[len(steps)-sumBytes:])
	steps = steps[:len(steps)-sumBytes]
	old := pieces(from)
	var text []byte
	for len(steps) > 0 {
		if text, steps, err = step(text, steps, old); err != nil {
			return nil, err
		}
	}
	if xxhash.Sum64(text) != sum {
		return nil, errDelta
	}
	return text, nil
}

// step carries out the first of the steps.
func step(text, steps []byte, old [][]byte) (longer, rest []byte, err error) {
	run, n := binary.Uvarint(steps)
	if n <= 0 {
		return nil, nil, errDelta
	}
	arg, m := binary.Uvarint(steps[n:])
	if m <= 0 {
		return nil, nil, errDelta
	}
	steps = steps[n+m:]
	if run == 0 {
		if arg > uint64(len(steps)) {
			return nil, nil, errDelta
		}
		return append(text, steps[:arg]...), steps[arg:], nil
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
	return text, steps, nil
}

// writers keeps compressors, each of which holds about a megabyte.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that the library knows
	}
	return w
}}

// pack compresses a text.
func pack(text []byte) []byte {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(text) // a bytes.Buffer takes everything
	_ = w.Close()
	return out.Bytes()
}

// unpack undoes pack.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack a text of %d bytes: %w", len(packed), err)
	}
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("unpack a text of %d bytes: %w", len(packed), errDelta)
	}
	return text, nil
}
