package yamldoc

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func readAll(text string) Findings {
	return Read(Document{Name: "f.yaml", Data: []byte(text)}, func(m *Map) {
		m.Name("name")
		m.Duration("wait", time.Second, 0, time.Hour)
		m.Uint("count", 1, 1, 10)
		m.Fraction("share", 0.5)
		m.Choice("state", "live", "leaving")
		m.Time("at")
		m.Address("address")
		m.Each("rows", func(m *Map) {
			m.Name("name")
		})
	})
}

func TestReadReportsEveryErrorWithLineAndKey(t *testing.T) {
	Convey("Read reports every error with its line and key", t, func() {
		findings := readAll(strings.Join([]string{
			"name: a b",
			"wait: 30",
			"count: 0x2",
			"share: 1.5",
			"state: gone",
			"at: yesterday",
			"address: 192.0.2.1",
			"colour: red",
			"wait: 3s",
			"rows:",
			"  - name: x",
			"    size: 3",
			"  - text",
			"  - {}",
		}, "\n"))
		want := []string{
			`f.yaml:1: name: "a b" is not a valid name`,
			`f.yaml:2: wait: "30" has no unit; write for example "30s"`,
			`f.yaml:3: count: "0x2" is not a whole number`,
			`f.yaml:4: share: "1.5" is not a number between 0 and 1`,
			`f.yaml:5: state: "gone" is not one of live, leaving`,
			`f.yaml:6: at: "yesterday" is not a time`,
			`f.yaml:7: address: "192.0.2.1" is no address with a port`,
			`f.yaml:8: colour: unknown key`,
			`f.yaml:9: wait: duplicate key; first in line 2`,
			`f.yaml:12: rows[0].size: unknown key`,
			`f.yaml:13: rows[1]: must be a mapping`,
			`f.yaml:14: rows[2].name: missing`,
		}
		So(len(findings), ShouldEqual, len(want))
		for i := range want {
			So(findings[i].Error(), ShouldStartWith, want[i])
		}
	})
}

func manyLines(format string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

func TestReadRejectsWholeDocument(t *testing.T) {
	cases := []struct{ what, text, want string }{
		{"empty", "", "exactly one YAML document"},
		{"two documents", "name: a\n---\nname: b\n", "exactly one YAML document"},
		{"no mapping", "- a\n", "must be a mapping"},
		{"broken syntax", "name: [a\n", "cannot be parsed"},
		{"anchor", "name: &x a\n", "an anchor"},
		{"alias", "name: *x\n", "an alias"},
		{"tag", "name: !!str a\n", "a tag"},
		{"merge key", "<<: {name: a}\n", "a merge key"},
		{"complex key", "? name\n: a\n", "a complex key"},
		{"deep flow", "rows: " + strings.Repeat("[", 200_000), "nested deeper"},
		{"deep mappings", "rows: " + strings.Repeat("{a: ", 100_000), "nested deeper"},
		{"deep entries", "rows:\n" + strings.Repeat("- ", 200_000), "nested deeper"},
		{"many keys", manyLines("k%d: v\n", 40_000), "more than 64 keys"},
		{"many keys in brackets", "rows: [{" + manyLines("k%d: v, ", 40_000) + "}]", "more than 64 keys"},
		{"many keys with lists", manyLines("k%d:\n- a\n", 40_000), "more than 64 keys"},
		{"many documents", manyLines("---\nk%d: v\n", 40_000), "exactly one YAML document"},
		{"too large", "name: " + strings.Repeat("a", MaxBytes), "at most 1048576"},
		{"no text", "name: \xff\xfe", "not UTF-8"},
	}
	Convey("A document that cannot be read results in a finding, not a panic", t, func() {
		for _, c := range cases {
			findings := readAll(c.text)
			So(findings, ShouldNotBeEmpty)
			So(findings.Error(), ShouldContainSubstring, c.want)
		}
	})
}

func FuzzRead(f *testing.F) {
	f.Add("name: a\nrows:\n- name: b\n")
	f.Add("name: \"\\x41\"\nrows: [{name: b}, {}]\n")
	f.Add("? a\n")
	f.Add("name: |\n  a\n")
	f.Add("{name: a, rows: [ {name: 'b'} ]}")
	f.Fuzz(func(t *testing.T, text string) {
		for _, finding := range readAll(text) {
			if finding.File != "f.yaml" || finding.Message == "" || finding.Line < 1 {
				t.Errorf("finding without file, line or message: %+v", finding)
			}
		}
	})
}
