package history

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fireflypin/fireflypin/packet"
)

// Rule names a promise that a history can break.
type Rule uint8

// The rules.
const (
	// RuleDoubleRun: a request that is not idempotent runs at most once, over all its attempts.
	RuleDoubleRun Rule = iota + 1
	// RuleAttemptTwice: one attempt of any request runs at most once.
	RuleAttemptTwice
	// RuleWrongAnswer: an answer belongs to the attempt that it was taken for.
	RuleWrongAnswer
	// RulePartAnswer: an answer is whole.
	RulePartAnswer
	// RuleRefusedRan: an attempt that was told "not run" never runs.
	RuleRefusedRan
	// RuleAnsweredUnrun: an answered attempt did run.
	RuleAnsweredUnrun
	// RuleSplitFlow: the bytes of a flow reach one target.
	RuleSplitFlow
	// RuleOrder: a request's runs, answers and refusals have an order that keeps the rules above, such as an
	// answer after its run.
	RuleOrder
)

// String returns the rule's name in reports.
func (r Rule) String() string {
	names := [...]string{"", "double_run", "attempt_twice", "wrong_answer", "part_answer", "refused_ran", "answered_unrun", "split_flow", "order"}
	return names[r]
}

// Violation is one broken promise.
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

// checker holds the indexes of one Check.
type checker struct {
	runs   map[AttemptID][]Run
	byReq  map[uint64][]Run
	broken []Violation
}

// Check returns every broken promise of a history, sorted by rule and request.
func Check(h History) []Violation {
	c := &checker{
		runs:  make(map[AttemptID][]Run),
		byReq: make(map[uint64][]Run),
	}
	for _, r := range h.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
		c.byReq[r.ID.Request] = append(c.byReq[r.ID.Request], r)
	}
	c.checkAttempts()
	c.checkOutcomes(h.Outcomes)
	c.checkReceipts(h.Receipts)
	c.checkOrders(h)
	slices.SortFunc(c.broken, compareViolations)
	return c.broken
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
	c.broken = append(c.broken, Violation{Rule: rule, ID: id, Flow: flow, Detail: detail})
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
	runs := c.byReq[o.ID.Request]
	if len(runs) > 1 {
		id := AttemptID{Request: o.ID.Request}
		c.add(RuleDoubleRun, id, runs[0].Flow, "ran on "+targetsOf(runs))
	}
}

func (c *checker) checkOutcome(o Outcome) {
	ran := len(c.runs[o.ID]) > 0
	switch o.Fate {
	case FateAnswered:
		c.checkAnswer(o, ran)
	case FateNotRun:
		if ran {
			c.add(RuleRefusedRan, o.ID, o.Flow, "ran on "+targetsOf(c.runs[o.ID]))
		}
	}
}

func (c *checker) checkAnswer(o Outcome, ran bool) {
	if !ran {
		c.add(RuleAnsweredUnrun, o.ID, o.Flow, "no target ran it")
	}
	if o.AnswerTo != o.ID {
		c.add(RuleWrongAnswer, o.ID, o.Flow, fmt.Sprintf("answer to %x", o.AnswerTo.Request))
	}
	if !o.Whole {
		c.add(RulePartAnswer, o.ID, o.Flow, "length or checksum differs")
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

// checkOrders lets the linearizability checker look at each request. Where it finds no legal order, a rule above
// says why, or else the order itself is what is wrong.
func (c *checker) checkOrders(h History) {
	explained := make(map[uint64]bool)
	for _, v := range c.broken {
		switch v.Rule {
		case RuleDoubleRun, RuleAttemptTwice, RuleRefusedRan, RuleAnsweredUnrun:
			explained[v.ID.Request] = true
		}
	}
	for _, request := range disordered(h) {
		if !explained[request] {
			c.add(RuleOrder, AttemptID{Request: request}, packet.FlowKey{}, "its operations have no legal order")
		}
	}
}

// targetsOf lists the targets of runs in a stable order.
func targetsOf(runs []Run) string {
	names := make([]string, 0, len(runs))
	for _, r := range runs {
		names = append(names, r.Target)
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}
