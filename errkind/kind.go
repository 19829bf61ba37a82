package errkind

import "time"

// Kind names why a packet, flow, message or document was not taken.
type Kind uint8

// The kinds. None is the zero value: no error.
const (
	None Kind = iota

	// Packets that are dropped without an answer, since no caller can be told from them.
	PacketTruncated
	PacketMalformed
	PacketFragment
	PacketOversize
	PacketNotTCP
	PacketLooping
	PacketFromUnknownTarget
	PacketOutdated

	// New flows that are refused: the caller is told, and no target has seen the flow.
	NoSuchService
	UnknownCustomer
	PlanForbids
	CustomerRateLimit
	CustomerOpenLimit
	ServiceFull
	NoTargetReachable
	NotReady

	// Flows that are ended.
	AttemptTimedOut
	TargetLost
	PermissionRevoked
	ConnectionSilent

	// Messages between daemons that are dropped.
	PeerForged
	PeerReplayed
	PeerUnknown
	PeerMalformed

	// Lists that are not taken.
	DocumentInvalid
	DocumentStale
	PlatformUnavailable

	kindCount
)

// Answer says what a kind makes the daemon do towards the caller.
type Answer uint8

// The answers.
const (
	// AnswerNone drops the packet and counts it.
	AnswerNone Answer = iota
	// AnswerReset sends a TCP RST that carries the reason as text.
	AnswerReset
)

// Row is one line of the table from kind to answer.
type Row struct {
	Kind Kind
	// Name is the kind's name in metrics, logs and RST texts.
	Name   string
	Answer Answer
	// NotRun is true where no target can have seen any packet of the flow, so that the caller may
	// safely ask again.
	NotRun bool
	// RetryAfter is when a caller should come back, before jitter; 0 means that asking again is useless
	// until the lists change.
	RetryAfter time.Duration
	// Meaning is a sentence for the operator's page.
	Meaning string
}
