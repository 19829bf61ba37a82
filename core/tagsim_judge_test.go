package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflypin/fireflypin/packet"
)

// simWindow is how long after a fault of a target, or of what lies between it and its callers, resets do not count.
const simWindow = 4 * time.Second

// simRule is a part of the promise to open flows whose targets live.
type simRule uint8

const (
	// simAstray is a packet that a daemon sends to another target.
	simAstray simRule = iota
	// simCopyAstray is a copy of the SYN that a daemon sends to another target when the flow is open.
	simCopyAstray
	// simDaemonReset is a reset of a daemon, on what it holds against the flow's target.
	simDaemonReset
	// simRecordReset is one on what it holds against another target, which its record names.
	simRecordReset
	// simCopyRefused is one that answers a copy of the SYN when the flow is open.
	simCopyRefused
	// simStrayReset is one with the numbers of an earlier flow. Its caller may know it for that and go on.
	simStrayReset
	// simTargetReset is a reset of another target.
	simTargetReset

	simRules = int(simTargetReset) + 1
)

// simBreach is a broken promise.
type simBreach struct {
	rule simRule
	at   time.Duration
	flow *simFlow
	what string
}

// simNote is a line of what happened to a flow.
type simNote struct {
	at   time.Duration
	what string
	meta packet.Meta
	tag  uint32
	bare bool
}

const simNotesMost = 60

func (f *simFlow) note(what string, m *packet.Meta, tag uint32) {
	n := simNote{at: f.w.at, what: what, tag: tag, bare: m == nil}
	if m != nil {
		n.meta = *m
	}
	if len(f.notes) == simNotesMost {
		f.notes = append(f.notes[:0], f.notes[1:]...)
	}
	f.notes = append(f.notes, n)
}

func (n simNote) String() string {
	if n.bare {
		return fmt.Sprintf("%v %s", n.at, n.what)
	}
	return fmt.Sprintf("%v %s: flags %02x seq %d ack %d len %d tag %08x", n.at, n.what, n.meta.Flags, n.meta.Seq, n.meta.Ack, n.meta.PayloadLen, n.tag)
}

// opens notes that a flow's target has the end of the handshake.
func (w *sim) opens(c *simConn, f *simFlow) {
	if f.open || f.over || f.chosen != c.t || f.life != c.life {
		return
	}
	f.open = true
	w.counts.opened++
	f.note("flow is open at target "+c.t.name, nil, 0)
}

// lives reports whether a flow is open and its target lives.
func (f *simFlow) lives() bool {
	return f.open && !f.closed && !f.over && f.chosen.up && f.chosen.life == f.life
}

// excused reports whether a fault of the flow's target, or between it and its caller, is on or was a moment ago.
func (f *simFlow) excused() bool {
	w, t := f.w, f.chosen
	lately := func(at time.Duration) bool { return at > 0 && w.at-at < simWindow }
	return t.dark || lately(t.unsound) || f.zone != t.zone && (w.cut.on || lately(w.cut.over))
}

func (w *sim) breach(rule simRule, f *simFlow, what string) {
	f.note("BREACH: "+what, nil, 0)
	w.breaches = append(w.breaches, simBreach{rule: rule, at: w.at, flow: f, what: what})
}

// judgeForward checks where a daemon sends a packet.
func (w *sim) judgeForward(d *simDaemon, p *simPacket, t *simTarget) {
	f := p.flow
	if !f.lives() || t == f.chosen {
		return
	}
	rule := simAstray
	if p.meta.Flags.Has(packet.SYN) {
		rule = simCopyAstray
	}
	w.breach(rule, f, fmt.Sprintf("daemon %s sends a packet of target %s to target %s", d.name, f.chosen.name, t.name))
}

// judgeReset checks a reset that a caller got. Those of a flow's own target are its own affair.
func (w *sim) judgeReset(f *simFlow, a *simAnswer, stray bool) {
	own := f.chosen != nil && a.from == f.chosen && a.life == f.life
	if own || !f.lives() || f.excused() {
		return
	}
	rule := simDaemonReset
	switch {
	case a.from != nil:
		rule = simTargetReset
	case a.about == nil:
		rule = simCopyRefused
	case stray:
		rule = simStrayReset
	case a.about != f.chosen:
		rule = simRecordReset
	}
	w.breach(rule, f, "the caller is reset by "+a.sender()+" while its target "+f.chosen.name+" lives")
}

// first returns the first breach of some rules, or nil.
func (w *sim) first(rules ...simRule) *simBreach {
	for i := range w.breaches {
		for _, r := range rules {
			if w.breaches[i].rule == r {
				return &w.breaches[i]
			}
		}
	}
	return nil
}

// trace tells what led to a breach.
func (w *sim) trace(b *simBreach) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v: %s\nfaults:\n", b.at, b.what)
	for _, f := range w.cfg.faults {
		fmt.Fprintf(&out, "  %v\n", f)
	}
	fmt.Fprintf(&out, "flow %v to %v, isn %d:\n", b.flow.src, b.flow.dst, b.flow.isn)
	for _, n := range b.flow.notes {
		fmt.Fprintf(&out, "  %v\n", n)
	}
	return out.String()
}
