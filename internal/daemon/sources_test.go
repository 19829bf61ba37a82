package daemon

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/settings"
)

func TestReaderConfig(t *testing.T) {
	Convey("The list reader gets the seeds, the daemon's own address and the call budget from the settings", t, func() {
		seeds := []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:5557"), netip.MustParseAddrPort("192.0.2.2:5557")}
		bulk := netip.MustParseAddrPort("192.0.2.3:5557")
		s := &settings.Settings{
			Name: "entry-1", Bulk: bulk, Seeds: seeds,
			Platform: settings.Platform{WatchWait: 20 * time.Second, CallsPerSecond: 2.5, CallBurst: 9},
		}
		c := readerConfig(s, time.Unix(0, 0))
		So(c.Seeds, ShouldResemble, seeds)
		So(c.Self, ShouldResemble, bulk)
		So(c.WatchWait, ShouldEqual, 20*time.Second)
		So(c.CallsPerSecond, ShouldEqual, 2.5)
		So(c.CallBurst, ShouldEqual, 9)
	})
}
