package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var validFiles = map[string]string{
	"customers.yaml": "kind: customers\nrevision: 1\ncustomers:\n- {name: quinta, plan: gold, prefixes: [192.0.2.0/24]}\n",
	"plans.yaml":     "kind: plans\nrevision: 2\nservices:\n- {name: booking, addresses: [\"198.51.100.1:443\"]}\nplans:\n- {name: gold, services: [booking]}\n",
	"machines.yaml":  "kind: machines\nrevision: 3\nentries: []\nendpoints:\n- {name: vm-1, region: r, zone: a, targets: [{name: t1, service: booking, data: \"127.0.0.1:8001\"}]}\n",
	"settings.yaml":  "name: e\nregion: r\nzone: a\ndata: 127.0.0.1:1\npeer: 127.0.0.1:2\nbulk: 127.0.0.1:3\negress: 127.0.0.1:4\nplatform: {url: \"http://127.0.0.1:5\"}\n",
}

// writeFiles writes the named files to a temporary directory and returns their paths in the order of the names.
func writeFiles(t *testing.T, files map[string]string, names ...string) []string {
	dir := t.TempDir()
	paths := make([]string, len(names))
	for i, name := range names {
		paths[i] = filepath.Join(dir, name)
		if err := os.WriteFile(paths[i], []byte(files[name]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// execute runs the command line tool and returns its output.
func execute(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.Writer = &out
	err := root.Run(context.Background(), append([]string{"fireflypin"}, args...))
	return out.String(), err
}

func TestCheck(t *testing.T) {
	all := []string{"customers.yaml", "plans.yaml", "machines.yaml", "settings.yaml"}
	Convey("Valid files pass, in any order and number", t, func() {
		out, err := execute(append([]string{"check"}, writeFiles(t, validFiles, all...)...)...)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "machines.yaml: machines, revision 3")
		So(out, ShouldContainSubstring, "settings.yaml: settings")
		_, err = execute(append([]string{"check"}, writeFiles(t, validFiles, "machines.yaml", "plans.yaml")...)...)
		So(err, ShouldBeNil)
	})
	Convey("Every error of every file is listed and the command fails", t, func() {
		bad := map[string]string{
			"a.yaml": "kind: customers\nrevision: 1\ncolour: red\ncustomers: []\n",
			"b.yaml": "name: e\n",
			"c.yaml": "kind: villages\nrevision: 1\n",
			"d.yaml": "kind: [\n",
		}
		out, err := execute(append([]string{"check"}, writeFiles(t, bad, "a.yaml", "b.yaml", "c.yaml", "d.yaml")...)...)
		So(err, ShouldNotBeNil)
		So(out, ShouldContainSubstring, "a.yaml:3: colour: unknown key")
		So(out, ShouldContainSubstring, "b.yaml:1: region: missing")
		So(out, ShouldContainSubstring, `c.yaml:1: kind: "villages" is not one of`)
		So(out, ShouldContainSubstring, "d.yaml:1: the document cannot be parsed")
	})
	Convey("Lists are checked against each other, and the report can be JSON", t, func() {
		files := map[string]string{
			"plans.yaml":     "kind: plans\nrevision: 2\nservices: []\nplans: []\n",
			"customers.yaml": validFiles["customers.yaml"],
		}
		out, err := execute(append([]string{"check", "--json"}, writeFiles(t, files, "plans.yaml", "customers.yaml")...)...)
		So(err, ShouldNotBeNil)
		var report checkReport
		So(json.Unmarshal([]byte(out), &report), ShouldBeNil)
		So(len(report.Findings), ShouldEqual, 1)
		So(report.Findings[0].Message, ShouldEqual, `there is no plan "gold"`)
	})
	Convey("No file, a missing file and a second list of a kind fail", t, func() {
		_, err := execute("check")
		So(err, ShouldNotBeNil)
		_, err = execute("check", "/nonexistent")
		So(err, ShouldNotBeNil)
		files := map[string]string{"a.yaml": validFiles["plans.yaml"], "b.yaml": validFiles["plans.yaml"]}
		out, err := execute(append([]string{"check"}, writeFiles(t, files, "a.yaml", "b.yaml")...)...)
		So(err, ShouldNotBeNil)
		So(out, ShouldContainSubstring, "a second list of plans")
	})
}

func TestExplain(t *testing.T) {
	paths := writeFiles(t, validFiles, "customers.yaml", "plans.yaml", "machines.yaml")
	args := []string{"explain", "--customers", paths[0], "--plans", paths[1], "--machines", paths[2]}
	Convey("A flow is explained from the lists in files", t, func() {
		out, err := execute(append(args, "--from", "192.0.2.9:40000", "--to", "198.51.100.1:443")...)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "quinta")
		So(out, ShouldContainSubstring, "t1")
		out, err = execute(append(args, "--from", "203.0.113.9", "--to", "198.51.100.1:443")...)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "unknown_customer: No customer has this source address.")
		out, err = execute(append(args, "--json", "--from", "192.0.2.9", "--to", "198.51.100.1:443")...)
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, `"share":1`)
	})
	Convey("Invalid addresses and missing lists are errors", t, func() {
		for _, bad := range [][]string{
			append(args, "--from", "x", "--to", "198.51.100.1:443"),
			append(args, "--from", "192.0.2.9", "--to", "198.51.100.1"),
			{"explain", "--from", "192.0.2.9", "--to", "198.51.100.1:443"},
		} {
			_, err := execute(bad...)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("--version prints the version", t, func() {
		out, err := execute("--version")
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "fireflypin version ")
	})
}
