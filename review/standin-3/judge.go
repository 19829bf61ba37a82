//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// misrouteTime, stabilityWindow, maxFlowAge and idleTimeout are the bounds of the rule FLOW: misroute_ms,
	// stability_window_ms, max_flow_s and idle_timeout_ms.
	misrouteTime    = 2 * time.Second
	misroutePackets = 3
	stabilityWindow = 4 * time.Second
	maxFlowAge      = 60 * time.Second
	idleTimeout     = 15 * time.Second
)

// judge checks the rule FLOW by what clients and targets see. Its methods need the world's lock.
type judge struct {
	w      *world
	file   *os.File
	flows  map[ends]*judgedFlow
	counts struct {
		flows, requests, answered, unopened, unanswered, offeredTwice, resets, excused, broken int
	}
}

// judgedFlow is what the judge knows of a flow.
type judgedFlow struct {
	// offered are the targets that got a SYN of it.
	offered map[*target]bool
	// at is the target at which it is open.
	at             *target
	openedAt, last time.Time
	// astray is the number of its packets that reached other targets since the last one that reached its own.
	astray      int
	astraySince time.Time
	judged      bool
	// lines are what was sent and answered until it is followed, which is once it was offered to a second target.
	lines    []string
	followed bool
}

// maxLines bounds the lines that are kept of a flow.
const maxLines = 16

func (j *judge) note(now time.Time, format string, args ...any) {
	fmt.Fprintf(j.file, "%8.3f s  %s\n", now.Sub(j.w.began).Seconds(), fmt.Sprintf(format, args...))
}

// trace records what was sent or answered on a flow. It is written once two targets have got its SYN.
func (j *judge) trace(now time.Time, k ends, format string, args ...any) {
	f := j.flow(k)
	line := fmt.Sprintf("%8.4f s    flow %v: %s\n", now.Sub(j.w.began).Seconds(), k.client, fmt.Sprintf(format, args...))
	switch {
	case f.followed:
		_, _ = j.file.WriteString(line)
	case len(f.lines) < maxLines:
		f.lines = append(f.lines, line)
	}
}

// follow writes what was recorded of a flow, and from now on what is sent and answered on it.
func (j *judge) follow(f *judgedFlow) {
	for _, line := range f.lines {
		_, _ = j.file.WriteString(line)
	}
	f.lines, f.followed = nil, true
}

func (j *judge) flow(k ends) *judgedFlow {
	f := j.flows[k]
	if f == nil {
		f = &judgedFlow{offered: make(map[*target]bool)}
		j.flows[k] = f
	}
	return f
}

// arrived records a packet that a target got.
func (j *judge) arrived(now time.Time, k ends, t *target, s *segment) {
	f := j.flow(k)
	if s.has(flagSYN) && !f.offered[t] {
		f.offered[t] = true
		if len(f.offered) == 2 {
			j.counts.offeredTwice++
			j.note(now, "flow %v is offered to a second target, %s, by copy %d of its SYN:", k.client, t.id, s.ack)
			j.follow(f)
		}
	}
	switch {
	case f.at == nil || s.has(flagSYN):
	case f.at == t:
		f.astray, f.last = 0, now
	default:
		if f.astray == 0 {
			f.astraySince = now
		}
		f.astray++
		if f.astray >= misroutePackets && now.Sub(f.astraySince) >= misrouteTime {
			j.report(now, k, f, fmt.Sprintf("(b) %d packets in %v reached other targets, the last one %s, and none its own, %s",
				f.astray, now.Sub(f.astraySince).Round(time.Millisecond), t.id, f.at.id))
		}
	}
}

func (j *judge) opened(now time.Time, k ends, t *target) {
	f := j.flow(k)
	if f.at == nil {
		f.at, f.openedAt, f.last = t, now, now
	}
}

// reset records a reset that a client got. No target of a play ends a flow that is open at it.
func (j *judge) reset(now time.Time, c *clientFlow, s *segment) {
	j.counts.resets++
	f := j.flow(c.k)
	if f.at != nil {
		j.report(now, c.k, f, fmt.Sprintf("(a) its client gets a reset, number %d, that its target %s did not send", s.seq, f.at.id))
	}
}

// report counts a broken rule, unless an impairment on the links excuses it.
func (j *judge) report(now time.Time, k ends, f *judgedFlow, what string) {
	switch {
	case f.judged:
	case now.Sub(f.openedAt) > maxFlowAge || now.Sub(f.last) > idleTimeout:
	case j.w.excused(now):
		j.counts.excused++
		j.note(now, "not counted, an impairment in the last %v: open flow %v: %s", stabilityWindow, k.client, what)
	default:
		j.counts.broken++
		j.note(now, "FLOW broken: flow %v, open at %s for %v: %s", k.client, f.at.id, now.Sub(f.openedAt).Round(time.Millisecond), what)
	}
	f.judged = true
}
