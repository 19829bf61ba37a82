package edge_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A starting daemon receives single changes from other daemons before it has read everything. It must not apply them
// as if they were the whole lists.
func TestStartingDaemonWaitsForCompleteLists(t *testing.T) {
	run(t, func(ctx context.Context, f *fleet) {
		one := f.target(1)
		defer one.conn.Close()
		caller := f.client()
		defer caller.conn.Close()
		f.start(ctx, 1)
		time.Sleep(3 * time.Second)
		f.store.set(false, true) // the next daemon's read of the store blocks
		b := f.start(ctx, 2)
		time.Sleep(50 * time.Millisecond)
		caller.send(b, caller.packetOf(2999, 1, wireSYN, 100, 0, 0, 0))
		f.store.put("op/config", configText(2, ""))
		time.Sleep(150 * time.Millisecond)
		So(b.daemon.Ready(), ShouldNotBeNil)
		So(caller.take(), ShouldBeEmpty)
		time.Sleep(300 * time.Millisecond) // it fetches the missing items from the other daemon
		So(b.daemon.Ready(), ShouldBeNil)
		So(one.take(), ShouldHaveLength, 1)
		So(caller.take(), ShouldBeEmpty)
	})
}
