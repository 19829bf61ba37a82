package errkind

import (
	"encoding/json"
	"time"
)

// Refusal is the content of the text that a TCP RST carries to a caller.
type Refusal struct {
	// Reason is the name of the error kind.
	Reason string `json:"reason"`
	// NotRun is true if no target has received any packet of the flow.
	NotRun bool `json:"not_run"`
	// RetryAfterMS is the time after which to retry, in milliseconds; 0 means that a retry is useless
	// until the lists change.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// RetryAfter returns the time after which to retry.
func (r Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// RefusalText returns the text of a RST for a kind: one JSON object in ASCII. retryAfter must already
// include the jitter.
func RefusalText(k Kind, retryAfter time.Duration) string {
	row := RowOf(k)
	text, err := json.Marshal(Refusal{
		Reason:       row.Name,
		NotRun:       row.NotRun,
		RetryAfterMS: retryAfter.Milliseconds(),
	})
	if err != nil {
		return "{}"
	}
	return string(text)
}

// ParseRefusal parses the text of a RST. It returns false for a RST without a text of this form, such as
// one sent by a kernel.
func ParseRefusal(text []byte) (Refusal, bool) {
	var r Refusal
	if len(text) == 0 {
		return r, false
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return Refusal{}, false
	}
	return r, r.Reason != ""
}
