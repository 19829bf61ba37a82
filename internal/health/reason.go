package health

// Reason says why a target is in its state.
type Reason uint8

// The reasons. ReasonNone belongs to a target that nothing speaks against.
const (
	ReasonNone Reason = iota
	// ReasonProbesFail means that most probers hold the target to be down.
	ReasonProbesFail
	// ReasonSilent means that own connection attempts in a row got no answer.
	ReasonSilent
	// ReasonPeersSilent means that only connection attempts of other daemons, two or more, got no answer.
	ReasonPeersSilent
	// ReasonAnswersAnyway means that probes fail but own connection attempts are answered.
	ReasonAnswersAnyway
	// ReasonPanic means that the target would be put aside, but too many of its service are already.
	ReasonPanic
	// ReasonReportTooLow means that the load report names fewer connections than this daemon has open.
	ReasonReportTooLow
	// ReasonReportTooHigh means that the load report says full while the fleet has few flows there.
	ReasonReportTooHigh
	// ReasonLeaving means that the target's stop is announced.
	ReasonLeaving

	reasonCount
)

var reasonTexts = [reasonCount]string{
	ReasonNone:          "ok",
	ReasonProbesFail:    "probes fail",
	ReasonSilent:        "leaves connection attempts unanswered",
	ReasonPeersSilent:   "leaves connection attempts of other daemons unanswered",
	ReasonAnswersAnyway: "probes fail but connection attempts are answered",
	ReasonPanic:         "kept in use: too many targets of the service are put aside",
	ReasonReportTooLow:  "load report is lower than the open flows",
	ReasonReportTooHigh: "load report says full with few open flows",
	ReasonLeaving:       "leaving",
}

// String returns the reason as operators read it.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonTexts[r]
}
