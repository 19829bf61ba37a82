package errkind

import "time"

// Kind names the reason why a packet, flow, message or document was rejected, or why a flow was ended.
type Kind uint8

// The kinds. None is the zero value: no error.
const (
	None Kind = iota

	// Packets that are dropped without an answer, since their caller cannot be determined.
	PacketTruncated
	PacketMalformed
	PacketFragment
	PacketOversize
	PacketNotTCP
	PacketLooping
	PacketFromUnknownTarget
	PacketOutdated

	// New flows that are refused: no target has received a packet of the flow. The caller is notified, except for
	// NotReady, where its retransmission reaches another daemon.
	NoSuchService
	UnknownCustomer
	PlanForbids
	CustomerRateLimit
	CustomerOpenLimit
	ServiceFull
	NoTargetReachable
	ZoneDraining
	TargetsWarming
	NotReady

	// Open flows and connection attempts that are ended.
	AttemptTimedOut
	TargetLost
	PermissionRevoked
	ConnectionUnresponsive

	// Messages between daemons that are dropped.
	PeerForged
	PeerReplayed
	PeerUnknown
	PeerMalformed

	// Published lists that are not applied.
	DocumentInvalid
	DocumentStale
	PlatformUnavailable

	// Entries of targets that name no target to use.
	EntryUnreadable
	EntryFieldMissing
	EntryFieldMistyped
	EntryOutOfRange
	EntryUnknownState

	// ServiceShort is a new flow that is refused before a target has received a packet of it, since the targets of its
	// service cannot serve all requests.
	ServiceShort

	kindCount
)

// Answer is how the daemon answers the caller for a kind.
type Answer uint8

// The answers.
const (
	// AnswerNone drops the packet and counts it.
	AnswerNone Answer = iota
	// AnswerReset sends a TCP RST that carries the reason as text.
	AnswerReset
)

// Row is the table's row for one kind.
type Row struct {
	Kind Kind
	// Name is the kind's name in metrics, logs and the text of a RST.
	Name   string
	Answer Answer
	// NotRun is true if no target can have received any packet of the flow, so that the caller may
	// safely retry.
	NotRun bool
	// RetryAfter is the time after which the caller should retry, before jitter; 0 means that a retry is
	// useless until the lists change.
	RetryAfter time.Duration
	// Meaning is a sentence that explains the kind to operators.
	Meaning string
}
