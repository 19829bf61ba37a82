package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"

	"github.com/fireflypin/fireflypin/internal/history"
)

// maxHeaderBytes bounds the length of a header line.
const maxHeaderBytes = 4096

// FrameType is the type of a frame.
type FrameType string

// The types of frames. Callers send requests and cancellations, targets the other types.
const (
	FrameRequest FrameType = "request"
	FrameCancel  FrameType = "cancel"
	FrameAnswer  FrameType = "answer"
	// FrameNotRun reports that the attempt did not run and never will.
	FrameNotRun FrameType = "not_run"
	// FrameCancelled reports that the attempt had started and was stopped.
	FrameCancelled FrameType = "cancelled"
)

// Header is the JSON line that starts a frame. A body of Bytes bytes follows it.
type Header struct {
	Type    FrameType `json:"type"`
	ID      uint64    `json:"id"`
	Attempt uint32    `json:"attempt"`
	// Operation is the requested operation; set in requests.
	Operation string `json:"operation,omitempty"`
	// DeadlineMS is the time until the caller cancels the request, in milliseconds; set in requests.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Idempotent is true if the request may run more than once; set in requests.
	Idempotent bool `json:"idempotent,omitempty"`
	// AnswerBytes is the requested length of the response body; set in requests.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Bytes is the length of the body that follows.
	Bytes int `json:"bytes,omitempty"`
	// CRC32C is the checksum of the body; set in responses.
	CRC32C uint32 `json:"crc32c,omitempty"`
	// Target is the name of the target; set in all frames from targets.
	Target string `json:"target,omitempty"`
	// Reason is the reason why an attempt did not run; set in refusals.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds; set in refusals.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// attemptID returns the attempt that the frame refers to.
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
		panic(fmt.Sprintf("encode frame header: %v", err))
	}
	dst = append(dst, line...)
	dst = append(dst, '\n')
	return append(dst, body...)
}

// NextFrame splits the first frame off in. It returns ok false if the frame is still incomplete, and an
// error if in does not start with a valid frame.
func NextFrame(in []byte) (h Header, body, rest []byte, ok bool, err error) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		if len(in) > maxHeaderBytes {
			return Header{}, nil, in, false, fmt.Errorf("read frame: no header within %d bytes", maxHeaderBytes)
		}
		return Header{}, nil, in, false, nil
	}
	if err := json.Unmarshal(in[:end], &h); err != nil {
		return Header{}, nil, in, false, fmt.Errorf("decode frame header: %w", err)
	}
	if h.Bytes < 0 {
		return Header{}, nil, in, false, fmt.Errorf("decode frame header: negative body length %d", h.Bytes)
	}
	after := in[end+1:]
	if len(after) < h.Bytes {
		return Header{}, nil, in, false, nil
	}
	return h, after[:h.Bytes], after[h.Bytes:], true, nil
}
