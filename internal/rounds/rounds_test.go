package rounds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const score = `{"cmd":"score","at":["2026-01-02T00:00:00Z","2026-01-02T00:01:00Z"],"head":"0123456789","dirty":true,"site":"a","why":"first",
"figures":{"gate":1.0},"days":[{"name":"quiet-1","G":0.9},{"name":"trouble-1","G":0.7},{"name":"fresh-1","G":0.1}]}`

func write(dir, name, text string) {
	So(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644), ShouldBeNil)
}

func TestRead(t *testing.T) {
	Convey("Scores are sorted by time; other entries, unfinished scores and randomly generated days are left out", t, func() {
		dir := t.TempDir()
		write(dir, "1.json", score)
		write(dir, "2.json", strings.ReplaceAll(score, "2026-01-02", "2026-01-01"))
		write(dir, "3.json", `{"cmd":"hunt","at":["x"]}`)
		write(dir, "4.json", `{"cmd":"score","at":["2026-01-02T00:00:00Z",""],"site":null,"days":[]}`)
		rounds, err := Read(dir)
		So(err, ShouldBeNil)
		So(rounds, ShouldHaveLength, 2)
		So(rounds[0].At.Day(), ShouldEqual, 1)
		r := rounds[1]
		So(r.Commit, ShouldEqual, "0123456")
		So(r.Mean, ShouldAlmostEqual, 0.8)
		So(r.Worst, ShouldEqual, 0.7)
		So(r.Gate, ShouldBeTrue)
		So(r.Changed, ShouldBeTrue)

		Convey("and are printed as a table and drawn as a plot", func() {
			var b strings.Builder
			So(Table(&b, rounds), ShouldBeNil)
			So(b.String(), ShouldContainSubstring, "0123456+ a                       0.800  0.700 yes   first")
			path := filepath.Join(dir, "p.svg")
			So(Plot(path, rounds), ShouldBeNil)
			text, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(string(text), ShouldContainSubstring, "0123456")
		})
	})
	Convey("An entry that cannot be read gives an error with its name", t, func() {
		dir := t.TempDir()
		write(dir, "bad.json", "<<<<<<< HEAD")
		_, err := Read(dir)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "bad.json")
	})
}
