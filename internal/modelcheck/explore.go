package modelcheck

import (
	"hash/maphash"
	"slices"
)

// Result is the outcome of an exploration.
type Result struct {
	// States is the number of distinct states visited.
	States int
	// Complete is true if all states within the budget were visited.
	Complete bool
	// Trace holds the events that lead to a violation, in order; it is empty if there is none.
	Trace []string
}

// visit records how a state was first reached: the hash of the state before and the event.
type visit struct {
	from  uint64
	event event
}

// Explore visits the reachable states breadth-first until an event violates the invariant or more than
// maxStates were visited. States are identified by a 64-bit hash. Two states with the same hash count as
// one, so a state could be missed; with ten million states the probability is about 1 in 400,000.
func Explore(b Budget, mutation Mutation, maxStates int) Result {
	seed := maphash.MakeSeed()
	visited := make(map[uint64]visit)
	first := initial(b)
	visited[maphash.Comparable(seed, first)] = visit{}
	frontier := []state{first}
	m := &model{mutation: mutation}
	for len(frontier) > 0 {
		var next []state
		for _, s := range frontier {
			from := maphash.Comparable(seed, s)
			m.violation = false
			states, events := m.successors(s)
			for i, n := range states {
				if n.unprotectedCrash {
					continue
				}
				h := maphash.Comparable(seed, n)
				if _, ok := visited[h]; ok && !m.violation {
					continue
				}
				if _, ok := visited[h]; !ok {
					visited[h] = visit{from: from, event: events[i]}
					next = append(next, n)
				}
			}
			if m.violation {
				return Result{States: len(visited), Trace: append(trace(visited, from), m.violatingEvent(s))}
			}
		}
		if len(visited) > maxStates {
			return Result{States: len(visited)}
		}
		frontier = next
	}
	return Result{States: len(visited), Complete: true}
}

// trace returns the events that lead to the state with hash h.
func trace(visited map[uint64]visit, h uint64) []string {
	var events []string
	for v := visited[h]; v.event.format != ""; v = visited[v.from] {
		events = append(events, v.event.String())
	}
	slices.Reverse(events)
	return events
}

// violatingEvent returns the event of a state that violates the invariant.
func (m *model) violatingEvent(s state) string {
	violatingEvent := ""
	m.violation = false
	m.packetEvents(s, func(e event, _ ...state) {
		if m.violation && violatingEvent == "" {
			violatingEvent = e.String()
		}
	})
	return violatingEvent
}
