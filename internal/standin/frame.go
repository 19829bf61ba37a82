package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/fireflypin/fireflypin/internal/history"
)

// maxHeaderBytes bounds one header line.
const maxHeaderBytes = 4096

// FrameType names what a frame is.
type FrameType string

// The types of frames. A caller sends requests and cancellations, a target the rest.
const (
	FrameRequest FrameType = "request"
	FrameCancel  FrameType = "cancel"
	FrameAnswer  FrameType = "answer"
	// FrameNotRun tells that the attempt did not run and never will.
	FrameNotRun FrameType = "not_run"
	// FrameCancelled tells that the attempt had begun and was stopped.
	FrameCancelled FrameType = "cancelled"
)

// Header is the JSON line that starts a frame. Bytes of body follow it.
type Header struct {
	Type    FrameType `json:"type"`
	ID      uint64    `json:"id"`
	Attempt uint32    `json:"attempt"`
	// Operation names what the caller wants; set in requests.
	Operation string `json:"operation,omitempty"`
	// DeadlineMS is the time left until the caller gives up, in milliseconds; set in requests.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent is true where running the request again does no harm; set in requests.
	Idempotent bool `json:"idempotent,omitempty"`
	// AnswerBytes is the length of the answer's body that the request asks for; set in requests.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Bytes is the length of the body that follows.
	Bytes int `json:"bytes,omitempty"`
	// CRC32C is the checksum of the body; set in answers.
	CRC32C uint32 `json:"crc32c,omitempty"`
	// Target names who answers; set in answers and refusals.
	Target string `json:"target,omitempty"`
	// Reason says why an attempt did not run; set in refusals.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds; set in refusals.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// attemptID returns the attempt that the frame is about.
func (h Header) attemptID() history.AttemptID {
	return history.AttemptID{Request: h.ID, Attempt: h.Attempt}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of a body.
func checksum(body []byte) uint32 {
	return crc32.Checksum(body, castagnoli)
}

// AppendFrame appends a frame to dst. The header's Bytes is set to the length of the body.
func AppendFrame(dst []byte, h Header, body []byte) []byte {
	h.Bytes = len(body)
	line, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("encode a frame header of plain fields: %v", err))
	}
	dst = append(dst, line...)
	dst = append(dst, '\n')
	return append(dst, body...)
}

// NextFrame takes the first frame off in. It returns ok false while the frame is not there whole, and
// an error where in holds no frame.
func NextFrame(in []byte) (h Header, body, rest []byte, ok bool, err error) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		if len(in) > maxHeaderBytes {
			return Header{}, nil, in, false, fmt.Errorf("read a frame: no header within %d bytes", maxHeaderBytes)
		}
		return Header{}, nil, in, false, nil
	}
	if err := json.Unmarshal(in[:end], &h); err != nil {
		return Header{}, nil, in, false, fmt.Errorf("read a frame header: %w", err)
	}
	if h.Bytes < 0 {
		return Header{}, nil, in, false, fmt.Errorf("read a frame header: %d bytes", h.Bytes)
	}
	after := in[end+1:]
	if len(after) < h.Bytes {
		return Header{}, nil, in, false, nil
	}
	return h, after[:h.Bytes], after[h.Bytes:], true, nil
}
