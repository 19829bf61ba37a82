package modelcheck

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// large is the number of states at which TestLargeRuns stops exploring a run.
var large = flag.Int("large", 20_000, "states up to which the large runs are explored")

func name(b Budget) string {
	return fmt.Sprintf("%d daemons, %d crashes, %d stops, %d joins of %d, %d list changes, %d batches in flight",
		b.Machines, b.Crashes, b.Stops, b.Joins, b.Joiner, b.Switches, b.Batches)
}

func TestEveryInterleavingKeepsTheFlowOnItsTarget(t *testing.T) {
	const maxStates = 1_000_000
	Convey("The state spaces of these runs are explored completely without a violation", t, func() {
		for _, b := range []Budget{
			{Machines: 3, Batches: 6},
			{Machines: 3, Batches: 6, Crashes: 1},
			{Machines: 3, Batches: 1, Switches: 1},
			{Machines: 2, Batches: 2, Crashes: 1, Switches: 1},
			{Machines: 2, Batches: 2, Stops: 1},
			{Machines: 2, Batches: 2, Joins: 1},
			{Machines: 2, Batches: 2, Joins: 1, Joiner: 1},
			{Machines: 2, Batches: 2, Joins: 1, Switches: 1, Joiner: 1},
			{Machines: 2, Batches: 2, Crashes: 1, Joins: 1},
			{Machines: 2, Batches: 2, Stops: 1, Joins: 1, Joiner: 1},
		} {
			r := Explore(b, Faithful, maxStates)
			t.Logf("%s: %d states", name(b), r.States)
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
	{"owner's log trusted alone", OneLog, Budget{Machines: 3, Batches: 1, Crashes: 1, Switches: 1}},
	{"default target logged as flow end", SettledIsOver, Budget{Machines: 3, Batches: 1, Crashes: 1, Switches: 1}},
}

func TestEachMechanismIsNeeded(t *testing.T) {
	Convey("With one mechanism off, the packets of a flow reach two targets", t, func() {
		mutants := []mutant{
			{"default target without an acknowledged mark", SilenceIsDefault, Budget{Machines: 2, Batches: 1}},
			{"no delegation", NoDelegation, Budget{Machines: 2, Batches: 1, Joins: 1}},
			{"newest lists instead of the log's generation", OwnGeneration, Budget{Machines: 2, Batches: 1, Switches: 1}},
			{"generation logged before its exceptions", SwitchFirst, Budget{Machines: 2, Batches: 1, Switches: 1}},
			{"stop before the log is acknowledged", StopAtOnce, Budget{Machines: 2, Batches: 1, Stops: 1}},
			{"acknowledgement from a daemon with other owners", AnyView, Budget{Machines: 2, Batches: 1, Joins: 1}},
			{"all owners count as added", AllAppeared, Budget{Machines: 2, Batches: 1, Joins: 1}},
			{"no delegation to a draining daemon", NoLeaver, Budget{Machines: 2, Batches: 1, Stops: 1}},
			{"newest default target without the flow's lists", Guess, Budget{Machines: 2, Batches: 1, Crashes: 1, Switches: 1}},
			{"ready before the log is replicated", UnheardJoin, Budget{Machines: 2, Batches: 1, Stops: 1, Joins: 1, Joiner: 1}},
			{"new lists during an ownership transition", SwitchUnsettled, Budget{Machines: 2, Batches: 1, Joins: 1, Switches: 1}},
		}
		if *large >= 2_000_000 {
			mutants = append(mutants, largeMutants...)
		}
		for _, c := range mutants {
			r := Explore(c.budget, c.mutation, max(*large, 100_000))
			t.Logf("%s: %d states, %d events", c.name, r.States, len(r.Trace))
			So(r.Trace, ShouldNotBeEmpty)
		}
	})
}

func TestLargeRuns(t *testing.T) {
	for _, b := range []Budget{
		{Machines: 3, Batches: 6, Switches: 1},
		{Machines: 3, Batches: 1, Crashes: 1, Switches: 1},
		{Machines: 3, Batches: 1, Stops: 1},
		{Machines: 3, Batches: 1, Joins: 1},
		{Machines: 3, Batches: 1, Joins: 1, Joiner: 1},
		{Machines: 3, Batches: 1, Crashes: 1, Stops: 1},
		{Machines: 2, Batches: 2, Stops: 1, Switches: 1},
		{Machines: 2, Batches: 2, Joins: 1, Switches: 1},
		{Machines: 2, Batches: 2, Stops: 1, Joins: 1, Switches: 1},
		{Machines: 2, Batches: 2, Stops: 1, Joins: 1, Switches: 1, Joiner: 1},
	} {
		r := Explore(b, Faithful, *large)
		t.Logf("%s: %d states, complete %v", name(b), r.States, r.Complete)
		for _, e := range r.Trace {
			t.Errorf("  %s", e)
		}
	}
}
