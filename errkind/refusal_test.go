package errkind

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRefusalText(t *testing.T) {
	Convey("A refusal is unchanged after encoding and parsing", t, func() {
		r, ok := ParseRefusal([]byte(RefusalText(ServiceFull, 1250*time.Millisecond)))
		So(ok, ShouldBeTrue)
		So(r, ShouldResemble, Refusal{Reason: "service_full", NotRun: true, RetryAfterMS: 1250})
		So(r.RetryAfter(), ShouldEqual, 1250*time.Millisecond)
	})
	Convey("A RST sent by a kernel is not a refusal", t, func() {
		for _, text := range []string{"", "closed", "{}", `{"reason":`} {
			_, ok := ParseRefusal([]byte(text))
			So(ok, ShouldBeFalse)
		}
	})
}
