package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/limits"
	"github.com/fireflypin/fireflypin/model"
)

func TestLimitsIncludeFlowsOfOtherOwners(t *testing.T) {
	Convey("With two owners in one zone and a customer limited to ten open flows", t, func() {
		now := time.Unix(1_700_000_000, 0)
		zone := model.Zone{Region: "south", Name: "a"}
		a := &model.EntryVM{ID: 1, Name: "entry-1", Zone: zone}
		b := &model.EntryVM{ID: 2, Name: "entry-2", Zone: zone}
		customer := &model.Customer{Name: "estate", Plan: &model.Plan{Name: "concierge", OpenFlows: 10}}
		first := newCustomerLimits(a.ID, zone, 1)
		second := newCustomerLimits(b.ID, zone, 1)
		owners := []limits.ZoneOwners{{Zone: zone, Owners: limits.Owners{Live: 2, Published: 2}}}
		first.SetOwners(owners)
		second.SetOwners(owners)
		for range 10 {
			first.TakeOver(now, customer)
		}
		ad := core.Admission{Customer: customer}
		So(first.Open(now, ad), ShouldEqual, errkind.CustomerOpenLimit)

		Convey("the heartbeat section of one owner makes the other enforce the limit", func() {
			So(second.Open(now, ad), ShouldEqual, errkind.None)
			So(second.handle(now, a, first.section(now).Data), ShouldEqual, errkind.None)
			So(second.Open(now, ad), ShouldEqual, errkind.CustomerOpenLimit)
		})
		Convey("a malformed section is reported as PeerMalformed", func() {
			So(second.handle(now, a, []byte{255}), ShouldEqual, errkind.PeerMalformed)
		})
	})
}
