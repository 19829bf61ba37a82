package flow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

// exchange runs an owner's log and a peer's replica for a number of log intervals and returns how many
// batches and acknowledgements were sent.
func exchange(log *Log, replica *Replica, now time.Time, mark *Mark, intervals int) (batches, acks int) {
	const interval = 100 * time.Millisecond
	for range intervals {
		now = now.Add(interval)
		*mark++
		if b, ok := log.Batch(now, 2); ok {
			batches++
			replica.Apply(now, b)
		}
		if a, ok := replica.TakeAck(*mark); ok {
			acks++
			log.HandleAck(2, 20, a)
		}
	}
	return batches, acks
}

func TestIdleLogSendsNothing(t *testing.T) {
	Convey("With a log and a replica that is up to date", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		log := NewLog(LogConfig{}, model.Generation{Plans: 1})
		log.Add(7, 1)
		log.SetPeers([]Peer{{ID: 2, Incarnation: 20}})
		replicas := NewReplicas(time.Hour)
		replicas.Restore(now, log.Snapshot(1, 10), true)
		replica := replicas.Live(1)
		mark := Mark(1)
		exchange(log, replica, now, &mark, 20)

		Convey("nothing is sent while nothing changes", func() {
			batches, acks := exchange(log, replica, now.Add(time.Minute), &mark, 100)
			So(batches, ShouldEqual, 0)
			So(acks, ShouldEqual, 0)
		})
		Convey("a flow that waits for its mark is covered within a few intervals, and then nothing more is sent", func() {
			first := mark
			replica.WaitForMark(first)
			exchange(log, replica, now.Add(time.Minute), &mark, 4)
			So(replica.Position().CoveredMark, ShouldBeGreaterThan, first)
			batches, acks := exchange(log, replica, now.Add(2*time.Minute), &mark, 100)
			So(batches+acks, ShouldEqual, 0)
		})
		Convey("a record is sent and acknowledged, and then nothing more is sent", func() {
			log.Add(8, 2)
			exchange(log, replica, now.Add(time.Minute), &mark, 4)
			So(replica.Route(8).Exception, ShouldBeTrue)
			So(log.Unacknowledged(), ShouldEqual, 0)
			batches, acks := exchange(log, replica, now.Add(2*time.Minute), &mark, 100)
			So(batches+acks, ShouldEqual, 0)
		})
	})
}
