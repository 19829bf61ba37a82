package main

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExamplesPassCheck(t *testing.T) {
	Convey("The example settings and lists in docs/examples pass the check together", t, func() {
		paths, err := filepath.Glob("../../docs/examples/*.yaml")
		So(err, ShouldBeNil)
		So(len(paths), ShouldEqual, 4)
		out, err := execute(append([]string{"check"}, paths...)...)
		So(err, ShouldBeNil)
		for _, want := range []string{"customers, revision 1", "plans, revision 1", "machines, revision 1", "entry-a1.yaml: settings"} {
			So(out, ShouldContainSubstring, want)
		}
	})
}
