package errkind

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEveryKindHasARow(t *testing.T) {
	Convey("Every kind has one row, with a unique name and a meaning", t, func() {
		seen := make(map[string]bool)
		for i, row := range All() {
			So(row.Kind, ShouldEqual, Kind(i))
			So(row.Name, ShouldNotBeBlank)
			So(row.Meaning, ShouldNotBeBlank)
			So(seen[row.Name], ShouldBeFalse)
			seen[row.Name] = true
		}
	})
}

func TestNotRunRequiresAnswer(t *testing.T) {
	Convey("A kind with NotRun set always answers the caller, who otherwise would not learn it", t, func() {
		for _, row := range All() {
			if row.NotRun {
				So(row.Answer, ShouldEqual, AnswerReset)
			}
		}
	})
}
