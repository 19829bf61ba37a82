package history

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fireflypin/fireflypin/packet"
)

// Rule is a guarantee that a history can violate.
type Rule uint8

// The rules.
const (
	// RuleDoubleRun: a request that is not idempotent is executed at most once over all its attempts.
	RuleDoubleRun Rule = iota + 1
	// RuleAttemptTwice: a single attempt of any request is executed at most once.
	RuleAttemptTwice
	// RuleWrongAnswer: a caller receives the answer to its own attempt.
	RuleWrongAnswer
	// RulePartialAnswer: an answer is complete and has a valid checksum.
	RulePartialAnswer
	// RuleRefusedAttemptRan: an attempt that was reported to its caller as "not run" is never executed.
	RuleRefusedAttemptRan
	// RuleAnswerWithoutRun: an answered attempt was executed.
	RuleAnswerWithoutRun
	// RuleSplitFlow: all bytes of a flow reach the same target.
	RuleSplitFlow
	// RuleOrder: the executions, answers and refusals of a request can be put in an order that is consistent
	// with their times and with the rules above. For example, an answer follows its execution.
	RuleOrder
)

// String returns the rule's name in reports.
func (r Rule) String() string {
	names := [...]string{"", "double_run", "attempt_twice", "wrong_answer", "part_answer", "refused_ran", "answered_unrun", "split_flow", "order"}
	return names[r]
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	ID     AttemptID
	Flow   packet.FlowKey
	Detail string
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %x attempt %d flow %v > %v: %s",
		v.Rule, v.ID.Request, v.ID.Attempt, v.Flow.Caller, v.Flow.Service, v.Detail)
}

// checker holds the indexes and results of one call of Check.
type checker struct {
	runs          map[AttemptID][]Run
	runsByRequest map[uint64][]Run
	violations    []Violation
}

// Check returns all violations in a history, sorted by rule, request and attempt.
func Check(h History) []Violation {
	c := &checker{
		runs:          make(map[AttemptID][]Run),
		runsByRequest: make(map[uint64][]Run),
	}
	for _, r := range h.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
		c.runsByRequest[r.ID.Request] = append(c.runsByRequest[r.ID.Request], r)
	}
	c.checkAttempts()
	c.checkOutcomes(h.Outcomes)
	c.checkReceipts(h.Receipts)
	c.checkOrders(h)
	slices.SortFunc(c.violations, compareViolations)
	return c.violations
}

func compareViolations(a, b Violation) int {
	return cmp.Or(
		cmp.Compare(a.Rule, b.Rule),
		cmp.Compare(a.ID.Request, b.ID.Request),
		cmp.Compare(a.ID.Attempt, b.ID.Attempt),
		a.Flow.Caller.Compare(b.Flow.Caller),
		cmp.Compare(a.Detail, b.Detail),
	)
}

func (c *checker) add(rule Rule, id AttemptID, flow packet.FlowKey, detail string) {
	c.violations = append(c.violations, Violation{Rule: rule, ID: id, Flow: flow, Detail: detail})
}

func (c *checker) checkAttempts() {
	for id, runs := range c.runs {
		if len(runs) > 1 {
			c.add(RuleAttemptTwice, id, runs[0].Flow, "ran on "+targetsOf(runs))
		}
	}
}

func (c *checker) checkOutcomes(outcomes []Outcome) {
	seen := make(map[uint64]bool)
	for _, o := range outcomes {
		c.checkOutcome(o)
		if o.Idempotent || seen[o.ID.Request] {
			continue
		}
		seen[o.ID.Request] = true
		c.checkDoubleRun(o)
	}
}

func (c *checker) checkDoubleRun(o Outcome) {
	runs := c.runsByRequest[o.ID.Request]
	if len(runs) > 1 {
		id := AttemptID{Request: o.ID.Request}
		c.add(RuleDoubleRun, id, runs[0].Flow, "ran on "+targetsOf(runs))
	}
}

func (c *checker) checkOutcome(o Outcome) {
	ran := len(c.runs[o.ID]) > 0
	switch o.AttemptResult {
	case AttemptAnswered:
		c.checkAnswer(o, ran)
	case AttemptNotRun:
		if ran {
			c.add(RuleRefusedAttemptRan, o.ID, o.Flow, "ran on "+targetsOf(c.runs[o.ID]))
		}
	}
}

func (c *checker) checkAnswer(o Outcome, ran bool) {
	if !ran {
		c.add(RuleAnswerWithoutRun, o.ID, o.Flow, "no target ran it")
	}
	if o.AnswerTo != o.ID {
		c.add(RuleWrongAnswer, o.ID, o.Flow, fmt.Sprintf("answer to %x", o.AnswerTo.Request))
	}
	if !o.Complete {
		c.add(RulePartialAnswer, o.ID, o.Flow, "length or checksum differs")
	}
}

func (c *checker) checkReceipts(receipts []Receipt) {
	first := make(map[packet.FlowKey]string)
	for _, r := range receipts {
		if r.Bytes == 0 {
			continue
		}
		target, found := first[r.Flow]
		if !found {
			first[r.Flow] = r.Target
			continue
		}
		if target != r.Target {
			c.add(RuleSplitFlow, AttemptID{}, r.Flow, "bytes reached "+target+" and "+r.Target)
		}
	}
}

// checkOrders runs the linearizability checker on every request. A request without a legal order is reported
// as a violation of RuleOrder, unless a violation of another rule already explains it.
func (c *checker) checkOrders(h History) {
	explained := make(map[uint64]bool)
	for _, v := range c.violations {
		switch v.Rule {
		case RuleDoubleRun, RuleAttemptTwice, RuleRefusedAttemptRan, RuleAnswerWithoutRun:
			explained[v.ID.Request] = true
		}
	}
	for _, request := range nonLinearizable(h) {
		if !explained[request] {
			c.add(RuleOrder, AttemptID{Request: request}, packet.FlowKey{}, "its operations have no legal order")
		}
	}
}

// targetsOf returns the targets of runs as text, sorted by name.
func targetsOf(runs []Run) string {
	names := make([]string, 0, len(runs))
	for _, r := range runs {
		names = append(names, r.Target)
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}
