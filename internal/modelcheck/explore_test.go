package modelcheck

import (
	"fmt"
	"testing"
)

func TestTrial(t *testing.T) {
	for _, b := range []Budget{{Switches: 1, Crashes: 1}, {Stops: 1}, {Joins: 1}, {Joins: 1, Joiner: 1}, {Switches: 1, Stops: 1}, {Crashes: 1, Stops: 1}} {
		b.Batches = 1
		r := Explore(b, Faithful, 3_000_000)
		fmt.Printf("%+v states %d complete %v\n", b, r.States, r.Complete)
		for _, e := range r.Trace {
			fmt.Println("   ", e)
		}
	}
}
