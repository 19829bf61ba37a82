package tags

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// simExcuseTime is how long after a fault of a target, or of the path to it, resets do not count as violations.
const simExcuseTime = 4 * time.Second

// simRule identifies a rule that protects open flows whose targets live. Each constant names the event that violates
// it.
type simRule uint8

const (
	// simMisrouted is a packet that a daemon sends to another target than the flow's own.
	simMisrouted simRule = iota
	// simDuplicateMisrouted is a duplicate SYN that a daemon sends to another target after the flow has opened.
	simDuplicateMisrouted
	// simDaemonReset is a reset by a daemon because of evidence against the flow's target.
	simDaemonReset
	// simRecordReset is a reset by a daemon because of evidence against another target, which its outdated record
	// names.
	simRecordReset
	// simDuplicateRefused is a reset by a daemon that refuses a duplicate SYN after the flow has opened.
	simDuplicateRefused
	// simStrayReset is a reset of an open flow by a daemon with a sequence number out of the caller's window. No fault excuses
	// it.
	simStrayReset
	// simTargetReset is a reset by another target than the flow's own.
	simTargetReset
	// simOfferedTwice is a SYN that a daemon sends to another target than an earlier SYN of the flow, whether the flow opens
	// or not.
	simOfferedTwice

	simRules = int(simOfferedTwice) + 1
)

// simViolation is a violation of a rule.
type simViolation struct {
	rule simRule
	at   time.Duration
	flow *simFlow
	what string
}

// simNote is one line of a flow's trace.
type simNote struct {
	at       time.Duration
	what     string
	meta     packet.Meta
	tag      uint32
	noPacket bool
}

const maxSimNotes = 60

func (f *simFlow) note(what string, m *packet.Meta, tag uint32) {
	n := simNote{at: f.w.at, what: what, tag: tag, noPacket: m == nil}
	if m != nil {
		n.meta = *m
	}
	if len(f.notes) == maxSimNotes {
		f.notes = append(f.notes[:0], f.notes[1:]...)
	}
	f.notes = append(f.notes, n)
}

func (n simNote) String() string {
	if n.noPacket {
		return fmt.Sprintf("%v %s", n.at, n.what)
	}
	return fmt.Sprintf("%v %s: flags %02x seq %d ack %d len %d tag %08x", n.at, n.what, n.meta.Flags, n.meta.Seq, n.meta.Ack, n.meta.PayloadLen, n.tag)
}

// recordOpen records that the flow's target has received the end of the handshake.
func (w *sim) recordOpen(c *simConn, f *simFlow) {
	if f.open || f.done || f.chosen != c.t || f.instance != c.instance {
		return
	}
	f.open = true
	w.counts.opened++
	f.note("flow is open at target "+c.t.name, nil, 0)
}

// isLive reports whether the flow is open and its target lives.
func (f *simFlow) isLive() bool {
	return f.open && !f.closed && !f.done && f.chosen.up && f.chosen.instance == f.instance
}

// excused reports whether a fault of the flow's target, or between it and the caller, is present or ended less than
// simExcuseTime ago.
func (f *simFlow) excused() bool {
	w, t := f.w, f.chosen
	isRecent := func(at time.Duration) bool { return at > 0 && w.at-at < simExcuseTime }
	return t.unreachable || isRecent(t.faultEndedAt) || f.zone != t.zone && (w.cut.active || isRecent(w.cut.endedAt))
}

func (w *sim) violated(rule simRule, f *simFlow, what string) {
	f.note("VIOLATION: "+what, nil, 0)
	w.violations = append(w.violations, simViolation{rule: rule, at: w.at, flow: f, what: what})
}

// checkForward checks the target that a daemon sends a packet to.
func (w *sim) checkForward(d *simDaemon, p *simPacket, t *simTarget) {
	f := p.flow
	if p.meta.Flags.Has(packet.SYN) {
		w.checkOffer(d, f, t)
	}
	if !f.isLive() || t == f.chosen {
		return
	}
	rule := simMisrouted
	if p.meta.Flags.Has(packet.SYN) {
		rule = simDuplicateMisrouted
	}
	w.violated(rule, f, fmt.Sprintf("daemon %s sends a packet of target %s to target %s", d.name, f.chosen.name, t.name))
}

// checkOffer checks the target that a daemon sends a flow's SYN to.
func (w *sim) checkOffer(d *simDaemon, f *simFlow, t *simTarget) {
	switch {
	case f.offeredTo == nil:
		f.offeredTo = t
		w.counts.offered++
	case f.offeredTo != t:
		w.violated(simOfferedTwice, f, fmt.Sprintf("daemon %s offers a flow of target %s to target %s", d.name, f.offeredTo.name, t.name))
	}
}

// checkReset checks a reset that a caller received. A reset by the flow's own target is no violation.
func (w *sim) checkReset(f *simFlow, a *simAnswer, stray bool) {
	if stray && f.open && !f.closed {
		w.violated(simStrayReset, f, "the caller of an open flow gets a reset out of its window from "+a.sender())
	}
	own := f.chosen != nil && a.from == f.chosen && a.instance == f.instance
	if own || !f.isLive() || f.excused() {
		return
	}
	rule := simDaemonReset
	switch {
	case a.from != nil:
		rule = simTargetReset
	case a.onBehalfOf == nil:
		rule = simDuplicateRefused
	case a.onBehalfOf != f.chosen:
		rule = simRecordReset
	}
	w.violated(rule, f, "the caller is reset by "+a.sender()+" while its target "+f.chosen.name+" lives")
}

// first returns the first violation of any of the rules, or nil.
func (w *sim) first(rules ...simRule) *simViolation {
	for i := range w.violations {
		for _, r := range rules {
			if w.violations[i].rule == r {
				return &w.violations[i]
			}
		}
	}
	return nil
}

// trace describes a violation with the site's faults and the flow's events.
func (w *sim) trace(v *simViolation) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v: %s\nfaults:\n", v.at, v.what)
	for _, f := range w.cfg.faults {
		fmt.Fprintf(&out, "  %v\n", f)
	}
	fmt.Fprintf(&out, "flow %v to %v, isn %d:\n", v.flow.src, v.flow.dst, v.flow.isn)
	for _, n := range v.flow.notes {
		fmt.Fprintf(&out, "  %v\n", n)
	}
	return out.String()
}
