package modelcheck

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// maxLargeStates is the number of states at which TestLargeRuns stops exploring a run.
var maxLargeStates = flag.Int("large", 20_000, "states up to which the large runs are explored")

func budgetName(b Budget) string {
	return fmt.Sprintf("%d daemons, %d crashes, %d stops, %d joins of %d, %d list changes, %d batches in flight",
		b.Daemons, b.Crashes, b.Stops, b.Joins, b.Joiner, b.ListChanges, b.BatchesInFlight)
}

func TestEveryInterleavingKeepsFlowTarget(t *testing.T) {
	const maxStates = 1_000_000
	Convey("The state spaces of these runs are explored completely without a violation", t, func() {
		for _, b := range []Budget{
			{Daemons: 3, BatchesInFlight: 6},
			{Daemons: 3, BatchesInFlight: 6, Crashes: 1},
			{Daemons: 3, BatchesInFlight: 1, ListChanges: 1},
			{Daemons: 2, BatchesInFlight: 2, Crashes: 1, ListChanges: 1},
			{Daemons: 2, BatchesInFlight: 2, Stops: 1},
			{Daemons: 2, BatchesInFlight: 2, Joins: 1},
			{Daemons: 2, BatchesInFlight: 2, Joins: 1, Joiner: 1},
			{Daemons: 2, BatchesInFlight: 2, Joins: 1, ListChanges: 1, Joiner: 1},
			{Daemons: 2, BatchesInFlight: 2, Crashes: 1, Joins: 1},
			{Daemons: 2, BatchesInFlight: 2, Stops: 1, Joins: 1, Joiner: 1},
		} {
			r := Explore(b, NoMutation, maxStates)
			t.Logf("%s: %d states", budgetName(b), r.States)
			So(strings.Join(r.Trace, "\n"), ShouldBeBlank)
			So(r.Complete, ShouldBeTrue)
		}
	})
}

// mutant is a protocol with one mechanism off, and a budget with which the model checker finds a violation.
type mutant struct {
	name     string
	mutation Mutation
	budget   Budget
}

// largeMutants are the mutants whose violation takes about two million states to find.
var largeMutants = []mutant{
	{"owner's log trusted alone", OwnerLogOnly, Budget{Daemons: 3, BatchesInFlight: 1, Crashes: 1, ListChanges: 1}},
	{"default target logged as flow end", DefaultLoggedAsEnd, Budget{Daemons: 3, BatchesInFlight: 1, Crashes: 1, ListChanges: 1}},
}

func TestEachMechanismIsNeeded(t *testing.T) {
	Convey("With one mechanism off, the packets of a flow reach two targets", t, func() {
		mutants := []mutant{
			{"default target without an acknowledged mark", DefaultWithoutAck, Budget{Daemons: 2, BatchesInFlight: 1}},
			{"no delegation", NoDelegation, Budget{Daemons: 2, BatchesInFlight: 1, Joins: 1}},
			{"newest lists instead of the log's generation", NewestLists, Budget{Daemons: 2, BatchesInFlight: 1, ListChanges: 1}},
			{"generation logged before its exceptions", GenerationFirst, Budget{Daemons: 2, BatchesInFlight: 1, ListChanges: 1}},
			{"stop before the log is acknowledged", StopWithoutAck, Budget{Daemons: 2, BatchesInFlight: 1, Stops: 1}},
			{"acknowledgement from a daemon with other owners", AnyOwnersView, Budget{Daemons: 2, BatchesInFlight: 1, Joins: 1}},
			{"all owners count as added", AllOwnersAdded, Budget{Daemons: 2, BatchesInFlight: 1, Joins: 1}},
			{"no delegation to a draining daemon", NoDelegationToDraining, Budget{Daemons: 2, BatchesInFlight: 1, Stops: 1}},
			{"newest default target without the flow's lists", GuessDefault, Budget{Daemons: 2, BatchesInFlight: 1, Crashes: 1, ListChanges: 1}},
			{"ready before the log is replicated", ReadyBeforeReplicated, Budget{Daemons: 2, BatchesInFlight: 1, Stops: 1, Joins: 1, Joiner: 1}},
			{"new lists during an ownership transition", SwitchInTransition, Budget{Daemons: 2, BatchesInFlight: 1, Joins: 1, ListChanges: 1}},
		}
		if *maxLargeStates >= 2_000_000 {
			mutants = append(mutants, largeMutants...)
		}
		for _, c := range mutants {
			r := Explore(c.budget, c.mutation, max(*maxLargeStates, 100_000))
			t.Logf("%s: %d states, %d events", c.name, r.States, len(r.Trace))
			So(r.Trace, ShouldNotBeEmpty)
		}
	})
}

func TestLargeRuns(t *testing.T) {
	for _, b := range []Budget{
		{Daemons: 3, BatchesInFlight: 6, ListChanges: 1},
		{Daemons: 3, BatchesInFlight: 1, Crashes: 1, ListChanges: 1},
		{Daemons: 3, BatchesInFlight: 1, Stops: 1},
		{Daemons: 3, BatchesInFlight: 1, Joins: 1},
		{Daemons: 3, BatchesInFlight: 1, Joins: 1, Joiner: 1},
		{Daemons: 3, BatchesInFlight: 1, Crashes: 1, Stops: 1},
		{Daemons: 2, BatchesInFlight: 2, Stops: 1, ListChanges: 1},
		{Daemons: 2, BatchesInFlight: 2, Joins: 1, ListChanges: 1},
		{Daemons: 2, BatchesInFlight: 2, Stops: 1, Joins: 1, ListChanges: 1},
		{Daemons: 2, BatchesInFlight: 2, Stops: 1, Joins: 1, ListChanges: 1, Joiner: 1},
	} {
		r := Explore(b, NoMutation, *maxLargeStates)
		t.Logf("%s: %d states, complete %v", budgetName(b), r.States, r.Complete)
		for _, e := range r.Trace {
			t.Errorf("  %s", e)
		}
	}
}
