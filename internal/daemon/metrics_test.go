package daemon

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/core"
	"github.com/fireflypin/fireflypin/internal/metrics"
	"github.com/fireflypin/fireflypin/model"
)

func TestHandshakeHistograms(t *testing.T) {
	Convey("Handshake times are recorded by customer and service and deleted with the customer", t, func() {
		set := metrics.NewSet()
		o := newFlowObserver(set)
		estate, mill := &model.Customer{Name: "estate"}, &model.Customer{Name: "mill"}
		booking := &model.Service{Name: "booking"}
		o.Answered(core.Admission{Customer: estate, Service: booking}, 5*time.Millisecond)
		o.Answered(core.Admission{Customer: mill, Service: booking}, 9*time.Millisecond)
		o.retainCustomers(&model.Snapshot{Parts: model.Parts{Customers: []*model.Customer{mill}}})

		var b strings.Builder
		So(set.WriteText(&b), ShouldBeNil)
		So(b.String(), ShouldContainSubstring, `fireflypin_handshake_milliseconds_sum{customer="mill",service="booking"} 9`)
		So(b.String(), ShouldNotContainSubstring, "estate")
	})
}
