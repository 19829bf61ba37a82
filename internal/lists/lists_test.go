package lists

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/internal/yamldoc"
	"github.com/fireflypin/fireflypin/model"
)

const goodCustomers = `kind: customers
revision: 3
customers:
  - {name: quinta, plan: gold, prefixes: [192.0.2.0/24, "2001:db8:1::/48"]}
  - {name: desk, plan: silver, prefixes: [192.0.2.128/25]}
`

const goodPlans = `kind: plans
revision: 5
services:
  - name: booking
    addresses: ["198.51.100.10:443", "[2001:db8::10]:443"]
    return: through
    margin: 0.1
    ramp: 45s
  - name: brochures
    addresses: ["198.51.100.11:443"]
    return: direct
plans:
  - {name: gold, services: [booking, brochures], new_flows_per_second: 50, open_flows: 1000, on_revoke: reset, revoke_grace: 5s}
  - {name: silver, services: [booking]}
`

const goodMachines = `kind: machines
revision: 9
entries:
  - {name: entry-1, region: r, zone: a, data: "127.0.0.1:7001", peer: "127.0.0.1:7002", bulk: "127.0.0.1:7003", ops: "127.0.0.1:7004"}
  - {name: entry-2, region: r, zone: b, state: leaving, data: "127.0.0.1:7011", peer: "127.0.0.1:7012", bulk: "127.0.0.1:7013"}
endpoints:
  - name: vm-1
    region: r
    zone: a
    targets:
      - {name: booking-2, service: booking, data: "127.0.0.1:8002"}
      - {name: booking-1, service: booking, data: "127.0.0.1:8001", report: "127.0.0.1:8101", weight: 2, max_connections: 100, slots: 4}
  - name: vm-2
    region: r
    zone: b
    state: leaving
    leave_by: 2026-01-31T22:00:00Z
    targets:
      - {name: brochures-1, service: brochures, data: "127.0.0.1:8003"}
`

func documents(customers, plans, machines string) Documents {
	return Documents{
		Customers: Document{Name: "customers.yaml", Data: []byte(customers)},
		Plans:     Document{Name: "plans.yaml", Data: []byte(plans)},
		Machines:  Document{Name: "machines.yaml", Data: []byte(machines)},
	}
}

func TestParseBuildsASnapshot(t *testing.T) {
	Convey("Three valid documents give linked objects with defaults filled in", t, func() {
		s, err := Parse(documents(goodCustomers, goodPlans, goodMachines))
		So(err, ShouldBeNil)
		So(s.Revisions, ShouldResemble, model.Revisions{Customers: 3, Plans: 5, Machines: 9})

		booking := s.ServiceAt(netip.MustParseAddrPort("[2001:db8::10]:443"))
		So(booking.Name, ShouldEqual, "booking")
		So(booking.Return, ShouldEqual, model.ReturnThrough)
		So(booking.Margin, ShouldEqual, 0.1)
		So(booking.Ramp, ShouldEqual, 45*time.Second)
		So(booking.Targets[0].Name, ShouldEqual, "booking-1")
		So(booking.Targets[0].Weight, ShouldEqual, 2)
		So(booking.Targets[1].MaxConnections, ShouldEqual, DefaultMaxConnections)

		brochures := s.ServiceAt(netip.MustParseAddrPort("198.51.100.11:443"))
		So(brochures.Return, ShouldEqual, model.ReturnDirect)
		So(brochures.Margin, ShouldEqual, DefaultMargin)
		So(brochures.Targets[0].Draining, ShouldBeTrue)
		So(brochures.Targets[0].LeaveBy.Year(), ShouldEqual, 2026)

		So(s.Customers[0].Plan.Allows(brochures), ShouldBeTrue)
		So(s.Customers[1].Plan.Allows(brochures), ShouldBeFalse)
		So(s.Customers[0].Plan.RevokeGrace, ShouldEqual, 5*time.Second)
		So(s.Entry(model.MachineIDOf("entry-1")).Ops.Port(), ShouldEqual, 7004)
		So(s.Entries[1].State, ShouldEqual, model.MachineDraining)
	})
}

func TestErrorsOfOneDocument(t *testing.T) {
	cases := []struct{ what, doc, old, new, want string }{
		{"revision missing", "plans", "revision: 5\n", "", "plans.yaml:1: revision: missing"},
		{"revision zero", "plans", "revision: 5", "revision: 0", "plans.yaml:2: revision: 0 is out of range"},
		{"no newline at the end", "plans", "[booking]}\n", "[booking]}", "plans.yaml:14: the document does not end with a newline"},
		{"kind missing", "plans", "kind: plans\n", "", "plans.yaml:1: kind: missing"},
		{"kind wrong", "plans", "kind: plans", "kind: machines", `plans.yaml:1: kind: is "machines"; a document of kind "plans" is expected`},
		{"unknown key", "plans", "margin: 0.1", "margn: 0.1", "plans.yaml:7: services[0].margn: unknown key"},
		{"duration without unit", "plans", "ramp: 45s", "ramp: 45", `plans.yaml:8: services[0].ramp: "45" has no unit`},
		{"duplicate service", "plans", "name: brochures\n", "name: booking\n", `services[1].name: service "booking" appears twice; first in line 4`},
		{"address of two services", "plans", "198.51.100.11:443", "198.51.100.10:443", `plans.yaml:10: services[1].addresses[0]: 198.51.100.10:443 already belongs to service "booking", in line 5`},
		{"service without address", "plans", `["198.51.100.11:443"]`, "[]", "plans.yaml:10: services[1].addresses: must name at least one address"},
		{"plan names no service", "plans", "services: [booking]}", "services: [bookings]}", `plans.yaml:14: plans[1].services[0]: there is no service "bookings"`},
		{"plan without services", "plans", "services: [booking]}", "services: []}", "plans[1].services: must name at least one service"},
		{"plan names a service twice", "plans", "[booking, brochures]", "[booking, booking]", "appears twice in the plan"},
		{"duplicate plan", "plans", "name: silver", "name: gold", `plans[1].name: plan "gold" appears twice`},
		{"grace without reset", "plans", "on_revoke: reset, ", "", "plans[0].revoke_grace: has an effect only with"},
		{"prefix twice", "customers", "192.0.2.128/25", "192.0.2.0/24", `customers.yaml:5: customers[1].prefixes[0]: 192.0.2.0/24 already belongs to customer "quinta", in line 4`},
		{"prefix with host bits", "customers", "192.0.2.128/25", "192.0.2.129/25", `write "192.0.2.128/25"`},
		{"mapped prefix", "customers", "192.0.2.128/25", `"::ffff:192.0.2.0/120"`, "must be a plain IPv4 or IPv6 prefix"},
		{"duplicate customer", "customers", "name: desk", "name: quinta", `customers[1].name: customer "quinta" appears twice`},
		{"customer without plan", "customers", "plan: silver, ", "", "customers.yaml:5: customers[1].plan: missing"},
		{"weight zero", "machines", "weight: 2", "weight: 0", "machines.yaml:12: endpoints[0].targets[1].weight: 0 is out of range"},
		{"duplicate target", "machines", "name: booking-2", "name: booking-1", `target "booking-1" appears twice`},
		{"duplicate machine", "machines", "name: vm-2", "name: entry-1", `endpoints[1].name: machine "entry-1" appears twice`},
		{"data address twice", "machines", "127.0.0.1:8002", "127.0.0.1:7001", `endpoints[0].targets[0].data: 127.0.0.1:7001 already belongs to "entry-1", in line 4`},
		{"port zero", "machines", "127.0.0.1:8002", "127.0.0.1:0", "has port 0"},
		{"state", "machines", "state: leaving, data", "state: gone, data", `"gone" is not one of live, leaving`},
		{"leave_by of a live VM", "machines", "    state: leaving\n", "", "leave_by: has an effect only with"},
		{"zone missing", "machines", "    zone: b\n    state", "    state", "endpoints[1].zone: missing"},
		{"no list", "machines", "entries:\n", "entries: 3\nentrees:\n", "entries: must be a list"},
	}
	Convey("Each error is reported with file, line and key", t, func() {
		for _, c := range cases {
			texts := map[string]string{"customers": goodCustomers, "plans": goodPlans, "machines": goodMachines}
			So(texts[c.doc], ShouldContainSubstring, c.old)
			texts[c.doc] = strings.Replace(texts[c.doc], c.old, c.new, 1)
			s, err := Parse(documents(texts["customers"], texts["plans"], texts["machines"]))
			So(s, ShouldBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}

func TestErrorsBetweenDocuments(t *testing.T) {
	Convey("Findings between documents of different age are reported only by Build", t, func() {
		customers, f1 := ReadCustomers(Document{Name: "c", Data: []byte(strings.Replace(goodCustomers, "plan: silver", "plan: platinum", 1))})
		plans, f2 := ReadPlans(Document{Name: "p", Data: []byte(goodPlans)})
		machines, f3 := ReadMachines(Document{Name: "m", Data: []byte(strings.Replace(goodMachines, "service: brochures", "service: leaflets", 1))})
		So(len(f1)+len(f2)+len(f3), ShouldEqual, 0)
		s, findings := Build(customers, plans, machines)
		So(s, ShouldBeNil)
		So(findings, ShouldResemble, Findings{
			{File: "c", Line: 5, Key: "customers[1].plan", Message: `there is no plan "platinum"`},
			{File: "m", Line: 19, Key: "endpoints[1].targets[0].service", Message: `there is no service "leaflets"`},
		})
	})
}

func TestAllErrorsAtOnce(t *testing.T) {
	Convey("The errors of all three documents are reported together", t, func() {
		_, err := Parse(documents("kind: customers\n", "revision: 1\n", goodMachines+"colour: red\n"))
		findings := err.(Findings)
		So(len(findings), ShouldEqual, 6)
	})
}

func TestIDCollisions(t *testing.T) {
	Convey("Names that hash to the same id are an error", t, func() {
		r := newMachineReader("m", nil)
		r.machineHash = func(string) model.MachineID { return 7 }
		r.targetHash = func(string) model.TargetID { return 7 }
		_, findings := r.read(Document{Name: "m", Data: []byte(goodMachines)})
		So(findings.Error(), ShouldContainSubstring, `machines "entry-1" and "entry-2" have the same id 7; rename one`)
		So(findings.Error(), ShouldContainSubstring, `targets "booking-2" and "booking-1" have the same id 7; rename one`)
		So(findings.Error(), ShouldContainSubstring, `targets "booking-2" and "brochures-1" have the same id 7`)
	})
}

func TestReadHeader(t *testing.T) {
	Convey("The header is read regardless of the rest of the document", t, func() {
		h, findings := ReadHeader(yamldoc.Document{Name: "x", Data: []byte("kind: machines\nrevision: 4\nfoo: 1\n")})
		So(findings, ShouldBeEmpty)
		So(h, ShouldResemble, Header{Kind: KindMachines, Revision: 4})
	})
}

func TestUnchangedEntriesAreNotParsedAgain(t *testing.T) {
	Convey("A document that replaces another one shares the objects of entries with the same text", t, func() {
		machines := func(text string) Document { return Document{Name: "m", Data: []byte(text)} }
		first, findings := ReadMachines(machines(goodMachines))
		So(findings, ShouldBeEmpty)
		moved := strings.Replace(goodMachines, "entries:\n", "entries:\n  # a comment moves the lines\n", 1)
		moved = strings.Replace(moved, "zone: b, state: leaving", "zone: c, state: leaving", 1)
		next, findings := NextMachines(machines(moved), first)
		So(findings, ShouldBeEmpty)
		So(next.Entries()[0], ShouldEqual, first.Entries()[0])
		So(next.Entries()[1], ShouldNotEqual, first.Entries()[1])
		So(next.endpoints[0].row, ShouldEqual, first.endpoints[0].row)

		fresh, _ := ReadMachines(machines(moved))
		plans, _ := ReadPlans(Document{Name: "p", Data: []byte(goodPlans)})
		customers, _ := ReadCustomers(Document{Name: "c", Data: []byte(goodCustomers)})
		a, _ := Build(customers, plans, next)
		b, _ := Build(customers, plans, fresh)
		So(a, ShouldResemble, b)
	})
	Convey("Conflicts between reused and new entries are found, and reported with their lines in the new document", t, func() {
		first, _ := ReadMachines(Document{Name: "m", Data: []byte(goodMachines)})
		text := strings.Replace(goodMachines, "entries:\n", "# new\nentries:\n", 1) +
			"  - {name: vm-1, region: r, zone: a, targets: [{name: booking-1, service: none, data: \"127.0.0.1:8001\"}]}\n"
		_, findings := NextMachines(Document{Name: "m", Data: []byte(text)}, first)
		_, want := ReadMachines(Document{Name: "m", Data: []byte(text)})
		So(findings, ShouldResemble, want)
		So(len(findings), ShouldEqual, 3)
		So(findings[0].Error(), ShouldEqual, `m:21: endpoints[2].name: machine "vm-1" appears twice; first in line 8`)

		c, _ := ReadCustomers(Document{Name: "c", Data: []byte(goodCustomers)})
		text = goodCustomers + "  - {name: new, plan: gold, prefixes: [192.0.2.0/24]}\n"
		_, findings = NextCustomers(Document{Name: "c", Data: []byte(text)}, c)
		So(findings.Error(), ShouldEqual, `c:6: customers[2].prefixes[0]: 192.0.2.0/24 already belongs to customer "quinta", in line 4`)
	})
	Convey("A document in flow style gives the same rows", t, func() {
		block, f1 := ReadCustomers(Document{Name: "c", Data: []byte(goodCustomers)})
		flow, f2 := ReadCustomers(Document{Name: "c", Data: []byte(`{kind: customers, revision: 3, customers: [
  {name: quinta, plan: gold, prefixes: [192.0.2.0/24, "2001:db8:1::/48"]},
  {name: desk, plan: silver, prefixes: [192.0.2.128/25]}]}
`)})
		So(len(f1)+len(f2), ShouldEqual, 0)
		So(len(flow.rows), ShouldEqual, 2)
		for i := range flow.rows {
			So(flow.rows[i].row.prefixes, ShouldResemble, block.rows[i].row.prefixes)
		}
	})
}
