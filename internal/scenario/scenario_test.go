package scenario

import (
	"io/fs"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/lists"
	"github.com/fireflypin/fireflypin/internal/udpio"
	"github.com/fireflypin/fireflypin/scenarios"
)

func TestBuiltInScenarios(t *testing.T) {
	names, err := fs.Glob(scenarios.Files, "*.yaml")
	Convey("Every built-in scenario loads, starts and publishes lists that pass validation", t, func() {
		So(err, ShouldBeNil)
		for _, name := range names {
			Convey(name, func() {
				s, err := Load("../../scenarios/" + name)
				So(err, ShouldBeNil)
				site, err := Start(s, 1, udpio.System(udpio.Config{}))
				So(err, ShouldBeNil)
				defer site.Close()
				d := lists.Documents{
					Customers: lists.Document{Name: "customers", Data: site.publishedTexts["customers"]},
					Plans:     lists.Document{Name: "plans", Data: site.publishedTexts["plans"]},
					Machines:  lists.Document{Name: "machines", Data: site.publishedTexts["machines"]},
				}
				snapshot, err := lists.Parse(d)
				So(err, ShouldBeNil)
				So(len(snapshot.Entries), ShouldEqual, s.Entries)
				So(len(snapshot.Services), ShouldEqual, len(s.Services))
			})
		}
	})
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	cases := []struct{ name, text string }{
		{"an unknown key", "nme: x\n"},
		{"no zones", "name: x\nentries: 1\nduration: 1s\n"},
		{"an address without a port", "zones: [a]\nentries: 1\nduration: 1s\nservices: [{name: s, addresses: [\"192.0.2.1\"], targets: 1}]\n"},
		{"a workload with an unknown service", "zones: [a]\nentries: 1\nduration: 1s\nworkloads: [{name: w, service: s, customer: c}]\n"},
	}
	Convey("A scenario is rejected if it has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, err := parse("test", []byte(c.text))
				So(err, ShouldNotBeNil)
			})
		}
	})
}
