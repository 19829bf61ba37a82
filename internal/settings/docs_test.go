package settings

import (
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// docRow returns the line of docs/CONFIG.md that describes a key.
func docRow(k Key) string {
	reload := "no"
	if k.Reloadable {
		reload = "yes"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, k.Default, reload, k.Effect)
}

func TestConfigPageDescribesEveryKey(t *testing.T) {
	Convey("docs/CONFIG.md has a table row for every key of the settings", t, func() {
		page, err := os.ReadFile("../../docs/CONFIG.md")
		So(err, ShouldBeNil)
		for _, k := range Keys() {
			So(string(page), ShouldContainSubstring, docRow(k))
		}
	})
}
