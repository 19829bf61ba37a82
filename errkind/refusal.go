package errkind

import (
	"encoding/json"
	"time"
)

// Refusal is what a TCP RST tells a caller in its text.
type Refusal struct {
	// Reason is the name of the error kind.
	Reason string `json:"reason"`
	// NotRun is true where no target has seen any packet of the flow.
	NotRun bool `json:"not_run"`
	// RetryAfterMS is when to come back, in milliseconds; 0 means that asking again is useless until the
	// lists change.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// RetryAfter returns when to come back.
func (r Refusal) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMS) * time.Millisecond
}

// RefusalText returns the text of a RST for a kind: one JSON object in ASCII. The caller passes the
// time to come back with its jitter already added.
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

// ParseRefusal reads the text of a RST. It returns false for a RST without a text of this form, as a
// kernel sends it.
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
