package history

import (
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// For the linearizability check, each request is a sequential object. Its operations are that an attempt is
// executed, answered or refused. They overlap in time. A history is correct for a request if its operations have
// an order, consistent with their times, in which each operation is legal.

// opKind is the kind of an operation on a request.
type opKind uint8

const (
	opRun opKind = iota
	opAnswered
	opRefused
)

// operation is an operation on a request, as input of the model.
type operation struct {
	kind    opKind
	request uint64
	attempt uint32
	// repeatable is true for idempotent requests, which may be executed once per attempt.
	repeatable bool
}

// requestState is the state of one request: the attempts that were executed and refused. It is immutable.
type requestState struct {
	ran     []uint32
	refused []uint32
}

// apply returns the state after an operation, and whether the operation is legal.
func (s requestState) apply(op operation) (requestState, bool) {
	ran := slices.Contains(s.ran, op.attempt)
	switch op.kind {
	case opRun:
		if ran || slices.Contains(s.refused, op.attempt) || !op.repeatable && len(s.ran) > 0 {
			return s, false
		}
		return requestState{ran: append(slices.Clone(s.ran), op.attempt), refused: s.refused}, true
	case opAnswered:
		return s, ran
	default:
		return requestState{ran: s.ran, refused: append(slices.Clone(s.refused), op.attempt)}, !ran
	}
}

func (s requestState) equal(o requestState) bool {
	return slices.Equal(s.ran, o.ran) && slices.Equal(s.refused, o.refused)
}

// requestModel is the porcupine model. It is partitioned, so that every request is checked separately.
var requestModel = porcupine.Model{
	Partition: groupByRequest,
	Init:      func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		next, legal := state.(requestState).apply(input.(operation))
		return legal, next
	},
	Equal: func(a, b any) bool { return a.(requestState).equal(b.(requestState)) },
}

// groupByRequest groups operations by request, in ascending order of the request numbers.
func groupByRequest(all []porcupine.Operation) [][]porcupine.Operation {
	groups := make(map[uint64][]porcupine.Operation)
	for _, op := range all {
		id := op.Input.(operation).request
		groups[id] = append(groups[id], op)
	}
	out := make([][]porcupine.Operation, 0, len(groups))
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, groups[id])
	}
	return out
}

// searchTimeout is the maximum time of the search for a legal order of one request's operations. A request has only
// a few operations.
const searchTimeout = 10 * time.Second

// nonLinearizable returns, in ascending order, the requests for which no legal order of the operations was found.
func nonLinearizable(h History) []uint64 {
	var bad []uint64
	for _, group := range groupByRequest(operations(h)) {
		if porcupine.CheckOperationsTimeout(requestModel, group, searchTimeout) != porcupine.Ok {
			bad = append(bad, group[0].Input.(operation).request)
		}
	}
	return bad
}

// operations returns the operations of a history with the time interval in which each took effect.
func operations(h History) []porcupine.Operation {
	repeatable := make(map[uint64]bool)
	known := make(map[uint64]bool)
	for _, o := range h.Outcomes {
		repeatable[o.ID.Request] = o.Idempotent
		known[o.ID.Request] = true
	}
	var out []porcupine.Operation
	add := func(op operation, from, to time.Time) {
		out = append(out, porcupine.Operation{ClientId: len(out), Input: op, Call: from.UnixNano(), Return: max(to.UnixNano(), from.UnixNano())})
	}
	for _, o := range h.Outcomes {
		op := operation{request: o.ID.Request, attempt: o.ID.Attempt, repeatable: o.Idempotent}
		switch o.AttemptResult {
		case AttemptAnswered:
			op.kind = opAnswered
			add(op, o.Sent, o.Done)
		case AttemptNotRun:
			op.kind = opRefused
			add(op, o.Sent, o.Done)
		}
	}
	for _, r := range h.Runs {
		// Without an outcome it is unknown whether the request is idempotent, so the weaker guarantee is checked.
		once := known[r.ID.Request] && !repeatable[r.ID.Request]
		add(operation{kind: opRun, request: r.ID.Request, attempt: r.ID.Attempt, repeatable: !once}, r.Start, r.Start)
	}
	return out
}
