package health

// Reason says why a target is in its present state.
type Reason uint8

// The reasons. ReasonNone means that nothing is known against the target.
const (
	ReasonNone Reason = iota
	// ReasonProbesFail means that most probers consider the target down.
	ReasonProbesFail
	// ReasonUnresponsive means that too many connection attempts in a row got no response, among them this daemon's
	// latest ones.
	ReasonUnresponsive
	// ReasonPeersUnresponsive means that connection attempts of two or more other daemons got no response,
	// and this daemon has no missed response of its own.
	ReasonPeersUnresponsive
	// ReasonOnlyProbesFail means that probes fail, but this daemon's connection attempts get responses.
	ReasonOnlyProbesFail
	// ReasonEjectionLimit means that the target would be ejected, but too many targets of its service already are.
	ReasonEjectionLimit
	// ReasonReportTooLow means that the load report shows fewer connections than this daemon's open
	// flows imply.
	ReasonReportTooLow
	// ReasonReportTooHigh means that the load report says that the target is full, although the fleet
	// has few flows there.
	ReasonReportTooHigh
	// ReasonDraining means that the target's stop is announced; it is draining.
	ReasonDraining

	reasonCount
)

var reasonTexts = [reasonCount]string{
	ReasonNone:              "ok",
	ReasonProbesFail:        "probes fail",
	ReasonUnresponsive:      "leaves connection attempts unanswered",
	ReasonPeersUnresponsive: "leaves connection attempts of other daemons unanswered",
	ReasonOnlyProbesFail:    "probes fail but connection attempts are answered",
	ReasonEjectionLimit:     "kept in use: too many targets of the service are put aside",
	ReasonReportTooLow:      "load report is lower than the open flows",
	ReasonReportTooHigh:     "load report says full with few open flows",
	ReasonDraining:          "leaving",
}

// String returns the reason in the words that operators see.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonTexts[r]
}
